/** Bounds a wait for the store, whose replies may never come. */
import type { Clock } from './clock.ts'

/**
 * Waits for a promise until a moment of the clock.
 *
 * @param deadline milliseconds since the epoch
 * @returns undefined where the moment came first; the work itself goes on unheard
 * @example
 * const row = await within(clock, clock.now() + 1_000, table.read('claims', key))
 */
export async function withDeadline<Value> (clock: Clock, deadline: number, promise: Promise<Value>): Promise<Value | undefined> {
  const cancellation = new AbortController()
  const timeout = clock.sleep(deadline - clock.now(), cancellation.signal).then(() => undefined)
  try {
    return await Promise.race([promise, timeout])
  } finally {
    // A reason spares the making of an exception that nobody reads.
    cancellation.abort('done')
  }
}
