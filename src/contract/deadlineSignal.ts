/** Signals that end the work for a reply whose moment is fixed, however long this process is held up meanwhile. */
import type { Clock } from './clock.ts'

/**
 * A signal that aborts when a reply has not come by a deadline. What has arrived by then counts, however late the process
 * reads it.
 *
 * @param deadline milliseconds since the epoch
 * @returns the signal, and what cancels it once the reply was read
 * @example
 * const deadline = deadlineSignal(clock, clock.now() + 3_000)
 * const response = await pool.request({ signal: deadline.signal }).finally(deadline.cancel)
 */
export function deadlineSignal (clock: Clock, deadline: number): CancellableSignal {
  const controller = new AbortController()
  const cancel = clock.scheduleAfterInput(deadline - clock.now(), () => controller.abort(new Error('no reply before the deadline')))
  return { signal: controller.signal, cancel }
}

/** A signal that aborts at some moment unless it is cancelled before. */
export interface CancellableSignal {
  readonly signal: AbortSignal
  readonly cancel: () => void
}
