/**
 * Follows the store through another gateway. Where a fleet is large, calls of every gateway to the
 * store add up, while a few can tell all others; news then takes one step more. A relay is left for
 * the store itself as soon as it does not answer, or says that the store has not vouched for its
 * tables of late: a gateway must not miss settings because another one was cut off.
 */
import { type Clock, hashOf } from '../contract/index.ts'
import type { Link, Peer } from '../link/index.ts'
import type { Log } from '../observe/index.ts'
import { type RelayReply, relayRequest, decodeRows } from './relayMessages.ts'
import type { ReplicaFollower } from './replicaFollower.ts'
import type { ReplicaRelay } from './replicaRelay.ts'

/** Relays among which gateways divide themselves; the others stand in for them. */
const primaryRelayCount = 2
/** A relay holds a question so long while nothing changes. */
const maximumWaitMilliseconds = 1_000
/** Beyond the wait: the way there and back between regions, and a busy relay. */
const replyGraceMilliseconds = 400
/** A relay that did not answer is not asked again for so long. */
const unresponsiveRelayBackoffMilliseconds = 5_000
/** The same for one that had not heard the store: its feeds may just have begun to be short. */
const staleRelayBackoffMilliseconds = 2_000
const retryDelayMilliseconds = 500
/** Between questions, so that changes in quick succession come together. */
const batchDelayMilliseconds = 100

/** What a follower through relays is made of. */
export interface RelayFollowerOptions {
  readonly link: Link
  readonly follower: ReplicaFollower
  readonly relay: ReplicaRelay
  readonly tables: readonly string[]
  /** Link addresses of gateways that may relay; the same ones in the same order for all. */
  readonly relayAddresses: () => readonly string[]
  /** Whether there are gateways enough. */
  readonly isEnabled: () => boolean
  /** A relay's tables must have been vouched for within this. */
  readonly maximumAgeMilliseconds: number
  readonly clock: Clock
  readonly log: Log
}

/** One gateway's way to the store through relays. */
export class RelayFollower {
  readonly #options: RelayFollowerOptions
  readonly #backoffUntil = new Map<string, number>()
  readonly #stopping = new AbortController()
  #currentRelay: string | undefined

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
      const relayAddress = this.#chooseRelay()
      const isFollowing = relayAddress !== undefined && await this.#requestFrom(relayAddress)
      if (!isFollowing) this.#switchTo(undefined)
      await clock.sleep(isFollowing ? batchDelayMilliseconds : retryDelayMilliseconds, this.#stopping.signal)
    }
    this.#options.follower.resume()
  }

  /** The relay to ask; undefined where this gateway is to ask the store. */
  #chooseRelay (): string | undefined {
    const { clock, follower, isEnabled, link, relay, relayAddresses } = this.#options
    if (!isEnabled() || relay.isInUse || !follower.isComplete) return undefined
    const others = relayAddresses().filter(address => address !== link.self.address)
    const firstIndex = Math.floor(hashOf(link.self.name) * Math.min(primaryRelayCount, others.length))
    const ordered = [...others.slice(firstIndex), ...others.slice(0, firstIndex)]
    return ordered.find(address => (this.#backoffUntil.get(address) ?? 0) <= clock.now())
  }

  async #requestFrom (address: string): Promise<boolean> {
    const { clock, follower, maximumAgeMilliseconds, link, tables } = this.#options
    const versions = Object.fromEntries(tables.map(table => [table, follower.replica(table).version]))
    const relayWaitMilliseconds = this.#currentRelay === address ? Math.max(0, Math.min(maximumWaitMilliseconds, maximumAgeMilliseconds - follower.ageMilliseconds)) : 0
    const peer: Peer = { name: '', address }
    const reply = await link.request(peer, relayRequest, { versions, waitMilliseconds: relayWaitMilliseconds }, relayWaitMilliseconds + replyGraceMilliseconds)
    if (reply.ok && reply.val.ageMilliseconds <= maximumAgeMilliseconds) {
      this.#applyReply(reply.val)
      this.#switchTo(address)
      return true
    }
    const reason = reply.err ? reply.val.reason : `the store was last heard ${Math.round(reply.val.ageMilliseconds)} ms ago`
    this.#backoffUntil.set(address, clock.now() + (reply.err ? unresponsiveRelayBackoffMilliseconds : staleRelayBackoffMilliseconds))
    this.#options.log.info('relay_left', { relay: address, reason })
    return false
  }

  #applyReply ({ tables, ageMilliseconds, storeTime }: RelayReply): void {
    const { clock, follower } = this.#options
    const confirmedAt = clock.now() - ageMilliseconds
    for (const { table, version, isWhole, rows } of tables) {
      follower.applyRelayed(table, { version, isWhole, rows: decodeRows(rows) }, confirmedAt)
    }
    if (storeTime !== undefined) follower.setStoreTime(storeTime)
  }

  /** The store's own feeds rest while a relay is followed. */
  #switchTo (relayAddress: string | undefined): void {
    if (this.#currentRelay === relayAddress) return
    this.#currentRelay = relayAddress
    if (relayAddress === undefined) this.#options.follower.resume()
    else this.#options.follower.pause()
    this.#options.log.info('replica_source', { source: relayAddress ?? 'store' })
  }
}
