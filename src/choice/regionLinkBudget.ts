/**
 * The link between regions has little bandwidth and is billed by volume. A daemon sends work over it
 * only within its own budget: a token bucket of bytes, charged with an estimate when an attempt opens.
 */

const bytesPerToken = 4
/** Each streamed token is sent in a separate event. */
const bytesPerStreamedToken = 40
const burstSeconds = 2

/**
 * One daemon's bandwidth budget on the link.
 *
 * @example
 * const link = new RegionLinkBudget(2_500_000 / daemonsOfTheRegion / 2)
 */
export class RegionLinkBudget {
  readonly #bytesPerSecond: number
  #availableBytes: number
  #refilledAt: number | undefined

  /** @param bytesPerSecond bandwidth of this daemon, both directions together */
  constructor (bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond
    this.#availableBytes = bytesPerSecond * burstSeconds
  }

  /** Estimated bytes of an attempt. */
  static estimateBytes (promptTokens: number, completionTokens: number): number {
    return promptTokens * bytesPerToken + completionTokens * bytesPerStreamedToken
  }

  /** Whether the budget covers this number of bytes now. */
  allows (bytes: number, now: number): boolean {
    this.#refill(now)
    return this.#availableBytes >= bytes
  }

  charge (bytes: number, now: number): void {
    this.#refill(now)
    this.#availableBytes -= bytes
  }

  #refill (now: number): void {
    const seconds = Math.max(0, now - (this.#refilledAt ?? now)) / 1_000
    this.#availableBytes = Math.min(this.#bytesPerSecond * burstSeconds, this.#availableBytes + seconds * this.#bytesPerSecond)
    this.#refilledAt = now
  }
}
