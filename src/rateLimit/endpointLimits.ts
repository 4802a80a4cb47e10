/**
 * Decides whether this gateway may send to an endpoint now, and takes the place when it does. Both stacks ask
 * here, for every request that reaches an endpoint, whatever it is for.
 *
 * After a limit has ended, the endpoint gets its load back step by step: the parts of its senders double each
 * second, and the other gateways join one after the other.
 */
import { dropOldest, getOrCreate, hashFraction } from '../contract/index.ts'
import type { AnnouncedLimits } from './announcedLimits.ts'
import type { Fleet, FleetMember, KnownLimit, RatedEndpoint } from './contract.ts'
import { type LimitPart, partOfLimit } from './limitDivision.ts'
import { SendAllowance } from './sendAllowance.ts'

/** Time in which an endpoint gets its full load back. */
const recoveryMilliseconds = 8_000
const doublingMilliseconds = 1_000
const maximumAllowances = 4_096
/** While the fleet is not known, nothing is sent to limited endpoints. */
const unknownPart: LimitPart = { requestsPerSecond: 0, keptRequests: 0 }

export interface EndpointLimitsOptions {
  readonly announced: AnnouncedLimits
  readonly fleet: Fleet
  /** The regions in which a service has endpoints; the same set while they are unchanged. */
  readonly regionsServing: (service: string) => ReadonlySet<string>
}

/** A request that is about to be sent, which holds a place until it is. */
export interface SendPermit {
  /** To be called in the event-loop turn that sends the request; returns whether it may be sent. */
  trySend (now: number): boolean
  /** Whether the request was held back. */
  readonly wasHeldBack: boolean
  /** Whether the request was sent under a limit. */
  readonly wasLimited: boolean
  /** To be called when the attempt has ended, sent or not. */
  close (): void
}

interface HeldAllowance {
  readonly allowance: SendAllowance
  /** Requests that were placed and are not sent yet. */
  reserved: number
  /** Requests sent under the limit. */
  sent: number
  division: Division | undefined
}

/** A part of a limit with what it was computed from. */
interface Division {
  readonly requestsPerSecond: number
  readonly members: readonly FleetMember[]
  readonly servedRegions: ReadonlySet<string>
  readonly part: LimitPart
}

/**
 * @example
 * const eligible = endpoints.filter(endpoint => limits.hasPlace(endpoint, now))
 * const permit = limits.open(eligible[0])
 * if (permit.trySend(clock.now())) send()
 */
export class EndpointLimits {
  readonly #options: EndpointLimitsOptions
  readonly #allowances = new Map<string, HeldAllowance>()

  constructor (options: EndpointLimitsOptions) {
    this.#options = options
  }

  /** Whether an endpoint has a limit, or had one so lately that it does not get its full load yet. */
  isLimited (endpoint: RatedEndpoint, now: number): boolean {
    return this.#limitOf(endpoint, now) !== undefined
  }

  /** Whether a request may be placed at an endpoint. */
  hasPlace (endpoint: RatedEndpoint, now: number): boolean {
    return this.#placesAt(endpoint, now) >= 1
  }

  /** Whether a request that could as well go elsewhere may be placed at an endpoint. */
  hasSparePlace (endpoint: RatedEndpoint, now: number): boolean {
    if (!this.isLimited(endpoint, now)) return true
    const { allowance, reserved } = this.#allowanceOf(endpoint, now)
    return reserved === 0 && allowance.isFullAt(now) && this.hasPlace(endpoint, now)
  }

  /** Places a request at an endpoint. */
  open (endpoint: RatedEndpoint, now: number): SendPermit {
    const held = this.#allowanceOf(endpoint, now)
    let isReserved = true
    let wasHeldBack = false
    let wasLimited = false
    held.reserved++
    const release = () => {
      if (isReserved) held.reserved--
      isReserved = false
    }
    return {
      trySend: at => {
        release()
        if (!this.isLimited(endpoint, at)) return true
        const current = this.#allowanceOf(endpoint, at)
        wasLimited = current.allowance.tryTake(at)
        wasHeldBack = !wasLimited
        if (wasLimited) current.sent++
        return wasLimited
      },
      get wasHeldBack () { return wasHeldBack },
      get wasLimited () { return wasLimited },
      close: release
    }
  }

