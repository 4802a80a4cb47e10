/**
 * Whether an endpoint is worth a try, from the ends of this daemon's own attempts. One that could
 * not be reached or fell silent is left out at once, for each attempt at it costs a caller its
 * patience; one whose answers fail in part is left out only for a share of the choices, since its
 * failures may be the requests' own.
 */

const firstExclusionMilliseconds = 1_000
const longestExclusionMilliseconds = 8_000
/** A refusal for lack of room says little of a moment later. */
const fullMilliseconds = 150
/** Weight of the latest answer in the share of failures. */
const recentWeight = 0.15
/** An endpoint that failed all its recent answers costs so many times as much as a sound one. */
const failureBurden = 12

/** What one endpoint's recent attempts say of it. */
export class EndpointHealth {
  #exclusions = 0
  #excludedUntil = Number.NEGATIVE_INFINITY
  #fullUntil = Number.NEGATIVE_INFINITY
  #failing = 0
  #isOnTrial = false

  /** An answer came; `failed` says that the endpoint failed it. */
  observeAnswer (failed: boolean): void {
    this.#failing += recentWeight * ((failed ? 1 : 0) - this.#failing)
    if (failed) return
    this.#exclusions = 0
    this.#isOnTrial = false
  }

  /** It could not be reached, broke off or fell silent. */
  observeLoss (now: number): void {
    if (now < this.#excludedUntil) return
    const milliseconds = Math.min(longestExclusionMilliseconds, firstExclusionMilliseconds * 2 ** this.#exclusions)
    this.#exclusions++
    this.#excludedUntil = now + milliseconds
    this.#isOnTrial = true
  }

  /** It had no room for a request. */
  observeFull (now: number): void {
    this.#fullUntil = now + fullMilliseconds
  }

  /**
   * Whether it may be tried now.
   *
   * @param inFlight this daemon's attempts at it; after an exclusion one is let through at a time
   */
  mayTry (now: number, inFlight: number): boolean {
    if (now < this.#excludedUntil || now < this.#fullUntil) return false
    return !this.#isOnTrial || inFlight === 0
  }

  /** Whether it has just said that it has no room. */
  isFull (now: number): boolean {
    return now < this.#fullUntil
  }

  /** How many times as costly as a sound one it counts; 1 or more. */
  get burden (): number {
    return 1 + failureBurden * this.#failing * this.#failing
  }
}
