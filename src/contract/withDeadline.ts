/** Deadlines for promises that may never settle, such as calls to the store. */
import type { Clock } from './clock.ts'

/**
 * Waits for a promise until a deadline.
 *
 * @param deadline milliseconds since the epoch
 * @returns the value, or undefined if the deadline came first; the work itself is not cancelled
 * @example
 * const row = await within(clock, clock.now() + 1_000, table.read('claims', key))
 */
export async function withDeadline<Value> (clock: Clock, deadline: number, promise: Promise<Value>): Promise<Value | undefined> {
  const cancellation = new AbortController()
  const timeout = clock.sleep(deadline - clock.now(), cancellation.signal).then(() => undefined)
  try {
    return await Promise.race([promise, timeout])
  } finally {
    // An explicit reason avoids constructing a DOMException that nobody reads.
    cancellation.abort('done')
  }
}
