/**
 * The part that one connection has of a turn of the event loop. Node.js would otherwise read and parse up to 2 MB of one
 * connection before the input of any other one.
 */

/** Bytes of a response after which other input is read. */
export const maximumTurnBytes = 256 * 1024
/** Pieces of a response after which other input is read: each costs some microseconds, however small it is. */
export const maximumTurnPieces = 128

/**
 * @example
 * const share = new TurnShare(() => connection.resume())
 * if (share.use(bytes.length)) connection.pause()
 */
export class TurnShare {
  readonly #onRenewal: () => void
  #bytes = 0
  #pieces = 0
  #isUsedUp = false

  /** @param onRenewal called after the next poll for input, once the part was used up */
  constructor (onRenewal: () => void) {
    this.#onRenewal = onRenewal
  }

  /** Whether nothing more is to be read in this turn. */
  get isUsedUp (): boolean {
    return this.#isUsedUp
  }

  /**
   * Counts a piece that was read.
   *
   * @returns whether it has used up the part, so that the connection is to be paused
   */
  use (byteCount: number): boolean {
    this.#bytes += byteCount
    this.#pieces++
    if (this.#isUsedUp || (this.#bytes < maximumTurnBytes && this.#pieces < maximumTurnPieces)) return false
    this.#isUsedUp = true
    setImmediate(() => this.#renew())
    return true
  }

  #renew (): void {
    this.#isUsedUp = false
    this.#bytes = 0
    this.#pieces = 0
    this.#onRenewal()
  }
}
