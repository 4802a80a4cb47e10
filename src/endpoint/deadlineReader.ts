/**
 * Reads the events of an exchange, each until a deadline. Its timer stays set while events arrive and is
 * set again only when it fires or a deadline is earlier, since setting one for each event costs more than
 * the event.
 */
import type { Clock } from '../contract/index.ts'
import type { Exchange } from './exchange.ts'
import type { ExchangeEvent } from './exchangeContract.ts'

/**
 * @example
 * const reader = new DeadlineReader(exchange, clock)
 * const event = await reader.next(clock.now() + 1_000)
 * reader.close()
 */
export class DeadlineReader {
  readonly #exchange: Exchange
  readonly #clock: Clock
  #deadline = 0
  #settle: ((event: ExchangeEvent | undefined) => void) | undefined
  #timerAt = Number.POSITIVE_INFINITY
  #cancelTimer: () => void = () => undefined

  constructor (exchange: Exchange, clock: Clock) {
    this.#exchange = exchange
    this.#clock = clock
  }

  /**
   * Returns the next event. Only one call may be waiting at a time.
   *
   * @param deadline milliseconds of the process's clock
   * @returns undefined if the deadline came first; the event is then returned by a later call
   */
  next (deadline: number): Promise<ExchangeEvent | undefined> {
    const event = this.#exchange.poll()
    if (event !== undefined) return Promise.resolve(event)
    return new Promise(resolve => {
      this.#settle = resolve
      this.#deadline = deadline
      if (deadline < this.#timerAt) this.#setTimer()
      this.#exchange.wakeOnEvent(this.#receive)
    })
  }

  /** Cancels the timer. */
  close (): void {
    this.#cancelTimer()
    this.#timerAt = Number.POSITIVE_INFINITY
  }

  readonly #receive = (): void => {
    if (this.#settle !== undefined) this.#finish(this.#exchange.poll())
  }

  #finish (event: ExchangeEvent | undefined): void {
    const settle = this.#settle
    this.#settle = undefined
    settle?.(event)
  }

  #setTimer (): void {
    this.#cancelTimer()
    this.#timerAt = this.#deadline
    this.#cancelTimer = this.#clock.scheduleAfterInput(this.#deadline - this.#clock.now(), () => this.#checkDeadline())
  }

  /** The wait for which the timer was set may have ended long ago. */
  #checkDeadline (): void {
    this.#timerAt = Number.POSITIVE_INFINITY
    if (this.#settle === undefined) return
    if (this.#clock.now() < this.#deadline) this.#setTimer()
    else this.#finish(undefined)
  }
}
