/**
 * Follows the store through another gateway. In a large fleet the store calls of every gateway add up,
 * while a few gateways can relay to all others at the cost of one more hop. A gateway falls back to the
 * store as soon as its relay does not answer, or reports that the store has not confirmed its tables
 * recently: a gateway must not miss settings because another one was cut off.
 *
 * A gateway that starts asks a relay first and reads the store only if that does not help soon. How long it waits
 * depends on its link: where whole tables take long, a fleet that starts at once would fill the lines between
 * regions with them. Its feeds wait a little longer, since the relays of such a fleet are ready a moment later.
 *
 * Relays of the own region go first, so that what is told to all crosses the lines between regions once.
 */
import { type Clock, Ok, type Result, Wait, hashFraction, scheduleReplyTimeout } from '../contract/index.ts'
import type { Link, Peer } from '../link/index.ts'
import type { Log } from '../observe/index.ts'
import { type Confirmation, ConfirmationHop } from './confirmation.ts'
import { type NewsTimeBudget, relayReplyMilliseconds } from './newsTimeBudget.ts'
import { type RelayReply, relayRequest, encodePositions } from './relayMessages.ts'
import type { ReplicaFollower } from './replicaFollower.ts'
import type { ReplicaRelay } from './replicaRelay.ts'
import { type RowFault, decodeRows } from './rowCompression.ts'

/** Relays that the gateways are distributed over; the remaining ones are fallbacks. */
const primaryRelayCount = 2
/** A relay that did not answer is not asked again for this time. */
const unresponsiveRelayBackoffMilliseconds = 5_000
/** The same for a relay without a recent store confirmation, whose feeds may just have switched to shorter waits. */
const staleRelayBackoffMilliseconds = 2_000
const retryDelayMilliseconds = 500
/** After its start a gateway waits this long for a relay before it lets the store hold calls for it. */
const startUpProbeMilliseconds = 1_500
const startUpProbeIntervalMilliseconds = 150
/** Delay between requests, so that changes in quick succession are batched. */
const batchDelayMilliseconds = 100

export interface RelayFollowerOptions {
  readonly link: Link
  readonly follower: ReplicaFollower
  readonly relay: ReplicaRelay
  readonly tables: readonly string[]
  /** Link addresses of gateways that may relay, the same and in the same order at all gateways. */
  readonly relayAddresses: () => readonly string[]
  /** The region of a gateway; undefined while it is not known. */
  readonly regionOf: (address: string) => string | undefined
  /** After its start a gateway reads the store if a relay has not delivered the tables within this time. */
  readonly startUpReplyMilliseconds: number
  /** Number of known gateways, including this one. */
  readonly gatewayCount: () => number
  /** Fleet size from which gateways follow relays. */
  readonly minimumFleetSize: number
  /** The waits that apply now. */
  readonly budget: () => NewsTimeBudget
  readonly clock: Clock
  readonly log: Log
}

/** Why a relay was not followed. */
interface RelayFailure {
  readonly reason: string
  /** For how long it is not asked again. */
  readonly backoffMilliseconds: number
  /** Whether no reply came. */
  readonly isUnanswered?: boolean
}

const smallFleet: RelayFailure = { reason: 'the fleet is too small for relays', backoffMilliseconds: staleRelayBackoffMilliseconds }

/** Follows the store through relays on behalf of one gateway. */
export class RelayFollower {
  readonly #options: RelayFollowerOptions
  readonly #backoffUntil = new Map<string, number>()
  readonly #stopping = new AbortController()
  #currentRelay: string | undefined
  /** As the relays last told. */
  #relayedGatewayCount = 0

  constructor (options: RelayFollowerOptions) {
    this.#options = options
  }

