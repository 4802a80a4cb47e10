/**
 * Time behind an interface, so that a test can simulate an outage of an hour in a few milliseconds.
 * A clock never goes back within a process, because leases and deadlines are compared on it.
 */
import { performance } from 'node:perf_hooks'

/** A source of time. */
export interface Clock {
  /** Milliseconds since the Unix epoch; it never decreases within a process. */
  now (): number
  /**
   * Waits for a duration.
   *
   * @param milliseconds duration; zero or less resolves on a later turn of the event loop
   * @param signal ends the wait early; the promise then resolves and does not reject
   * @example
   * await clock.sleep(250, stopping)
   */
  sleep (milliseconds: number, signal?: AbortSignal): Promise<void>
  /**
   * Calls a function once after a duration. Cheaper than a wait that an `AbortSignal` ends.
   *
   * @returns cancels the call; without effect once it was made
   * @example
   * const cancel = clock.schedule(250, () => attempt.abort())
   */
  schedule (milliseconds: number, callback: () => void): () => void
}

/** Node.js fires a timer with a longer delay at once. */
const longestTimerMilliseconds = 2 ** 31 - 1

function timerMilliseconds (milliseconds: number): number {
  return Math.min(longestTimerMilliseconds, Math.max(0, milliseconds))
}

/** The system clock, derived from the monotonic timer so that a step of the wall clock can't move it back. */
export class SystemClock implements Clock {
  now (): number {
    return performance.timeOrigin + performance.now()
  }

  sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, timerMilliseconds(milliseconds))
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  schedule (milliseconds: number, callback: () => void): () => void {
    const timer = setTimeout(callback, timerMilliseconds(milliseconds))
    return () => clearTimeout(timer)
  }
}

/**
 * Waits until a point in time.
 *
 * @param time milliseconds since the epoch
 * @example
 * await sleepUntil(clock, lease.expiresAt, stopping)
 */
export function sleepUntil (clock: Clock, time: number, signal?: AbortSignal): Promise<void> {
  return clock.sleep(time - clock.now(), signal)
}
