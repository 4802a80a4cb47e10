/**
 * Whether an endpoint is worth a try, from the ends of this daemon's own attempts. One that could
 * not be reached or fell silent is left out at once, for each attempt at it costs a caller its
 * patience; one whose answers fail in part is left out only for a share of the choices, since its
 * failures may be the requests' own.
 */

const initialExclusionMilliseconds = 1_000
const maximumExclusionMilliseconds = 8_000
/** A refusal for lack of room says little of a moment later. */
const fullExclusionMilliseconds = 150
/** Weight of the latest answer in the share of failures. */
const failureRateSmoothing = 0.15
/** An endpoint that failed all its recent answers costs so many times as much as a sound one. */
const failureCostFactor = 12

/** What one endpoint's recent attempts say of it. */
export class EndpointHealth {
  #consecutiveExclusions = 0
  #excludedUntil = Number.NEGATIVE_INFINITY
  #fullUntil = Number.NEGATIVE_INFINITY
  #failureRate = 0
  #isHalfOpen = false

  /** An answer came; `failed` says that the endpoint failed it. */
  recordResponse (failed: boolean): void {
    this.#failureRate += failureRateSmoothing * ((failed ? 1 : 0) - this.#failureRate)
    if (failed) return
    this.#consecutiveExclusions = 0
    this.#isHalfOpen = false
  }

  /** It could not be reached, broke off or fell silent. */
  recordLoss (now: number): void {
    if (now < this.#excludedUntil) return
    const milliseconds = Math.min(maximumExclusionMilliseconds, initialExclusionMilliseconds * 2 ** this.#consecutiveExclusions)
    this.#consecutiveExclusions++
    this.#excludedUntil = now + milliseconds
    this.#isHalfOpen = true
  }

  /** It had no room for a request. */
  recordFull (now: number): void {
    this.#fullUntil = now + fullExclusionMilliseconds
  }

  /**
   * Whether it may be tried now.
   *
   * @param inFlight this daemon's attempts at it; after an exclusion one is let through at a time
   */
  mayTry (now: number, inFlight: number): boolean {
    if (now < this.#excludedUntil || now < this.#fullUntil) return false
    return !this.#isHalfOpen || inFlight === 0
  }

  /** Whether it has just said that it has no room. */
  isFull (now: number): boolean {
    return now < this.#fullUntil
  }

  /** How many times as costly as a sound one it counts; 1 or more. */
  get costFactor (): number {
    return 1 + failureCostFactor * this.#failureRate * this.#failureRate
  }
}
