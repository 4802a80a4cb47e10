/**
 * Endpoints that warm up: they have just started, or turned cold while they served, and bear only a few requests
 * a second until then. Each such endpoint has a limit for all gateways together, which is divided as announced
 * limits are.
 *
 * An endpoint states how much longer it warms up, in its registration and in responses. The time counts from when
 * this gateway first read the statement, so that late news makes a warm-up longer and never shorter, and no
 * clocks are compared.
 */
import { dropOldest } from '../contract/index.ts'
import type { RatedEndpoint, SharedLimit } from './contract.ts'

/** Share of the tolerated excess that gateways use; the rest is left to those that do not know of the warm-up. */
const usedToleranceShare = 0.5
const maximumWarmUps = 4_096

/** What endpoints that warm up may get beyond the rate that their service states. */
export interface WarmUpTolerance {
  /** Multiple of the rate that is allowed in any second. */
  readonly rateFactor: number
  /** Requests allowed in any second on top of that. */
  readonly additionalRequests: number
}

export interface WarmUpsOptions {
  /** Requests a second that one endpoint of a service bears while it warms up; undefined if they need no care. */
  readonly requestsPerSecondOf: (service: string) => number | undefined
  /** Undefined if nobody asks for a bound; endpoints then have no limit while they warm up. */
  readonly tolerance: WarmUpTolerance | undefined
}

/** What an endpoint's registration says. */
export interface WarmUpStatement {
  /** Version of the registration; each one is read once. */
  readonly version: number
  /** How much longer the endpoint warms up; 0 if it does not. */
  readonly milliseconds: number
}

interface KnownWarmUp {
  readonly version: number
  readonly statedUntil: number
  readonly assumedUntil: number
}

const unknownWarmUp: KnownWarmUp = { version: Number.NEGATIVE_INFINITY, statedUntil: Number.NEGATIVE_INFINITY, assumedUntil: Number.NEGATIVE_INFINITY }

/**
 * @example
 * warmUps.recordRegistration('i-7f3a@1', { version: 12, milliseconds: 3_000 }, now)
 * warmUps.limitOf(ratedEndpoint(endpoint), now)?.requestsPerSecond // 11
 */
export class WarmUps {
  readonly #options: WarmUpsOptions
  readonly #known = new Map<string, KnownWarmUp>()

  constructor (options: WarmUpsOptions) {
    this.#options = options
  }

  /**
   * Records what an endpoint's registration says.
   *
   * @param instance the endpoint's incarnation
   * @returns whether a warm-up began that was not known
   */
  recordRegistration (instance: string, { version, milliseconds }: WarmUpStatement, now: number): boolean {
    const known = this.#known.get(instance)
    if (known === undefined && milliseconds === 0) return false
    if (known?.version === version) return false
    return this.#set(instance, { ...known ?? unknownWarmUp, version, statedUntil: now + milliseconds }, now)
  }

  /**
   * Records what an endpoint says in a response.
   *
   * @returns whether a warm-up began that was not known
   */
  recordResponse (instance: string, milliseconds: number, now: number): boolean {
    if (milliseconds === 0) return false
    return this.#set(instance, { ...this.#known.get(instance) ?? unknownWarmUp, statedUntil: now + milliseconds }, now)
  }

  /**
   * Assumes that an endpoint warms up, whatever its last registration said: that may be older than the reason.
   *
   * @returns whether a warm-up began that was not known
   */
  assume (instance: string, milliseconds: number, now: number): boolean {
    return this.#set(instance, { ...this.#known.get(instance) ?? unknownWarmUp, assumedUntil: now + milliseconds }, now)
  }

  /** Whether an endpoint is known to warm up. */
  isWarmingUp (instance: string, now: number): boolean {
    return untilOf(this.#known.get(instance)) > now
  }

  /** The limit of an endpoint while it warms up; undefined if it has none. */
  limitOf ({ instance, service }: RatedEndpoint, now: number): SharedLimit | undefined {
    const { requestsPerSecondOf, tolerance } = this.#options
    if (tolerance === undefined || !this.isWarmingUp(instance, now)) return undefined
    const requestsPerSecond = requestsPerSecondOf(service)
    if (requestsPerSecond === undefined) return undefined
    const toleratedExcess = Math.max(0, requestsPerSecond * (tolerance.rateFactor - 1)) + tolerance.additionalRequests
    return { requestsPerSecond, keptRequests: toleratedExcess * usedToleranceShare }
  }

  #set (instance: string, warmUp: KnownWarmUp, now: number): boolean {
    const wasWarmingUp = this.isWarmingUp(instance, now)
    this.#known.delete(instance)
    this.#known.set(instance, warmUp)
    dropOldest(this.#known, maximumWarmUps)
    return !wasWarmingUp && this.isWarmingUp(instance, now)
  }
}

function untilOf (warmUp: KnownWarmUp | undefined): number {
  return warmUp === undefined ? Number.NEGATIVE_INFINITY : Math.max(warmUp.statedUntil, warmUp.assumedUntil)
}
