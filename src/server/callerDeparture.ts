/**
 * When the work for a caller who leaves ends. A run that may run only once and is under way can't be taken back, so
 * that it is kept while the caller may still read its answer; all else is given up as soon as the caller ends its sending.
 */
import type { ServerResponse } from 'node:http'
import { CallerLeaving } from './callerLeaving.ts'

const leftReason = 'caller disconnected'

/**
 * @example
 * const departure = new CallerDeparture(response, () => isOnceOnly && attempts.isUnderWay)
 * departure.abort.signal.addEventListener('abort', () => exchange.abort('caller disconnected'))
 */
export class CallerDeparture {
  /** Aborted when the work for the caller ends. */
  readonly abort = new AbortController()
  readonly #leaving: CallerLeaving

  /** @param isKept whether the run is to be kept although its caller sends nothing more */
  constructor (response: ServerResponse, isKept: () => boolean) {
    this.#leaving = CallerLeaving.of(response.req.socket)
    const giveUp = () => this.abort.abort(leftReason)
    const giveUpUnkept = () => { if (!isKept()) giveUp() }
    const giveUpUnanswered = () => { if (!response.writableFinished) giveUp() }
    // The HTTP server tells only the response whose turn it is that its connection has closed.
    const unfollow = this.#leaving.follow({ onEnd: giveUpUnkept, onClose: giveUpUnanswered })
    response.once('close', () => {
      unfollow()
      giveUpUnanswered()
    })
    if (response.destroyed || this.#leaving.hasEnded) giveUp()
  }

  /** Whether the caller has left, so that nothing more is sent to endpoints for it. */
  get hasLeft (): boolean {
    return this.abort.signal.aborted || this.#leaving.hasEnded
  }
}