  /** Follows relays while that is enabled, until it is stopped; returns at once. */
  start (): void {
    this.#run().catch(error => {
      this.#options.follower.resume()
      this.#options.follower.releaseFeeds()
      this.#options.log.error('relay_follower_failed', { reason: String(error) })
    })
  }

  stop (): void {
    this.#stopping.abort()
  }

  async #run (): Promise<void> {
    const { clock, follower } = this.#options
    await this.#probe()
    while (!this.#stopping.signal.aborted) {
      const isFollowing = follower.isComplete && this.#isFleetLarge && await this.#followAny()
      if (!isFollowing) this.#switchTo(undefined)
      await clock.sleep(isFollowing ? batchDelayMilliseconds : retryDelayMilliseconds, this.#stopping.signal)
    }
    this.#options.follower.resume()
  }

  /** Looks for a relay after the start, while the store's feeds wait. */
  async #probe (): Promise<void> {
    const { clock, follower, link, relayAddresses, startUpReplyMilliseconds } = this.#options
    const isRelay = relayAddresses().includes(link.self.address)
    if (isRelay || relayAddresses().length === 0) return
    follower.holdFeeds()
    const deadline = clock.now() + startUpProbeMilliseconds
    const readStore = () => { if (this.#currentRelay === undefined) follower.resume() }
    const cancelRead = scheduleReplyTimeout(clock, startUpReplyMilliseconds, readStore)
    let failure = this.#requestFrom(this.#orderedRelays()[0])
    follower.pause()
    for (let probe = 1; await failure !== undefined && !follower.isComplete && clock.now() < deadline && !this.#stopping.signal.aborted; probe++) {
      await clock.sleep(startUpProbeIntervalMilliseconds, this.#stopping.signal)
      const relays = this.#orderedRelays()
      failure = this.#requestFrom(relays[probe % relays.length])
    }
    cancelRead()
    readStore()
    follower.releaseFeeds()
  }

  /** Asks the relays in turn until one can be followed. The store is not asked in between: each change would be read from it whole. */
  async #followAny (): Promise<boolean> {
    for (let address = this.#chooseRelay(); address !== undefined && !this.#stopping.signal.aborted; address = this.#chooseRelay()) {
      if (await this.#followOnce(address)) return true
    }
    return false
  }

  /** Asks a relay that is to be followed; one that should not be is left alone for a while. */
  async #followOnce (address: string): Promise<boolean> {
    const { clock, log } = this.#options
    const heldUpBefore = clock.heldUpMilliseconds()
    const isFollowed = this.#currentRelay === address
    const firstFailure = await this.#requestFrom(address, isFollowed ? this.#waitMilliseconds : 0)
    // The connection to a relay that has answered so far may be silent; the second request opens a new one.
    const failure = isFollowed && firstFailure?.isUnanswered === true ? await this.#requestFrom(address) : firstFailure
    if (failure === undefined) return true
    this.#backoffUntil.set(address, clock.now() + failure.backoffMilliseconds)
    log.info('relay_left', { relay: address, reason: failure.reason, heldUpMilliseconds: Math.round(clock.heldUpMilliseconds() - heldUpBefore) })
    return false
  }

  get #isFleetLarge (): boolean {
    const { gatewayCount, minimumFleetSize } = this.#options
    return Math.max(gatewayCount(), this.#relayedGatewayCount) >= minimumFleetSize
  }

  /** The relay to ask; undefined if this gateway is to ask the store. */
  #chooseRelay (): string | undefined {
    const { clock, relay } = this.#options
    if (relay.isInUse) return undefined
    return this.#orderedRelays().find(address => (this.#backoffUntil.get(address) ?? 0) <= clock.now())
  }

  /** The other gateways that may relay, those of the own region and among them this one's own first. */
  #orderedRelays (): readonly string[] {
    const { link, regionOf, relayAddresses } = this.#options
    const others = relayAddresses().filter(address => address !== link.self.address)
    const isNear = (address: string) => regionOf(address) === link.self.place.region
    return [...this.#rotated(others.filter(isNear)), ...this.#rotated(others.filter(address => !isNear(address)))]
  }

  /** Distributes the gateways over the first relays. */
  #rotated (relays: readonly string[]): readonly string[] {
    const firstIndex = Math.floor(hashFraction(this.#options.link.self.name) * Math.min(primaryRelayCount, relays.length))
    return [...relays.slice(firstIndex), ...relays.slice(0, firstIndex)]
  }

  /** How long the relay that is followed may hold a request. */
  get #waitMilliseconds (): number {
    const { budget, follower } = this.#options
    const { relayWaitMilliseconds, relayedAgeMilliseconds } = budget()
    return Math.max(0, Math.min(relayWaitMilliseconds, relayedAgeMilliseconds - follower.ageMilliseconds))
  }

  /** Asks a relay and follows it; returns why it should not be followed, if so. */
  async #requestFrom (address: string | undefined, waitMilliseconds = 0): Promise<RelayFailure | undefined> {
    if (address === undefined) return { reason: 'no relay is known', backoffMilliseconds: 0 }
    const { clock, follower, link, tables } = this.#options
    const versions = encodePositions(new Map(tables.map(table => [table, follower.replica(table)])))
    const peer: Peer = { name: '', address }
    const wait = new Wait(clock)
    const reply = await link.request(peer, relayRequest, { versions, waitMilliseconds }, waitMilliseconds + relayReplyMilliseconds)
    if (reply.ok) this.#relayedGatewayCount = reply.val.gatewayCount ?? 0
    if (reply.err) return { reason: reply.val.reason, backoffMilliseconds: unresponsiveRelayBackoffMilliseconds, isUnanswered: true }
    const reason = this.#reasonToLeave(reply.val)
    if (reason !== undefined) return { reason, backoffMilliseconds: staleRelayBackoffMilliseconds }
    if (!this.#isFleetLarge && follower.isComplete) return smallFleet
    const applied = this.#applyReply(reply.val, address, wait.heldUpMilliseconds)
    if (applied.err) return { reason: applied.val.reason, backoffMilliseconds: unresponsiveRelayBackoffMilliseconds }
    // A gateway that starts takes its first tables from a relay whatever the size of the fleet, which it does not know yet.
    if (!this.#isFleetLarge) return smallFleet
    this.#switchTo(address)
    return undefined
  }

  /** Why a relay should not be followed; undefined if it may be. */
  #reasonToLeave ({ tables, ageMilliseconds }: RelayReply): string | undefined {
    const { budget, follower } = this.#options
    if (ageMilliseconds > budget().maximumAgeMilliseconds) return `the store last confirmed the relay's tables ${Math.round(ageMilliseconds)} ms ago`
    // A relay has not read a table that it does not need.
    const isOfEarlierEpoch = tables.some(({ table, version, epoch = 0 }) => version >= 0 && epoch < follower.replica(table).epoch)
    return isOfEarlierEpoch ? 'the relay has not read the store since it came back from an older copy' : undefined
  }

  /** @param heldUpMilliseconds for how long this process was held up since it asked; the reply may have arrived by then */
  #applyReply ({ tables, ageMilliseconds, storeTime }: RelayReply, relay: string, heldUpMilliseconds: number): Result<void, RowFault> {
    const { clock, follower } = this.#options
    const confirmation: Confirmation = { confirmedAt: clock.now() - heldUpMilliseconds - ageMilliseconds, hop: ConfirmationHop.Relay, relay }
    for (const { table, version, epoch = 0, isWhole, rows } of tables) {
      const decoded = decodeRows(rows)
      if (decoded.err) return decoded
      follower.applyRelayed(table, { version, epoch, isWhole, rows: decoded.val }, confirmation)
    }
    if (storeTime !== undefined) follower.setStoreTime(storeTime, heldUpMilliseconds)
    return Ok(undefined)
  }

  /** The store's own feeds are paused while a relay is followed. */
  #switchTo (relayAddress: string | undefined): void {
    if (this.#currentRelay === relayAddress) return
    this.#currentRelay = relayAddress
    if (relayAddress === undefined) this.#options.follower.resume()
    else this.#options.follower.pause()
    this.#options.log.info('replica_source', { source: relayAddress ?? 'store' })
  }
}
