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
 * const link = new LinkBudget(2_500_000 / daemonsOfTheRegion / 2)
 */
export class LinkBudget {
  readonly #bytesPerSecond: number
  #bytes: number
  #filledAt: number | undefined

  /** @param bytesPerSecond what this daemon may put on the link, both ways together */
  constructor (bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond
    this.#bytes = bytesPerSecond * burstSeconds
  }

  /** Estimated bytes of an attempt. */
  static bytesOf (promptTokens: number, completionTokens: number): number {
    return promptTokens * bytesPerToken + completionTokens * bytesPerStreamedToken
  }

  /** Whether so many bytes may go over now. */
  allows (bytes: number, now: number): boolean {
    this.#fill(now)
    return this.#bytes >= bytes
  }

  /** Charges bytes. */
  charge (bytes: number, now: number): void {
    this.#fill(now)
    this.#bytes -= bytes
  }

  #fill (now: number): void {
    const seconds = Math.max(0, now - (this.#filledAt ?? now)) / 1_000
    this.#bytes = Math.min(this.#bytesPerSecond * burstSeconds, this.#bytes + seconds * this.#bytesPerSecond)
    this.#filledAt = now
  }
}
