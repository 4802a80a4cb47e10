/**
 * Timeouts of replies to which this process contributes steps of its own, such as connecting and writing. What has arrived
 * by the timeout counts, however late the process reads it. While the event loop is held up no step is taken, so that time
 * is allowed in addition, up to the length of the timeout.
 */
import type { Clock } from './clock.ts'

/**
 * Calls a function once when a reply is overdue.
 *
 * @returns cancels the call; without effect once it was made
 * @example
 * const cancel = scheduleReplyTimeout(clock, 1_000, () => connection.close())
 */
export function scheduleReplyTimeout (clock: Clock, timeoutMilliseconds: number, callback: () => void): () => void {
  const heldUpBefore = clock.heldUpMilliseconds()
  let cancel = clock.scheduleAfterInput(timeoutMilliseconds, () => {
    const heldUpMilliseconds = Math.min(timeoutMilliseconds, clock.heldUpMilliseconds() - heldUpBefore)
    if (heldUpMilliseconds <= 0) return callback()
    cancel = clock.scheduleAfterInput(heldUpMilliseconds, callback)
  })
  return () => cancel()
}

/**
 * Waits for a reply.
 *
 * @returns the value, or undefined if it is overdue; the work itself is not cancelled
 * @example
 * const connection = await withReplyTimeout(clock, 1_000, dial(peer))
 */
export function withReplyTimeout<Value> (clock: Clock, timeoutMilliseconds: number, reply: Promise<Value>): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const cancel = scheduleReplyTimeout(clock, timeoutMilliseconds, () => resolve(undefined))
    reply.finally(cancel).then(resolve, reject)
  })
}

/**
 * A signal that aborts when a reply is overdue.
 *
 * @returns the signal, and what cancels it once the reply was read
 * @example
 * const timeout = replyTimeoutSignal(clock, 1_000)
 * const response = await pool.request({ signal: timeout.signal }).finally(timeout.cancel)
 */
export function replyTimeoutSignal (clock: Clock, timeoutMilliseconds: number): { readonly signal: AbortSignal, readonly cancel: () => void } {
  const controller = new AbortController()
  const cancel = scheduleReplyTimeout(clock, timeoutMilliseconds, () => controller.abort(new Error(`no reply within ${timeoutMilliseconds} ms`)))
  return { signal: controller.signal, cancel }
}

/**
 * Sends a request, and sends it once more if no answer came while the event loop was held up, so that a stall of this process
 * is not taken for the peer's silence.
 *
 * @param isAnswer whether what came counts as an answer
 * @example
 * const isReached = await retryIfHeldUp(clock, () => probe(peer), isReached => isReached)
 */
export async function retryIfHeldUp<Answer> (clock: Pick<Clock, 'heldUpMilliseconds'>, send: () => Promise<Answer>, isAnswer: (answer: Answer) => boolean): Promise<Answer> {
  const heldUpBefore = clock.heldUpMilliseconds()
  const answer = await send()
  return isAnswer(answer) || clock.heldUpMilliseconds() <= heldUpBefore ? answer : send()
}
