/**
 * Time behind an interface, so that a test can simulate an outage of an hour in a few milliseconds.
 * A clock never goes back within a process, because leases and deadlines are compared on it.
 */
import { performance } from 'node:perf_hooks'
import { EventLoopMonitor, type HoldUpListener } from './eventLoopMonitor.ts'
import { untilInputIsRead } from './inputPoll.ts'

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
  /**
   * Calls a function once after a duration, and after what this process had received by then was read. Timers run before
   * input is read, so after a stall of the event loop a plain timer would take a reply that has arrived for missing. Never
   * early, so that a deadline has passed when its callback compares the time with it.
   *
   * @returns cancels the call; without effect once it was made
   * @example
   * const cancel = clock.scheduleAfterInput(250, () => attempt.abort())
   */
  scheduleAfterInput (milliseconds: number, callback: () => void): () => void
  /**
   * For how many milliseconds the event loop has been held up so far, counted from some moment before. A difference of two
   * values tells how long this process could neither send nor receive in between.
   *
   * @example
   * const heldUpMilliseconds = clock.heldUpMilliseconds() - heldUpBefore
   */
  heldUpMilliseconds (): number
}

/** Node.js counts in whole milliseconds, so that a timer may fire before its time by less than this. */
const timerEarlinessMilliseconds = 1
/** Node.js fires a timer with a longer delay at once. */
const longestTimerMilliseconds = 2 ** 31 - 1

function timerMilliseconds (milliseconds: number): number {
  return Math.min(longestTimerMilliseconds, Math.max(0, milliseconds))
}

/** The system clock, derived from the monotonic timer so that a step of the wall clock can't move it back. */
export class SystemClock implements Clock {
  readonly #monitor = new EventLoopMonitor(this)

  /**
   * Starts to measure for how long the event loop is held up; before that, `heldUpMilliseconds` is 0.
   *
   * @param onHoldUp is told of each time for which it was
   * @example
   * clock.startMonitor(milliseconds => log.warn('event_loop_stalled', { milliseconds }))
   */
  startMonitor (onHoldUp: HoldUpListener): void {
    this.#monitor.start(onHoldUp)
  }

  /** Ends what `startMonitor` began. */
  stopMonitor (): void {
    this.#monitor.stop()
  }

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

  scheduleAfterInput (milliseconds: number, callback: () => void): () => void {
    let isCancelled = false
    const cancelTimer = this.schedule(Math.ceil(milliseconds) + timerEarlinessMilliseconds, async () => {
      await untilInputIsRead(this)
      if (!isCancelled) callback()
    })
    return () => {
      isCancelled = true
      cancelTimer()
    }
  }

  heldUpMilliseconds (): number {
    return this.#monitor.heldUpMilliseconds
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

/**
 * Waits for a duration, and until what this process had received by then was read.
 *
 * @param signal ends the wait early; the promise then resolves and does not reject
 * @example
 * await sleepAfterInput(clock, 500, stopping)
 */
export function sleepAfterInput (clock: Pick<Clock, 'scheduleAfterInput'>, milliseconds: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve()
  return new Promise(resolve => {
    const finish = () => {
      cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const cancel = clock.scheduleAfterInput(milliseconds, finish)
    signal?.addEventListener('abort', finish, { once: true })
  })
}
