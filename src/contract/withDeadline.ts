/** Deadlines for promises that may never settle, such as calls to the store. */
import type { Clock } from './clock.ts'
import { maximumInputReadMilliseconds } from './inputPoll.ts'

/**
 * Waits for a promise until a deadline. What has arrived by then counts, however late the process reads it. Of a series of
 * waits for the same deadline, those that begin long after it take only what was read before they began, so that a peer that
 * sends without end can't outrun the deadline.
 *
 * @param deadline milliseconds since the epoch
 * @returns the value, or undefined if the deadline came first; the work itself is not cancelled
 * @example
 * const row = await withDeadline(clock, clock.now() + 1_000, table.read('claims', key))
 */
export function withDeadline<Value> (clock: Clock, deadline: number, promise: Promise<Value>): Promise<Value | undefined> {
  if (clock.now() - deadline >= maximumInputReadMilliseconds) return ifSettled(promise)
  return new Promise((resolve, reject) => {
    const cancel = clock.scheduleAfterInput(deadline - clock.now(), () => resolve(undefined))
    const settle = (finish: () => void) => {
      cancel()
      finish()
    }
    promise.then(value => settle(() => resolve(value)), error => settle(() => reject(error)))
  })
}

function ifSettled<Value> (promise: Promise<Value>): Promise<Value | undefined> {
  return Promise.race([promise, new Promise<undefined>(resolve => setImmediate(() => resolve(undefined)))])
}