  /** Number of requests that this gateway has sent under an endpoint's present limit. */
  sentTo (instance: string): number {
    return this.#allowances.get(instance)?.sent ?? 0
  }

  /** Counts a request that had to reach this endpoint and no other. */
  charge (endpoint: RatedEndpoint, now: number): void {
    if (this.isLimited(endpoint, now)) this.#allowanceOf(endpoint, now).allowance.charge(now)
  }

  /**
   * How long it takes until a request may be placed at one of the endpoints.
   *
   * @returns milliseconds; 0 if one may be placed now, infinite if this gateway sends to none of them
   */
  millisecondsToPlace (endpoints: readonly RatedEndpoint[], now: number): number {
    const waits = endpoints.map(endpoint => this.#limitOf(endpoint, now) === undefined ? 0 : this.#millisecondsToPlaceAt(endpoint, now))
    return Math.min(Number.POSITIVE_INFINITY, ...waits)
  }

  /** Requests a second that this gateway may send to all of the endpoints together; infinite if one has no limit. */
  requestsPerSecondAt (endpoints: readonly RatedEndpoint[], now: number): number {
    return endpoints.reduce((sum, endpoint) => sum + this.#rateAt(endpoint, this.#limitOf(endpoint, now), now), 0)
  }

  #millisecondsToPlaceAt (endpoint: RatedEndpoint, now: number): number {
    const { allowance, reserved } = this.#allowanceOf(endpoint, now)
    return allowance.millisecondsTo(1 + reserved, now)
  }

  #placesAt (endpoint: RatedEndpoint, now: number): number {
    if (this.#limitOf(endpoint, now) === undefined) return Number.POSITIVE_INFINITY
    const { allowance, reserved } = this.#allowanceOf(endpoint, now)
    return allowance.placesAt(now) - reserved
  }

  #limitOf ({ instance }: RatedEndpoint, now: number): KnownLimit | undefined {
    const limit = this.#options.announced.of(instance, now)
    if (limit?.endedAt === undefined) return limit
    const elapsed = now - limit.endedAt
    if (elapsed < recoveryMilliseconds && elapsed < this.#joinDelay(instance)) return limit
    this.#allowances.delete(instance)
    return undefined
  }

  /** Senders of an endpoint have their growing part; other gateways join spread over the recovery. */
  #joinDelay (instance: string): number {
    const isSender = (this.#allowances.get(instance)?.division?.part.requestsPerSecond ?? 0) > 0
    if (isSender) return recoveryMilliseconds
    return recoveryMilliseconds * hashFraction(`${this.#options.fleet.self.address}\n${instance}`)
  }

  /** The allowance of an endpoint, at its present rate. */
  #allowanceOf (endpoint: RatedEndpoint, now: number): HeldAllowance {
    const held = getOrCreate(this.#allowances, endpoint.instance, (): HeldAllowance => ({ allowance: new SendAllowance(now), reserved: 0, sent: 0, division: undefined }))
    dropOldest(this.#allowances, maximumAllowances)
    const limit = this.#limitOf(endpoint, now)
    if (limit !== undefined) held.allowance.setRate(this.#rateAt(endpoint, limit, now), this.#partOf(endpoint, limit.requestsPerSecond).keptRequests, now)
    return held
  }

  #rateAt (endpoint: RatedEndpoint, limit: KnownLimit | undefined, now: number): number {
    if (limit === undefined) return Number.POSITIVE_INFINITY
    const growth = limit.endedAt === undefined ? 1 : 2 ** ((now - limit.endedAt) / doublingMilliseconds)
    return this.#partOf(endpoint, limit.requestsPerSecond).requestsPerSecond * growth
  }

  #partOf (endpoint: RatedEndpoint, requestsPerSecond: number): LimitPart {
    const { fleet } = this.#options
    if (!fleet.isSettled) return unknownPart
    const { members, self } = fleet
    const servedRegions = this.#options.regionsServing(endpoint.service)
    const held = this.#allowances.get(endpoint.instance)
    const known = held?.division
    const isCurrent = known?.members === members && known.servedRegions === servedRegions && known.requestsPerSecond === requestsPerSecond
    if (isCurrent) return known.part
    const part = partOfLimit({ ...endpoint, servedRegions, requestsPerSecond, members, self })
    if (held !== undefined) held.division = { requestsPerSecond, members, servedRegions, part }
    return part
  }
}
