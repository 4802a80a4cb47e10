/**
 * Passive health checking of one endpoint, based on the outcomes of this daemon's own attempts. An
 * endpoint that is unreachable or silent is excluded at once, because every attempt at it uses up part
 * of a caller's timeout. An endpoint that fails some of its responses stays eligible at a higher cost,
 * since the requests themselves may cause the failures.
 */

const initialExclusionMilliseconds = 1_000
const maximumExclusionMilliseconds = 8_000
/** Exclusion after a refusal for lack of capacity; short, since capacity may be free again a moment later. */
const fullExclusionMilliseconds = 150
/** Weight of the latest response in the exponential moving average of failures. */
const failureRateSmoothing = 0.15
/** Added to the cost factor of an endpoint that failed all its recent responses; a healthy one has factor 1. */
const failureCostFactor = 12

/** Health of one endpoint, derived from recent attempts. */
export class EndpointHealth {
  #consecutiveExclusions = 0
  #excludedUntil = Number.NEGATIVE_INFINITY
  #fullUntil = Number.NEGATIVE_INFINITY
  #failureRate = 0
  #isHalfOpen = false

  /** Records a response; `failed` if the endpoint itself failed the request. */
  recordResponse (failed: boolean): void {
    this.#failureRate += failureRateSmoothing * ((failed ? 1 : 0) - this.#failureRate)
    if (failed) return
    this.#consecutiveExclusions = 0
    this.#isHalfOpen = false
  }

  /** Records that the endpoint was unreachable or fell silent. Excludes it with exponential backoff. */
  recordLoss (now: number): void {
    if (now < this.#excludedUntil) return
    const milliseconds = Math.min(maximumExclusionMilliseconds, initialExclusionMilliseconds * 2 ** this.#consecutiveExclusions)
    this.#consecutiveExclusions++
    this.#excludedUntil = now + milliseconds
    this.#isHalfOpen = true
  }

  /** Records a refusal for lack of capacity. */
  recordFull (now: number): void {
    this.#fullUntil = now + fullExclusionMilliseconds
  }

  /**
   * Whether the endpoint may be tried now.
   *
   * @param inFlight this daemon's attempts in flight; after an exclusion only one probe at a time is let through
   */
  mayTry (now: number, inFlight: number): boolean {
    if (now < this.#excludedUntil || now < this.#fullUntil) return false
    return !this.#isHalfOpen || inFlight === 0
  }

  /** Whether the endpoint has just refused a request for lack of capacity. */
  isFull (now: number): boolean {
    return now < this.#fullUntil
  }

  /** Multiplier of the endpoint's cost relative to a healthy one; 1 or more. */
  get costFactor (): number {
    return 1 + failureCostFactor * this.#failureRate * this.#failureRate
  }
}
