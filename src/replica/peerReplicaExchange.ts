/**
 * Fetches newer copies of tables from peers, for a daemon that the store rejects or that started during a
 * store outage. While the store answers, nothing is sent except introductions, at the start and then at
 * growing intervals; through them the few daemons in everyone's settings learn of all others.
 */
import * as z from 'zod'
import { type Clock, type Randomness, dropOldest, randomSample } from '../contract/index.ts'
import type { Link, MessageType, Peer } from '../link/index.ts'
import type { Log } from '../observe/index.ts'
import type { TablePosition } from './contract.ts'
import { type EncodedPositions, acceptsDeflated, decodePosition, encodePositions, positionsSchema } from './relayMessages.ts'
import type { ReplicaFollower } from './replicaFollower.ts'
import { decodeRows, encodeRows, rowSchema } from './rowCompression.ts'
import { type TableReplica, comparePositions } from './tableReplica.ts'

/** How often peers are asked during a store outage. */
const requestIntervalMilliseconds = 400
/** How often it is checked whether the store fails; a failure ends the wait as well. */
const failureCheckIntervalMilliseconds = 5_000
/** Peers per request; more than one, since a peer may be cut off as well. */
const peersPerRequest = 2
const replyTimeoutMilliseconds = 1_000
const introductionRetryDelayMilliseconds = 2_000
/** Introductions are repeated, to learn of gateways started since, after this time and then at doubling intervals. */
const minimumIntroductionIntervalMilliseconds = 1_500
const maximumIntroductionIntervalMilliseconds = 60_000
/** Maximum number of remembered peers; a daemon that is cut off needs a few that are not. */
const maximumPeers = 64

const replySchema = z.object({
  tables: z.array(z.object({ table: z.string(), version: z.number(), epoch: z.number().optional(), rows: z.array(rowSchema).readonly() })),
  peers: z.array(z.object({ name: z.string(), address: z.string() })),
  /** Incarnations of endpoints that are draining; absent in replies to introductions. */
  draining: z.array(z.string()).readonly().optional()
})

type NewerCopiesReply = z.infer<typeof replySchema>

/** Requests tables that are newer than the given positions; an introduction gives none. */
const newerCopiesRequest: MessageType<EncodedPositions, NewerCopiesReply> = {
  name: 'newer_copies',
  body: positionsSchema,
  reply: replySchema
}

export interface PeerReplicaExchangeOptions {
  readonly link: Link
  /** Addresses from the settings; some may be stale or down. */
  readonly seeds: () => readonly string[]
  readonly tables: readonly string[]
  readonly follower: ReplicaFollower
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
  /** Incarnations of endpoints that this daemon knows to be draining. */
  readonly drainingInstances: () => readonly string[]
  /** Called for each incarnation that a peer knows to be draining. */
  readonly onDrainingInstance: (instance: string, peer: Peer) => void
}

/** Exchanges copies of tables with peers. */
export class PeerReplicaExchange {
  readonly #options: PeerReplicaExchangeOptions
  readonly #peers = new Map<string, Peer>()
  readonly #stopping = new AbortController()

