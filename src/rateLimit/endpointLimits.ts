/**
 * Decides whether this gateway may send to an endpoint now, and takes the place when it does. Both stacks ask
 * here, for every request that reaches an endpoint, whatever it is for.
 *
 * After a limit has ended, the endpoint gets its load back step by step: the parts of its senders double each
 * second, and the other gateways join one after the other.
 */
import { dropOldest, getOrCreate, hashFraction } from '../contract/index.ts'
import type { AnnouncedLimits } from './announcedLimits.ts'
import type { Fleet, FleetMember, KnownLimit, RatedEndpoint, SharedLimit } from './contract.ts'
import { type LimitPart, partOfLimit } from './limitDivision.ts'
import { SendAllowance } from './sendAllowance.ts'
import type { WarmUps } from './warmUps.ts'

/** Requests that the senders of an announced limit keep together: those of one second, and a few for endpoints with low limits. */
const keptSeconds = 1
const additionalKeptRequests = 4
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
  /** Endpoints that warm up; undefined where nobody tells of them. */
  readonly warmUps?: Pick<WarmUps, 'limitOf'>
}

/** A request that is about to be sent, which holds a place until it is. */
export interface SendPermit {
  /** To be called in the event-loop turn that sends the request; returns whether it may be sent. */
  trySend (now: number): boolean
  /** Whether the request was held back. */
  readonly wasHeldBack: boolean
  /** Whether the request was sent under a limit. */
  readonly wasLimited: boolean
  /** Whether it was sent to an endpoint that warms up. */
  readonly wasWarmingUp: boolean
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

/** What binds an endpoint now: its announced limit, that of its warm-up, or the lower of both. */
interface LimitInForce extends SharedLimit {
  /** Factor by which a part grows once an announced limit has ended. */
  readonly growth: number
  readonly isWarmUp: boolean
}

/** A part of a limit with what it was computed from. */
interface Division extends SharedLimit {
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

  /** Whether an endpoint warms up or has a limit, or had one so lately that it does not get its full load yet. */
  isLimited (endpoint: RatedEndpoint, now: number): boolean {
    return this.#limitOf(endpoint, now) !== undefined
  }

  /** Whether an endpoint has announced a limit, or had one so lately that it does not get its full load yet. */
  hasAnnouncedLimit (endpoint: RatedEndpoint, now: number): boolean {
    return this.#announcedLimitOf(endpoint, now) !== undefined
  }

  /** Whether a request may be placed at an endpoint. */
  hasPlace (endpoint: RatedEndpoint, now: number): boolean {
    return this.#placesAt(endpoint, now) >= 1
  }

  /** Whether a request that could as well go elsewhere may be placed at an endpoint. */
  hasSparePlace (endpoint: RatedEndpoint, now: number): boolean {
    if (!this.hasAnnouncedLimit(endpoint, now)) return this.hasPlace(endpoint, now)
    const { allowance, reserved } = this.#allowanceOf(endpoint, now)
    return reserved === 0 && allowance.isFullAt(now) && this.hasPlace(endpoint, now)
  }

  /** Places a request at an endpoint. */
  open (endpoint: RatedEndpoint, now: number): SendPermit {
    const held = this.#allowanceOf(endpoint, now)
    let isReserved = true
    let wasHeldBack = false
    let wasLimited = false
    let wasWarmingUp = false
    held.reserved++
    const release = () => {
      if (isReserved) held.reserved--
      isReserved = false
    }
    return {
      trySend: at => {
        release()
        const limit = this.#limitOf(endpoint, at)
        if (limit === undefined) return true
        const current = this.#allowanceOf(endpoint, at)
        wasLimited = current.allowance.tryTake(at)
        wasWarmingUp = wasLimited && limit.isWarmUp
        wasHeldBack = !wasLimited
        if (wasLimited) current.sent++
        return wasLimited
      },
      get wasHeldBack () { return wasHeldBack },
      get wasLimited () { return wasLimited },
      get wasWarmingUp () { return wasWarmingUp },
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
    return endpoints.reduce((sum, endpoint) => sum + this.#rateAt(endpoint, this.#limitOf(endpoint, now)), 0)
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

  /** While an endpoint warms up, both limits hold: the lower rate, and what fewer requests may be kept. */
  #limitOf (endpoint: RatedEndpoint, now: number): LimitInForce | undefined {
    const announced = this.#announcedLimitOf(endpoint, now)
    const inForce = announced === undefined ? undefined : announcedLimitInForce(announced, now)
    const warmUp = this.#options.warmUps?.limitOf(endpoint, now)
    if (warmUp === undefined && inForce === undefined) this.#forgetEnded(endpoint.instance, now)
    if (warmUp === undefined) return inForce
    if (inForce === undefined || warmUp.requestsPerSecond <= inForce.requestsPerSecond) return { ...warmUp, growth: 1, isWarmUp: true }
    return { ...inForce, keptRequests: Math.min(warmUp.keptRequests, inForce.keptRequests), growth: 1, isWarmUp: true }
  }

  #announcedLimitOf ({ instance }: RatedEndpoint, now: number): KnownLimit | undefined {
    const limit = this.#options.announced.of(instance, now)
    if (limit?.endedAt === undefined) return limit
    const elapsed = now - limit.endedAt
    return elapsed < recoveryMilliseconds && elapsed < this.#joinDelay(instance) ? limit : undefined
  }

  /** The allowance of a limit that has ended is of no use; a later limit starts with an empty one. */
  #forgetEnded (instance: string, now: number): void {
    if (this.#options.announced.of(instance, now) !== undefined) this.#allowances.delete(instance)
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
    if (limit !== undefined) held.allowance.setRate(this.#rateAt(endpoint, limit), this.#partOf(endpoint, limit).keptRequests, now)
    return held
  }

  #rateAt (endpoint: RatedEndpoint, limit: LimitInForce | undefined): number {
    if (limit === undefined) return Number.POSITIVE_INFINITY
    return this.#partOf(endpoint, limit).requestsPerSecond * limit.growth
  }

  #partOf (endpoint: RatedEndpoint, { requestsPerSecond, keptRequests }: SharedLimit): LimitPart {
    const { fleet } = this.#options
    if (!fleet.isSettled) return unknownPart
    const { members, self } = fleet
    const servedRegions = this.#options.regionsServing(endpoint.service)
    const held = this.#allowances.get(endpoint.instance)
    const known = held?.division
    const isCurrent = known?.members === members && known.servedRegions === servedRegions && known.requestsPerSecond === requestsPerSecond && known.keptRequests === keptRequests
    if (isCurrent) return known.part
    const part = partOfLimit({ ...endpoint, servedRegions, requestsPerSecond, keptRequests, members, self })
    if (held !== undefined) held.division = { requestsPerSecond, keptRequests, members, servedRegions, part }
    return part
  }
}

function announcedLimitInForce ({ requestsPerSecond, endedAt }: KnownLimit, now: number): LimitInForce {
  const growth = endedAt === undefined ? 1 : 2 ** ((now - endedAt) / doublingMilliseconds)
  return { requestsPerSecond, keptRequests: keptByAnnounced(requestsPerSecond), growth, isWarmUp: false }
}

function keptByAnnounced (requestsPerSecond: number): number {
  return requestsPerSecond * keptSeconds + additionalKeptRequests
}
