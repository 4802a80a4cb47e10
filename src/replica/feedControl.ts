/** What holds for the tasks of all tables: whether they are to ask the store now, and when they last renewed its connections. */
import { type Clock, Wakeup } from '../contract/index.ts'

/** A paused feed checks at least this often whether it should resume; it is woken when it should. */
const checkIntervalMilliseconds = 1_000
/** Tables that ask again after the same idle time do so within this time, and one renewal serves them all. */
const sharedRenewalMilliseconds = 20

export class FeedControl {
  readonly #clock: Clock
  readonly #stopping = new AbortController()
  /** Ends the sleep of feeds that are paused, held or not needed. */
  readonly #wakeup = new Wakeup()
  #heldCalls = new AbortController()
  #isPaused = false
  #areFeedsHeld = false
  #renewedAt = Number.NEGATIVE_INFINITY

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether a relay delivers the changes. */
  get isPaused (): boolean {
    return this.#isPaused
  }

  /** Whether tables are read but not waited for. */
  get areFeedsHeld (): boolean {
    return this.#areFeedsHeld
  }

  /** Ends the calls that the store holds for this gateway; a pause replaces it. */
  get heldCalls (): AbortSignal {
    return this.#heldCalls.signal
  }

  get stopping (): AbortSignal {
    return this.#stopping.signal
  }

  /** Lets the feeds rest. The store would send the changes once more for each call that it holds. */
  pause (): void {
    this.#isPaused = true
    this.#heldCalls.abort()
    this.#heldCalls = new AbortController()
  }

  resume (): void {
    this.#isPaused = false
    this.wake()
  }

  hold (): void {
    this.#areFeedsHeld = true
  }

  release (): void {
    this.#areFeedsHeld = false
    this.wake()
  }

  stop (): void {
    this.#stopping.abort()
    this.wake()
  }

  /** Lets idle feeds look at once whether they are to ask. */
  wake (): void {
    this.#wakeup.wake()
  }

  /** Waits until an idle feed is to look again. */
  async sleepIdle (milliseconds = checkIntervalMilliseconds): Promise<void> {
    await this.#wakeup.sleep(this.#clock, Math.min(milliseconds, checkIntervalMilliseconds))
  }

  /** Renews the connections for a table that asked nothing for a while, unless another one just did. */
  renewOnce (renew: () => void): void {
    const now = this.#clock.now()
    if (now - this.#renewedAt < sharedRenewalMilliseconds) return
    this.#renewedAt = now
    renew()
  }
}