  constructor (options: PeerReplicaExchangeOptions) {
    this.#options = options
    options.link.handle(newerCopiesRequest, async (positions, from) => {
      this.#rememberPeer({ name: from.name, address: from.address })
      const isIntroduction = Object.keys(positions).length === 0
      const draining = isIntroduction ? undefined : options.drainingInstances()
      return { tables: this.#copiesNewerThan(positions), peers: [...this.#peers.values()], draining }
    })
  }

  /** Introduces this daemon to the seeds, then asks peers whenever a feed of the store fails; returns at once. */
  start (): void {
    const logFailure = (error: unknown) => this.#options.log.error('peer_replicas_failed', { reason: String(error) })
    this.#introducePeriodically().catch(logFailure)
    this.#requestWhileStoreFails().catch(logFailure)
  }

  stop (): void {
    this.#stopping.abort()
    this.#options.follower.failureWakeup.wake()
  }

  /** Number of known gateways, including this one; bounded by the number of remembered peers. */
  get knownGatewayCount (): number {
    return this.#peers.size + 1
  }

  /** Other gateways that are known, and those in the settings. */
  get peers (): readonly Peer[] {
    return [...new Map([...this.#seedPeers(), ...this.#peers.values()].map(peer => [peer.address, peer])).values()]
  }

  async #introducePeriodically (): Promise<void> {
    let interval = minimumIntroductionIntervalMilliseconds
    while (!this.#stopping.signal.aborted) {
      await this.#introduce()
      await this.#options.clock.sleep(interval, this.#stopping.signal)
      interval = Math.min(maximumIntroductionIntervalMilliseconds, interval * 2)
    }
  }

  async #introduce (): Promise<void> {
    const pending = new Set(this.#seedPeers().map(peer => peer.address))
    while (pending.size > 0 && !this.#stopping.signal.aborted) {
      const requests = [...pending].map(async address => {
        if (await this.#requestFrom({ name: '', address }, {})) pending.delete(address)
      })
      await Promise.all(requests)
      if (pending.size > 0) await this.#options.clock.sleep(introductionRetryDelayMilliseconds, this.#stopping.signal)
    }
  }

  async #requestWhileStoreFails (): Promise<void> {
    const { clock, follower } = this.#options
    while (!this.#stopping.signal.aborted) {
      if (follower.hasFailingFeed) await clock.sleep(requestIntervalMilliseconds, this.#stopping.signal)
      else await follower.failureWakeup.sleep(clock, failureCheckIntervalMilliseconds)
      if (!follower.hasFailingFeed) continue
      await Promise.all(this.#pickPeers().map(peer => this.#requestFrom(peer, this.#knownPositions())))
    }
  }

  async #requestFrom (peer: Peer, positions: EncodedPositions): Promise<boolean> {
    const reply = await this.#options.link.request(peer, newerCopiesRequest, positions, replyTimeoutMilliseconds)
    if (reply.err) return false
    for (const known of reply.val.peers) this.#rememberPeer(known)
    for (const instance of reply.val.draining ?? []) this.#options.onDrainingInstance(instance, peer)
    for (const copy of reply.val.tables) this.#installCopy(copy, peer)
    return true
  }

  #installCopy ({ table, version, epoch = 0, rows }: NewerCopiesReply['tables'][number], peer: Peer): void {
    const { follower, log } = this.#options
    const decoded = decodeRows(rows)
    if (decoded.err) return log.warn('peer_rows_unreadable', { table, peer: peer.address, reason: decoded.val.reason })
    if (follower.installSnapshot(table, { version, epoch, rows: decoded.val })) log.info('replica_from_peer', { table, epoch, version, peer: peer.address })
  }

  #copiesNewerThan (positions: EncodedPositions): NewerCopiesReply['tables'] {
    const isDeflated = acceptsDeflated(positions)
    return this.#options.tables.flatMap(table => {
      const position = decodePosition(positions, table)
      const replica = this.#options.follower.replica(table)
      const isNewer = position !== undefined && comparePositions(replica, position) > 0 && hasChangedSince(replica, position)
      return isNewer ? [{ table, version: replica.version, epoch: replica.epoch, rows: encodeRows(replica.storedRows, isDeflated) }] : []
    })
  }

  #knownPositions (): EncodedPositions {
    return encodePositions(new Map(this.#options.tables.map(table => [table, this.#options.follower.replica(table)])))
  }

  #rememberPeer (peer: Peer): void {
    if (peer.address === this.#options.link.self.address) return
    this.#peers.delete(peer.address)
    this.#peers.set(peer.address, peer)
    dropOldest(this.#peers, maximumPeers)
  }

  #seedPeers (): Peer[] {
    const { link, seeds } = this.#options
    return seeds().filter(address => address !== link.self.address).map(address => ({ name: '', address }))
  }

  #pickPeers (): Peer[] {
    const known = [...this.#peers.values()]
    const candidates = known.length > 0 ? known : this.#seedPeers()
    return randomSample(this.#options.randomness, candidates, peersPerRequest)
  }
}

/** The store's position moves with every transaction, whichever table it changes. */
function hasChangedSince (replica: TableReplica, position: TablePosition): boolean {
  const { isWhole, rows } = replica.changesSince(position)
  return isWhole || rows.length > 0
}
