/**
 * Newer copies of tables from peers, for a daemon that the store turns away or that started while
 * the store was out. Nothing is sent while the store answers, but for introductions, at the start
 * and then at growing pauses, by which the few daemons that all know from their settings come to
 * know all others.
 */
import { z } from 'zod'
import type { Clock, Randomness } from '../contract/index.ts'
import type { Link, MessageType, Peer } from '../link/index.ts'
import type { Log } from '../observe/index.ts'
import { rowSchema, decodeRows } from './relayMessages.ts'
import type { ReplicaFollower } from './replicaFollower.ts'

/** How often peers are asked while the store is out. */
const requestIntervalMilliseconds = 400
/** Peers asked each time; more than one, since a peer may be cut off as well. */
const peersPerRequest = 2
const replyTimeoutMilliseconds = 1_000
const introductionRetryDelayMilliseconds = 2_000
/** Introductions are repeated, to learn of gateways that came since, after this and then twice as long each time. */
const minimumIntroductionIntervalMilliseconds = 1_500
const maximumIntroductionIntervalMilliseconds = 60_000
/** Peers remembered; a daemon that is cut off needs a few that are not. */
const maximumPeers = 64

const versionsSchema = z.record(z.string(), z.number())
const replySchema = z.object({
  tables: z.array(z.object({ table: z.string(), version: z.number(), rows: z.array(rowSchema) })),
  peers: z.array(z.object({ name: z.string(), address: z.string() }))
})

type NewerCopiesReply = z.infer<typeof replySchema>

/** Asks for tables that are newer than the versions named; none are named by an introduction. */
const newerCopiesRequest: MessageType<Record<string, number>, NewerCopiesReply> = {
  name: 'newer_copies',
  body: versionsSchema,
  reply: replySchema
}

/** What the exchange with peers is made of. */
export interface PeerReplicaExchangeOptions {
  readonly link: Link
  /** Addresses that the settings name; some may be stale or down. */
  readonly seeds: () => readonly string[]
  readonly tables: readonly string[]
  readonly follower: ReplicaFollower
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
}

/** Exchanges copies of tables with peers. */
export class PeerReplicaExchange {
  readonly #options: PeerReplicaExchangeOptions
  readonly #peers = new Map<string, Peer>()
  readonly #stopping = new AbortController()

  constructor (options: PeerReplicaExchangeOptions) {
    this.#options = options
    options.link.handle(newerCopiesRequest, async (versions, from) => {
      this.#rememberPeer({ name: from.name, address: from.address })
      return { tables: this.#copiesNewerThan(versions), peers: [...this.#peers.values()] }
    })
  }

  /** Introduces this daemon to the seeds, then asks peers whenever the store is out; returns at once. */
  start (): void {
    const logFailure = (error: unknown) => this.#options.log.error('peer_replicas_failed', { reason: String(error) })
    this.#introducePeriodically().catch(logFailure)
    this.#requestWhileStoreFails().catch(logFailure)
  }

  stop (): void {
    this.#stopping.abort()
  }

  /** Gateways known, this one included; no more than are remembered. */
  get knownGatewayCount (): number {
    return this.#peers.size + 1
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
      await clock.sleep(requestIntervalMilliseconds, this.#stopping.signal)
      if (!follower.hasFailingFeed) continue
      await Promise.all(this.#pickPeers().map(peer => this.#requestFrom(peer, this.#knownVersions())))
    }
  }

  async #requestFrom (peer: Peer, versions: Record<string, number>): Promise<boolean> {
    const reply = await this.#options.link.request(peer, newerCopiesRequest, versions, replyTimeoutMilliseconds)
    if (reply.err) return false
    for (const known of reply.val.peers) this.#rememberPeer(known)
    for (const { table, version, rows } of reply.val.tables) {
      if (this.#options.follower.installSnapshot(table, { version, rows: decodeRows(rows) })) {
        this.#options.log.info('replica_from_peer', { table, version, peer: peer.address })
      }
    }
    return true
  }

  #copiesNewerThan (versions: Readonly<Record<string, number>>): NewerCopiesReply['tables'] {
    const copies: NewerCopiesReply['tables'] = []
    for (const [table, version] of Object.entries(versions)) {
      const replica = this.#options.follower.replica(table)
      const isServed = this.#options.tables.includes(table) && replica.version > version
      if (isServed) copies.push({ table, version: replica.version, rows: [...replica.rows.values()] })
    }
    return copies
  }

  #knownVersions (): Record<string, number> {
    return Object.fromEntries(this.#options.tables.map(table => [table, this.#options.follower.replica(table).version]))
  }

  #rememberPeer (peer: Peer): void {
    if (peer.address === this.#options.link.self.address) return
    this.#peers.delete(peer.address)
    this.#peers.set(peer.address, peer)
    const [oldest] = this.#peers.keys()
    if (this.#peers.size > maximumPeers && oldest !== undefined) this.#peers.delete(oldest)
  }

  #seedPeers (): Peer[] {
    const { link, seeds } = this.#options
    return seeds().filter(address => address !== link.self.address).map(address => ({ name: '', address }))
  }

  #pickPeers (): Peer[] {
    const known = [...this.#peers.values()]
    const candidates = known.length > 0 ? known : this.#seedPeers()
    const picked: Peer[] = []
    while (picked.length < peersPerRequest && candidates.length > 0) {
      picked.push(...candidates.splice(this.#options.randomness.below(candidates.length), 1))
    }
    return picked
  }
}
