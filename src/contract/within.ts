/** Bounds a wait for the store, whose replies may never come. */
import type { Clock } from './clock.ts'

/**
 * Waits for a promise until a moment of the clock.
 *
 * @param until milliseconds since the epoch
 * @returns undefined where the moment came first; the work itself goes on unheard
 * @example
 * const row = await within(clock, clock.now() + 1_000, table.read('claims', key))
 */
export async function within<Value> (clock: Clock, until: number, work: Promise<Value>): Promise<Value | undefined> {
  const over = new AbortController()
  const timeout = clock.sleep(until - clock.now(), over.signal).then(() => undefined)
  try {
    return await Promise.race([work, timeout])
  } finally {
    // A reason spares the making of an exception that nobody reads.
    over.abort('done')
  }
}
