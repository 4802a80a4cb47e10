/**
 * Time behind an interface, so that an hour's outage costs a test a few milliseconds. A clock never
 * goes back within a process: leases and deadlines are compared on it.
 */
import { performance } from 'node:perf_hooks'

/** A source of time. */
export interface Clock {
  /** Milliseconds since the Unix epoch; it never decreases within a process. */
  now (): number
  /**
   * Waits.
   *
   * @param milliseconds how long; zero or less returns at the next turn of the event loop
   * @param signal ends the wait early; the promise is fulfilled, not rejected
   * @example
   * await clock.sleep(250, stopping)
   */
  sleep (milliseconds: number, signal?: AbortSignal): Promise<void>
}

/** The machine's clock, read from the monotonic timer so that a step of the wall clock can't turn it back. */
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
      const timer = setTimeout(finish, Math.max(0, milliseconds))
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}

/**
 * Waits until a moment of the clock.
 *
 * @param time milliseconds since the epoch
 * @example
 * await sleepUntil(clock, lease.expiresAt, stopping)
 */
export function sleepUntil (clock: Clock, time: number, signal?: AbortSignal): Promise<void> {
  return clock.sleep(time - clock.now(), signal)
}
