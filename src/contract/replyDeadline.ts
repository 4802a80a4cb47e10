/** The time for a series of replies that depend on each other, to which this process contributes the steps in between. */
import type { Clock } from './clock.ts'
import { withReplyTimeout } from './replyTimeout.ts'

/**
 * Starts with its creation. The time for which the event loop is held up is allowed in addition, up to the length of the timeout.
 *
 * @example
 * const deadline = new ReplyDeadline(clock, 1_000)
 * const row = await deadline.wait(table.read('orders', key))
 * const written = await deadline.wait(table.transact(changeOf(row)))
 */
export class ReplyDeadline {
  readonly #clock: Clock
  readonly #timeoutMilliseconds: number
  readonly #startedAt: number
  readonly #heldUpBefore: number

  constructor (clock: Clock, timeoutMilliseconds: number) {
    this.#clock = clock
    this.#timeoutMilliseconds = timeoutMilliseconds
    this.#startedAt = clock.now()
    this.#heldUpBefore = clock.heldUpMilliseconds()
  }

  /** Whether all replies are overdue. */
  get isOver (): boolean {
    return this.#remainingMilliseconds <= 0
  }

  /**
   * Waits for the next reply.
   *
   * @returns the value, or undefined if it is overdue; the work itself is not cancelled
   */
  wait<Value> (reply: Promise<Value>): Promise<Value | undefined> {
    return withReplyTimeout(this.#clock, Math.max(0, this.#remainingMilliseconds), reply)
  }

  get #remainingMilliseconds (): number {
    const heldUpMilliseconds = Math.min(this.#timeoutMilliseconds, this.#clock.heldUpMilliseconds() - this.#heldUpBefore)
    return this.#timeoutMilliseconds + heldUpMilliseconds - (this.#clock.now() - this.#startedAt)
  }
}
