/** Waits that another part of the program can end. */
import type { Clock } from './clock.ts'

/**
 * Lets periodic work wait long while there is nothing to do, and start at once when there is.
 *
 * @example
 * await wakeup.sleep(clock, 5_000)
 */
export class Wakeup {
  #controller = new AbortController()

  /** Ends all present waits. */
  wake (): void {
    this.#controller.abort('woken')
    this.#controller = new AbortController()
  }

  /** Waits for a duration in milliseconds, or until `wake` is called. */
  async sleep (clock: Clock, milliseconds: number): Promise<void> {
    await clock.sleep(milliseconds, this.#controller.signal)
  }
}
