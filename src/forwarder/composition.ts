/** The list of a forwarder's parts and what each is made of. */
import { asFunction, asValue, type AwilixContainer, createContainer, InjectionMode } from 'awilix'
import { PlatformHeaders, RowStore, readyPath, type BootFile, Table } from '../../platform/index.ts'
import { type Clock, type Randomness, SystemClock, SystemRandomness } from '../contract/index.ts'
import { Connections } from '../endpoint/index.ts'
import { Forwarding, GatewayMetrics, GatewayServer, OperationsServer, RollOutDuty, RollOutView, RoutingView } from '../gateway/index.ts'
import { TcpLink } from '../link/index.ts'
import { LineQueue, Log, descriptorSink } from '../observe/index.ts'
import { EndpointLoads, EndpointPlacement, EndpointRoster, ModelSizes, RepeatAllowance, VersionChoice } from '../placing/index.ts'
import { PeerReplicas, RelayFollower, ReplicaFollower, ReplicaRelay, usualFeedWaitMilliseconds } from '../replica/index.ts'
import { RowRollOutStore } from './rollOutStore.ts'
import { RowIntake } from './rowIntake.ts'

/** Tables that every forwarder follows. */
export const followedTables = [Table.Orders, Table.Endpoints, Table.Status] as const

/** A connection to an endpoint stands within this, or the endpoint counts as out of reach. */
const connectMilliseconds = 450
const standardOutput = 1
/** From this many gateways on, most follow the store through a few. */
const relayedFleet = 16
/** The store must have vouched for a relay's tables within this part of the time that new settings may take. */
const freshShare = 0.7
/** Of that time, what a call to the store may take besides its wait. */
const relayFeedGraceMilliseconds = 600
const leastRelayWaitMilliseconds = 300

/** The boot file in force; a reload replaces it. */
export interface BootHolder {
  current: BootFile
}

/** Every part of a forwarder. */
export interface ForwarderParts {
  readonly boot: BootHolder
  readonly secret: string
  readonly clock: Clock
  readonly randomness: Randomness
  readonly lines: LineQueue
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly store: RowStore
  readonly link: TcpLink
  readonly follower: ReplicaFollower
  readonly peers: PeerReplicas
  readonly relay: ReplicaRelay
  readonly relayFollower: RelayFollower
  readonly routing: RoutingView
  readonly roster: EndpointRoster
  readonly loads: EndpointLoads
  readonly rollOuts: RollOutView
  readonly versions: VersionChoice
  readonly rollOutStore: RowRollOutStore
  readonly duty: RollOutDuty
  readonly intake: RowIntake
  readonly connections: Connections
  readonly forwarding: Forwarding
  readonly gateway: GatewayServer
  readonly operations: OperationsServer
}

/**
 * Puts a forwarder's parts together.
 *
 * @param secret known to all forwarders; proves to a peer that it is one
 * @example
 * const container = composeForwarder(boot, secret)
 * container.cradle.follower.start()
 */
export function composeForwarder (boot: BootFile, secret: string): AwilixContainer<ForwarderParts> {
  const container = createContainer<ForwarderParts>({ injectionMode: InjectionMode.PROXY, strict: true })
  const single = <Part>(make: (parts: ForwarderParts) => Part) => asFunction(make).singleton()
  container.register({
    boot: asValue({ current: boot }),
    secret: asValue(secret),
    clock: single(() => new SystemClock()),
    randomness: single(() => new SystemRandomness()),
    lines: single(() => new LineQueue(descriptorSink(standardOutput))),
    log: single(({ boot, lines }) => new Log('info', { virtualMachine: boot.current.name }, line => lines.push(line))),
    metrics: single(() => new GatewayMetrics()),
    store: single(({ boot }) => new RowStore({ address: boot.current.storeAddress })),
    link: single(makeLink),
    follower: single(makeFollower),
    peers: single(makePeers),
    relay: single(({ link, follower, clock }) => new ReplicaRelay({ link, follower, tables: followedTables, clock })),
    relayFollower: single(makeRelayFollower),
    routing: single(() => new RoutingView()),
    roster: single(() => new EndpointRoster()),
    loads: single(() => new EndpointLoads()),
    rollOuts: single(parts => new RollOutView(parts.boot.current.name, () => parts.follower.storeTime)),
    versions: single(({ boot }) => new VersionChoice(boot.current.sessionMilliseconds)),
    rollOutStore: single(({ store, follower }) => new RowRollOutStore(store, () => follower.storeTime)),
    duty: single(makeDuty),
    intake: single(parts => new RowIntake(parts)),
    connections: single(() => new Connections({ connectTimeoutMilliseconds: connectMilliseconds })),
    forwarding: single(makeForwarding),
    gateway: single(makeGateway),
    operations: single(makeOperations)
  })
  return container
}

