/**
 * Passive health checking of one endpoint, based on the outcomes of this daemon's own attempts. An
 * endpoint that is unreachable or silent is excluded at once, because every attempt at it uses up part
 * of a caller's timeout. A sound endpoint may be silent for a moment, so that the exclusion of a silent
 * one is short and ends with the first byte that is received from it. An endpoint that fails some of its
 * responses stays eligible at a higher cost, since the requests themselves may cause the failures.
 */

const initialExclusionMilliseconds = 1_000
const maximumExclusionMilliseconds = 8_000
const initialSilenceExclusionMilliseconds = 1_000
/** After further silences with no byte received between them. */
const repeatedSilenceExclusionMilliseconds = 2_000
/** Exclusion after a refusal for lack of capacity; short, since capacity may be free again a moment later. */
const fullExclusionMilliseconds = 150
/** Attempts in flight that an endpoint may have at first after its overload; doubles with each response that begins. */
const firstAttemptsAfterOverload = 1
/** From this many attempts on, an endpoint counts as recovered from its overload. */
const recoveredAttempts = 16
/** Weight of the latest response in the exponential moving average of failures. */
const failureRateSmoothing = 0.15
/** Added to the cost factor of an endpoint that failed all its recent responses; a healthy one has factor 1. */
const failureCostFactor = 12

/** Health of one endpoint, derived from recent attempts. */
export class EndpointHealth {
  #consecutiveExclusions = 0
  #excludedUntil = Number.NEGATIVE_INFINITY
  #fullUntil = Number.NEGATIVE_INFINITY
  #overloadedUntil = Number.NEGATIVE_INFINITY
  #allowedAttempts = Number.POSITIVE_INFINITY
  #failureRate = 0
  #isHalfOpen = false
  #silentUntil = Number.NEGATIVE_INFINITY
  #hasBeenSilent = false
  /** Attempts in flight that a silent endpoint may have, one of them a probe. */
  #allowedAttemptsInSilence = Number.POSITIVE_INFINITY

  /** Records a response; `failed` if the endpoint itself failed the request. */
  recordResponse (failed: boolean): void {
    this.#failureRate += failureRateSmoothing * ((failed ? 1 : 0) - this.#failureRate)
    if (failed) return
    this.#consecutiveExclusions = 0
    this.#isHalfOpen = false
  }

  /**
   * Records that an attempt was given up because nothing was received. Excludes the endpoint for a short time.
   *
   * @param inFlight this daemon's other attempts in flight, which may be as silent
   */
  recordSilence (now: number, inFlight: number): void {
    this.#allowedAttemptsInSilence = inFlight + 1
    if (this.isSilent(now)) return
    this.#silentUntil = now + (this.#hasBeenSilent ? repeatedSilenceExclusionMilliseconds : initialSilenceExclusionMilliseconds)
    this.#hasBeenSilent = true
  }

  /** Records that bytes were received from the endpoint, which is not silent then. */
  recordBytes (): void {
    this.#silentUntil = Number.NEGATIVE_INFINITY
    this.#hasBeenSilent = false
    this.#allowedAttemptsInSilence = Number.POSITIVE_INFINITY
  }

  /** Whether the endpoint is excluded because it has fallen silent. */
  isSilent (now: number): boolean {
    return now < this.#silentUntil
  }

  /** Records that the endpoint was unreachable. Excludes it with exponential backoff. */
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

  /** Records that the endpoint wants no requests until a time; of several such times the latest holds. */
  recordOverload (until: number): void {
    this.#overloadedUntil = Math.max(this.#overloadedUntil, until)
    this.#allowedAttempts = firstAttemptsAfterOverload
  }

  /** Records that the endpoint has begun a response, so that it may get more work after an overload. */
  recordResponseStart (): void {
    const next = this.#allowedAttempts * 2
    this.#allowedAttempts = next < recoveredAttempts ? next : Number.POSITIVE_INFINITY
  }

  /**
   * Whether the endpoint may be tried now.
   *
   * @param inFlight this daemon's attempts in flight; after an exclusion only one probe at a time is let through
   */
  mayTry (now: number, inFlight: number): boolean {
    if (now < this.#excludedUntil || this.isSilent(now) || this.isFull(now)) return false
    if (inFlight >= Math.min(this.#allowedAttempts, this.#allowedAttemptsInSilence)) return false
    return !this.#isHalfOpen || inFlight === 0
  }

  /** Whether the endpoint has just refused a request for lack of capacity, or wants none for some time. */
  isFull (now: number): boolean {
    return now < this.#fullUntil || this.isOverloaded(now)
  }

  /** Whether the endpoint wants no requests now. */
  isOverloaded (now: number): boolean {
    return now < this.#overloadedUntil
  }

  /** When the endpoint wants requests again, in milliseconds of the process's clock; in the past if it is not overloaded. */
  get overloadedUntil (): number {
    return this.#overloadedUntil
  }

  /** Multiplier of the endpoint's cost relative to a healthy one; 1 or more. */
  get costFactor (): number {
    return 1 + failureCostFactor * this.#failureRate * this.#failureRate
  }
}
