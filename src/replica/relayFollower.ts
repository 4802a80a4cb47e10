/**
 * Follows the store through another gateway. Where a fleet is large, calls of every gateway to the
 * store add up, while a few can tell all others; news then takes one step more. A relay is left for
 * the store itself as soon as it does not answer, or says that the store has not vouched for its
 * tables of late: a gateway must not miss settings because another one was cut off.
 */
import { type Clock, hashOf } from '../contract/index.ts'
import type { Link, Peer } from '../link/index.ts'
import type { Log } from '../observe/index.ts'
import { type RelayNews, relayedNews, rowsOf } from './relayMessage.ts'
import type { ReplicaFollower } from './replicaFollower.ts'
import type { ReplicaRelay } from './replicaRelay.ts'

/** Relays among which gateways divide themselves; the others stand in for them. */
const usualRelays = 2
/** A relay holds a question so long while nothing changes. */
const waitMilliseconds = 1_000
/** Beyond the wait: the way there and back between regions, and a busy relay. */
const answerMilliseconds = 400
/** A relay that did not answer is not asked again for so long. */
const silentAvoidedMilliseconds = 5_000
/** The same for one that had not heard the store: its feeds may just have begun to be short. */
const staleAvoidedMilliseconds = 2_000
const idleMilliseconds = 500
/** Between questions, so that changes in quick succession come together. */
const gatherMilliseconds = 100

/** What a follower through relays is made of. */
export interface RelayFollowerOptions {
  readonly link: Link
  readonly follower: ReplicaFollower
  readonly relay: ReplicaRelay
  readonly tables: readonly string[]
  /** Link addresses of gateways that may relay; the same ones in the same order for all. */
  readonly relays: () => readonly string[]
  /** Whether there are gateways enough. */
  readonly isWorthwhile: () => boolean
  /** A relay's tables must have been vouched for within this. */
  readonly relayFreshnessMilliseconds: number
  readonly clock: Clock
  readonly log: Log
}

/** One gateway's way to the store through relays. */
export class RelayFollower {
  readonly #options: RelayFollowerOptions
  readonly #avoidedUntil = new Map<string, number>()
  readonly #stopping = new AbortController()
  #source: string | undefined

  constructor (options: RelayFollowerOptions) {
    this.#options = options
  }

  /** Follows relays where that is worthwhile, until it is stopped; returns at once. */
  start (): void {
    this.#run().catch(error => {
      this.#options.follower.resume()
      this.#options.log.error('relay_follower_failed', { reason: String(error) })
    })
  }

  stop (): void {
    this.#stopping.abort()
  }

  async #run (): Promise<void> {
    const { clock } = this.#options
    while (!this.#stopping.signal.aborted) {
      const address = this.#choose()
      const isFollowed = address !== undefined && await this.#ask(address)
      if (!isFollowed) this.#follow(undefined)
      await clock.sleep(isFollowed ? gatherMilliseconds : idleMilliseconds, this.#stopping.signal)
    }
    this.#options.follower.resume()
  }

  /** The relay to ask; undefined where this gateway is to ask the store. */
  #choose (): string | undefined {
    const { clock, follower, isWorthwhile, link, relay, relays } = this.#options
    if (!isWorthwhile() || relay.isAsked || !follower.isComplete) return undefined
    const others = relays().filter(address => address !== link.self.address)
    const own = Math.floor(hashOf(link.self.name) * Math.min(usualRelays, others.length))
    const ordered = [...others.slice(own), ...others.slice(0, own)]
    return ordered.find(address => (this.#avoidedUntil.get(address) ?? 0) <= clock.now())
  }

  async #ask (address: string): Promise<boolean> {
    const { clock, follower, relayFreshnessMilliseconds: freshMilliseconds, link, tables } = this.#options
    const versions = Object.fromEntries(tables.map(table => [table, follower.replica(table).version]))
    const wait = this.#source === address ? Math.max(0, Math.min(waitMilliseconds, freshMilliseconds - follower.ageMilliseconds)) : 0
    const peer: Peer = { name: '', address }
    const news = await link.request(peer, relayedNews, { versions, waitMilliseconds: wait }, wait + answerMilliseconds)
    if (news.ok && news.val.ageMilliseconds <= freshMilliseconds) {
      this.#take(news.val)
      this.#follow(address)
      return true
    }
    const reason = news.err ? news.val.reason : `the store was last heard ${Math.round(news.val.ageMilliseconds)} ms ago`
    this.#avoidedUntil.set(address, clock.now() + (news.err ? silentAvoidedMilliseconds : staleAvoidedMilliseconds))
    this.#options.log.info('relay_left', { relay: address, reason })
    return false
  }

  #take ({ tables, ageMilliseconds, storeTime }: RelayNews): void {
    const { clock, follower } = this.#options
    const heardAt = clock.now() - ageMilliseconds
    for (const { table, version, isWhole, rows } of tables) {
      follower.takeRelayed(table, { version, isWhole, rows: rowsOf(rows) }, heardAt)
    }
    if (storeTime !== undefined) follower.setStoreTime(storeTime)
  }

  /** The store's own feeds rest while a relay is followed. */
  #follow (source: string | undefined): void {
    if (this.#source === source) return
    this.#source = source
    if (source === undefined) this.#options.follower.resume()
    else this.#options.follower.rest()
    this.#options.log.info('replica_source', { source: source ?? 'store' })
  }
}
