/**
 * The link between regions is narrow and paid by volume. A daemon sends work over it only while its
 * own part of the link has room: a token bucket of bytes, charged by estimate when an attempt opens.
 */

const bytesPerToken = 4
/** A streamed token travels in an event of its own. */
const bytesPerStreamedToken = 40
const burstSeconds = 2

/**
 * One daemon's part of the link.
 *
 * @example
 * const link = new RegionLinkBudget(2_500_000 / daemonsOfTheRegion / 2)
 */
export class RegionLinkBudget {
  readonly #bytesPerSecond: number
  #availableBytes: number
  #refilledAt: number | undefined

  /** @param bytesPerSecond what this daemon may put on the link, both ways together */
  constructor (bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond
    this.#availableBytes = bytesPerSecond * burstSeconds
  }

  /** Estimated bytes of an attempt. */
  static estimateBytes (promptTokens: number, completionTokens: number): number {
    return promptTokens * bytesPerToken + completionTokens * bytesPerStreamedToken
  }

  /** Whether so many bytes may go over now. */
  allows (bytes: number, now: number): boolean {
    this.#refill(now)
    return this.#availableBytes >= bytes
  }

  /** Charges bytes. */
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
