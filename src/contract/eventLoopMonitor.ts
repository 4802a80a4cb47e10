/**
 * Measures for how long the event loop is held up: by a long callback, or because the process or its VM does not run. A
 * timer that is checked at a fixed interval comes late by that time.
 */
import type { Clock } from './clock.ts'

const checkIntervalMilliseconds = 200
/** A busy event loop runs its timers late by some milliseconds; only longer times count. */
const minimumHoldUpMilliseconds = 50

/** Is told for how many milliseconds the event loop was held up. */
export type HoldUpListener = (milliseconds: number) => void

export class EventLoopMonitor {
  readonly #clock: Pick<Clock, 'now'>
  /** When the next check is due; undefined before the start. */
  #dueAt: number | undefined
  #endedMilliseconds = 0
  #timer: NodeJS.Timeout | undefined

  constructor (clock: Pick<Clock, 'now'>) {
    this.#clock = clock
  }

  /**
   * Time for which the event loop was held up since the start, in milliseconds, with a hold-up that has not ended. Up to
   * the check interval of each is missed.
   */
  get heldUpMilliseconds (): number {
    return this.#endedMilliseconds + this.#overdueMilliseconds
  }

  /** Starts to measure. Does not keep the process alive. */
  start (onHoldUp: HoldUpListener): void {
    if (this.#dueAt !== undefined) return
    this.#scheduleCheck(onHoldUp)
  }

  /** Ends the measurement; what was measured is kept. */
  stop (): void {
    clearTimeout(this.#timer)
    this.#endedMilliseconds = this.heldUpMilliseconds
    this.#dueAt = undefined
  }

  get #overdueMilliseconds (): number {
    const milliseconds = this.#dueAt === undefined ? 0 : this.#clock.now() - this.#dueAt
    return milliseconds < minimumHoldUpMilliseconds ? 0 : milliseconds
  }

  #scheduleCheck (onHoldUp: HoldUpListener): void {
    this.#dueAt = this.#clock.now() + checkIntervalMilliseconds
    this.#timer = setTimeout(() => {
      const milliseconds = this.#overdueMilliseconds
      this.#endedMilliseconds += milliseconds
      this.#scheduleCheck(onHoldUp)
      if (milliseconds > 0) onHoldUp(milliseconds)
    }, checkIntervalMilliseconds)
    this.#timer.unref()
  }
}
