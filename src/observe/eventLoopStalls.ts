/**
 * Reports for how long the event loop of this process was held up. Meanwhile the process neither sends nor receives, so
 * that others seem silent to it. Metrics count each hold-up; of a series the log gets one line a second.
 */
import { Counter, Histogram, type Registry } from 'prom-client'
import type { SystemClock } from '../contract/index.ts'
import type { Log } from './log.ts'

/** A shorter hold-up is counted and not logged. */
const minimumLoggedMilliseconds = 100
const lineIntervalMilliseconds = 1_000
const stallBuckets = [0.1, 0.25, 0.5, 1, 2, 4, 8]

/** What counts the times for which the event loop was held up. */
export interface EventLoopStallMetrics {
  readonly heldUpSeconds: Counter
  readonly stallSeconds: Histogram
}

/**
 * Creates the metrics of a process.
 *
 * @example
 * readonly eventLoopStalls = createStallMetrics(this.registry)
 */
export function createStallMetrics (registry: Registry): EventLoopStallMetrics {
  return {
    heldUpSeconds: new Counter({ name: 'lavenderdoor_event_loop_held_up_seconds_total', help: 'Time for which the event loop was held up.', registers: [registry] }),
    stallSeconds: new Histogram({ name: 'lavenderdoor_event_loop_stall_seconds', help: 'How long the event loop was held up at a time.', buckets: stallBuckets, registers: [registry] })
  }
}

export interface EventLoopStallsOptions {
  readonly clock: Pick<SystemClock, 'schedule' | 'startMonitor' | 'stopMonitor'>
  readonly log: Pick<Log, 'warn'>
  readonly metrics: EventLoopStallMetrics
}

/**
 * @example
 * const stalls = new EventLoopStalls({ clock, log, metrics: metrics.eventLoopStalls })
 * stalls.start()
 */
export class EventLoopStalls {
  readonly #options: EventLoopStallsOptions
  #unloggedMilliseconds: number[] = []
  /** Cancels the timer before whose end no further line is written; undefined if one may be written now. */
  #cancelInterval: (() => void) | undefined

  constructor (options: EventLoopStallsOptions) {
    this.#options = options
  }

  start (): void {
    this.#options.clock.startMonitor(milliseconds => this.#record(milliseconds))
  }

  /** Ends the measurement, and logs what was not logged yet. */
  stop (): void {
    this.#options.clock.stopMonitor()
    this.#cancelInterval?.()
    this.#cancelInterval = undefined
    if (this.#unloggedMilliseconds.length > 0) this.#writeLine()
  }

  #record (milliseconds: number): void {
    const { heldUpSeconds, stallSeconds } = this.#options.metrics
    heldUpSeconds.inc(milliseconds / 1_000)
    stallSeconds.observe(milliseconds / 1_000)
    if (milliseconds < minimumLoggedMilliseconds) return
    this.#unloggedMilliseconds.push(milliseconds)
    if (this.#cancelInterval === undefined) this.#beginInterval()
  }

  #beginInterval (): void {
    this.#writeLine()
    this.#cancelInterval = this.#options.clock.schedule(lineIntervalMilliseconds, () => {
      this.#cancelInterval = undefined
      if (this.#unloggedMilliseconds.length > 0) this.#beginInterval()
    })
  }

  #writeLine (): void {
    const stalls = this.#unloggedMilliseconds
    this.#unloggedMilliseconds = []
    this.#options.log.warn('event_loop_stalled', {
      milliseconds: Math.round(stalls.reduce((sum, milliseconds) => sum + milliseconds, 0)),
      stalls: stalls.length,
      longestMilliseconds: Math.round(Math.max(...stalls))
    })
  }
}
