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
import { rowSchema, rowsOf } from './relayMessage.ts'
import type { ReplicaFollower } from './replicaFollower.ts'

/** How often peers are asked while the store is out. */
const askMilliseconds = 400
/** Peers asked each time; more than one, since a peer may be cut off as well. */
const peersAsked = 2
const replyMilliseconds = 1_000
const introductionRetryMilliseconds = 2_000
/** Introductions are repeated, to learn of gateways that came since, after this and then twice as long each time. */
const firstIntroductionMilliseconds = 1_500
const longestIntroductionMilliseconds = 60_000
/** Peers remembered; a daemon that is cut off needs a few that are not. */
const mostPeers = 64

const versionsSchema = z.record(z.string(), z.number())
const replySchema = z.object({
  tables: z.array(z.object({ table: z.string(), version: z.number(), rows: z.array(rowSchema) })),
  peers: z.array(z.object({ name: z.string(), address: z.string() }))
})

type NewerCopies = z.infer<typeof replySchema>

/** Asks for tables that are newer than the versions named; none are named by an introduction. */
const newerCopies: MessageType<Record<string, number>, NewerCopies> = {
  name: 'newer_copies',
  body: versionsSchema,
  reply: replySchema
}

/** What the exchange with peers is made of. */
export interface PeerReplicasOptions {
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
export class PeerReplicas {
  readonly #options: PeerReplicasOptions
  readonly #peers = new Map<string, Peer>()
  readonly #stopping = new AbortController()

  constructor (options: PeerReplicasOptions) {
    this.#options = options
    options.link.handle(newerCopies, async (versions, from) => {
      this.#remember({ name: from.name, address: from.address })
      return { tables: this.#newerThan(versions), peers: [...this.#peers.values()] }
    })
  }

  /** Introduces this daemon to the seeds, then asks peers whenever the store is out; returns at once. */
  start (): void {
    const logFailure = (error: unknown) => this.#options.log.error('peer_replicas_failed', { reason: String(error) })
    this.#introduceAgain().catch(logFailure)
    this.#askWhileCutOff().catch(logFailure)
  }

  stop (): void {
    this.#stopping.abort()
  }

  /** Gateways known, this one included; no more than are remembered. */
  get fleetSize (): number {
    return this.#peers.size + 1
  }

  async #introduceAgain (): Promise<void> {
    let pause = firstIntroductionMilliseconds
    while (!this.#stopping.signal.aborted) {
      await this.#introduce()
      await this.#options.clock.sleep(pause, this.#stopping.signal)
      pause = Math.min(longestIntroductionMilliseconds, pause * 2)
    }
  }

  async #introduce (): Promise<void> {
    const waiting = new Set(this.#seeds().map(peer => peer.address))
    while (waiting.size > 0 && !this.#stopping.signal.aborted) {
      const asked = [...waiting].map(async address => {
        if (await this.#ask({ name: '', address }, {})) waiting.delete(address)
      })
      await Promise.all(asked)
      if (waiting.size > 0) await this.#options.clock.sleep(introductionRetryMilliseconds, this.#stopping.signal)
    }
  }

  async #askWhileCutOff (): Promise<void> {
    const { clock, follower } = this.#options
    while (!this.#stopping.signal.aborted) {
      await clock.sleep(askMilliseconds, this.#stopping.signal)
      if (!follower.isCutOff) continue
      await Promise.all(this.#drawPeers().map(peer => this.#ask(peer, this.#versions())))
    }
  }

  async #ask (peer: Peer, versions: Record<string, number>): Promise<boolean> {
    const reply = await this.#options.link.request(peer, newerCopies, versions, replyMilliseconds)
    if (reply.err) return false
    for (const told of reply.val.peers) this.#remember(told)
    for (const { table, version, rows } of reply.val.tables) {
      if (this.#options.follower.adopt(table, { version, rows: rowsOf(rows) })) {
        this.#options.log.info('replica_from_peer', { table, version, peer: peer.address })
      }
    }
    return true
  }

  #newerThan (versions: Readonly<Record<string, number>>): NewerCopies['tables'] {
    const copies: NewerCopies['tables'] = []
    for (const [table, version] of Object.entries(versions)) {
      const replica = this.#options.follower.replica(table)
      const isServed = this.#options.tables.includes(table) && replica.version > version
      if (isServed) copies.push({ table, version: replica.version, rows: [...replica.rows.values()] })
    }
    return copies
  }

  #versions (): Record<string, number> {
    return Object.fromEntries(this.#options.tables.map(table => [table, this.#options.follower.replica(table).version]))
  }

  #remember (peer: Peer): void {
    if (peer.address === this.#options.link.self.address) return
    this.#peers.delete(peer.address)
    this.#peers.set(peer.address, peer)
    const [oldest] = this.#peers.keys()
    if (this.#peers.size > mostPeers && oldest !== undefined) this.#peers.delete(oldest)
  }

  #seeds (): Peer[] {
    const { link, seeds } = this.#options
    return seeds().filter(address => address !== link.self.address).map(address => ({ name: '', address }))
  }

  #drawPeers (): Peer[] {
    const known = [...this.#peers.values()]
    const candidates = known.length > 0 ? known : this.#seeds()
    const drawn: Peer[] = []
    while (drawn.length < peersAsked && candidates.length > 0) {
      drawn.push(...candidates.splice(this.#options.randomness.below(candidates.length), 1))
    }
    return drawn
  }
}
