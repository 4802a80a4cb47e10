/** Composes how a gateway follows the store: itself, through a relay, or through its peers. */
import { Table } from '../../platform/index.ts'
import { ConfirmationMonitor, type NewsTimeBudget, PeerReplicaExchange, RelayFollower, ReplicaFollower, ReplicaRelay, divideNewsTime } from '../replica/index.ts'
import type { ForwarderDependencies } from './forwarderDependencies.ts'

/** Tables that every forwarder follows. */
export const followedTables = [Table.Orders, Table.Endpoints, Table.Status] as const

/** Fleet size from which most gateways follow the store through a few relays. */
const minimumRelayFleetSize = 16
/** The store's confirmation of the tables counts as stale from this share of the time allowed for applying new settings. */
const staleConfirmationShare = 0.85
/** On a slower link a gateway that starts waits longer for a relay, which sends tables deflated, before it reads the store. */
const fastLinkMegabits = 500
const startUpReplyMilliseconds = 120
const startUpReplyOnSlowLinkMilliseconds = 900

export function makeFollower (parts: ForwarderDependencies): ReplicaFollower {
  const { store, clock, randomness, log } = parts
  return new ReplicaFollower({
    feed: store,
    tables: followedTables,
    rewrittenTables: [Table.Orders],
    isNeeded: table => table !== Table.Status || parts.rollOuts.hasActiveRollOut || parts.follower.isOfEarlierEpoch(table),
    budget: () => newsTimeBudget(parts),
    mayBeRelay: () => mayServeAsRelay(parts),
    clock,
    randomness,
    log,
    onChange: (table, replica) => {
      parts.tableLoader.load(table, replica)
      if (table !== Table.Endpoints) parts.rollOutCoordinator.notifyChange()
      parts.relay.notifyChange()
    }
  })
}

/** Whether peers may follow the store through this gateway. A seed may be asked at any time, so its tables must be fresh. */
function mayServeAsRelay ({ boot, relay }: ForwarderDependencies): boolean {
  return relay.isInUse || boot.current.seeds.includes(boot.current.peerAddress)
}

export function makeRelay (parts: ForwarderDependencies): ReplicaRelay {
  const { link, follower, clock } = parts
  return new ReplicaRelay({ link, follower, tables: followedTables, gatewayCount: () => parts.peers.knownGatewayCount, clock })
}

export function makeRelayFollower (parts: ForwarderDependencies): RelayFollower {
  const { link, fleet, follower, relay, peers, clock, log, boot } = parts
  return new RelayFollower({
    link,
    follower,
    relay,
    tables: followedTables,
    relayAddresses: () => boot.current.seeds,
    regionOf: address => fleet.regionOf(address),
    startUpReplyMilliseconds: boot.current.linkMegabits < fastLinkMegabits ? startUpReplyOnSlowLinkMilliseconds : startUpReplyMilliseconds,
    gatewayCount: () => peers.knownGatewayCount,
    minimumFleetSize: minimumRelayFleetSize,
    budget: () => newsTimeBudget(parts),
    clock,
    log
  })
}

export function makeConfirmationMonitor ({ follower, routing, clock, log, boot }: ForwarderDependencies): ConfirmationMonitor {
  return new ConfirmationMonitor({
    follower,
    configurationVersion: () => routing.snapshot?.settings.version,
    staleAfterMilliseconds: () => boot.current.changeApplyTimeoutMilliseconds * staleConfirmationShare,
    clock,
    log
  })
}

function newsTimeBudget ({ boot }: ForwarderDependencies): NewsTimeBudget {
  return divideNewsTime(boot.current.changeApplyTimeoutMilliseconds)
}

export function makePeers ({ link, follower, clock, randomness, log, boot, registry }: ForwarderDependencies): PeerReplicaExchange {
  return new PeerReplicaExchange({
    link,
    follower,
    clock,
    randomness,
    log,
    tables: followedTables,
    seeds: () => boot.current.seeds,
    drainingInstances: () => registry.drainingInstances,
    onDrainingInstance: (instance, peer) => {
      if (registry.markDraining(instance)) log.info('endpoint_draining', { endpoint: instance, source: peer.address })
    }
  })
}
