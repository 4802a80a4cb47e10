/**
 * For how long others could be heard. While the event loop of this process is held up it reads nothing, and if its VM does
 * not run, what others send is delayed; their silence then says nothing of them.
 */

/**
 * Part of a wait in which something could be heard.
 *
 * @param heldUpMilliseconds for how long the event loop was held up during the wait
 * @example
 * const isSilent = heardMilliseconds(clock.now() - sentAt, clock.heldUpMilliseconds() - heldUpBefore) >= 1_000
 */
export function heardMilliseconds (waitedMilliseconds: number, heldUpMilliseconds: number): number {
  return Math.max(0, waitedMilliseconds - heldUpMilliseconds)
}
