/**
 * How long something was waited for, and for how much of that it could be heard. While the event loop of this process is held
 * up it reads nothing, and if its VM does not run, what others send is delayed; their silence then says nothing of them.
 */
import type { Clock } from './clock.ts'

/**
 * @example
 * const wait = new Wait(clock)
 * const isSilent = wait.heardMilliseconds >= 1_000
 */
export class Wait {
  readonly #clock: Pick<Clock, 'now' | 'heldUpMilliseconds'>
  #since: number
  #heldUpBefore: number

  constructor (clock: Pick<Clock, 'now' | 'heldUpMilliseconds'>) {
    this.#clock = clock
    this.#since = clock.now()
    this.#heldUpBefore = clock.heldUpMilliseconds()
  }

  /** When it began, in milliseconds of the process's clock. */
  get since (): number {
    return this.#since
  }

  /** Time for which the event loop was held up meanwhile. */
  get heldUpMilliseconds (): number {
    return this.#clock.heldUpMilliseconds() - this.#heldUpBefore
  }

  /** Time in which something could be heard. */
  get heardMilliseconds (): number {
    return Math.max(0, this.#clock.now() - this.#since - this.heldUpMilliseconds)
  }

  /** Begins anew. */
  restart (): void {
    this.#since = this.#clock.now()
    this.#heldUpBefore = this.#clock.heldUpMilliseconds()
  }
}