function makeLink ({ boot, secret, clock }: ForwarderParts): TcpLink {
  const { name, peerAddress, place } = boot.current
  return new TcpLink({ identity: { name, address: peerAddress, place, rack: '', incarnation: Math.floor(clock.now()) }, secret, clock })
}

function makeFollower (parts: ForwarderParts): ReplicaFollower {
  const { store, clock, randomness, log } = parts
  return new ReplicaFollower({
    feed: store,
    tables: followedTables,
    isNeeded: table => table !== Table.Status || parts.rollOuts.isUnderWay,
    feedWaitMilliseconds: () => mayRelay(parts)
      ? Math.min(usualFeedWaitMilliseconds, Math.max(leastRelayWaitMilliseconds, freshMilliseconds(parts) - relayFeedGraceMilliseconds))
      : usualFeedWaitMilliseconds,
    clock,
    randomness,
    log,
    onChange: (table, replica) => {
      parts.intake.take(table, replica)
      parts.relay.changed()
    }
  })
}

/** A seed may be asked at any moment; its news must be fresh then. */
function mayRelay ({ boot, relay }: ForwarderParts): boolean {
  return relay.isAsked || boot.current.seeds.includes(boot.current.peerAddress)
}

function makeRelayFollower (parts: ForwarderParts): RelayFollower {
  const { link, follower, relay, peers, clock, log, boot } = parts
  return new RelayFollower({
    link,
    follower,
    relay,
    tables: followedTables,
    relays: () => boot.current.seeds,
    isWorthwhile: () => peers.fleetSize >= relayedFleet,
    freshMilliseconds: freshMilliseconds(parts),
    clock,
    log
  })
}

function freshMilliseconds ({ boot }: ForwarderParts): number {
  return boot.current.settingsMilliseconds * freshShare
}

function makePeers ({ link, follower, clock, randomness, log, boot }: ForwarderParts): PeerReplicas {
  return new PeerReplicas({ link, follower, clock, randomness, log, tables: followedTables, seeds: () => boot.current.seeds })
}

function makeDuty ({ boot, rollOuts, rollOutStore, versions, clock, randomness, log, roster }: ForwarderParts): RollOutDuty {
  return new RollOutDuty({
    view: rollOuts,
    versions,
    observer: boot.current.name,
    store: rollOutStore,
    clock,
    randomness,
    log,
    hasEndpoints: order => roster.serving(order.service, clock.now()).some(endpoint => endpoint.version === order.toVersion)
  })
}

function makeForwarding (parts: ForwarderParts): Forwarding {
  const { boot, loads, randomness } = parts
  return new Forwarding({
    clock: parts.clock,
    log: parts.log,
    metrics: parts.metrics,
    routing: parts.routing,
    roster: parts.roster,
    loads,
    rollOuts: parts.rollOuts,
    connections: parts.connections,
    codec: new PlatformHeaders(),
    placement: new EndpointPlacement(boot.current.place, loads, randomness),
    sizes: new ModelSizes(),
    allowance: new RepeatAllowance(boot.current.repeatRatio),
    versions: parts.versions
  })
}

function makeGateway ({ clock, log, forwarding }: ForwarderParts): GatewayServer {
  return new GatewayServer({
    clock,
    log,
    handle: (request, response) => forwarding.handle(request, response),
    refuse: (request, response) => forwarding.refuseStopping(request, response),
    inFlight: () => forwarding.inFlight
  })
}

function makeOperations ({ intake, gateway, metrics, lines, follower }: ForwarderParts): OperationsServer {
  return new OperationsServer({
    readyPath,
    ready: () => intake.isComplete && !gateway.isDraining,
    metrics: {
      text: () => {
        metrics.droppedLines.set(lines.dropped)
        metrics.storeLost.set(follower.isCutOff ? 1 : 0)
        return metrics.text()
      }
    }
  })
}
