/**
 * Judges runs by how long they take, against the runs of a reference version of the same kind. Two times
 * are compared: until a response begins, and between its events. A run is slow as soon as it has waited
 * several times as long as usual, not only once it has ended; one that is given up because it is slow
 * would otherwise never count, and a version would look better the slower it is. Time for which the event loop of this
 * process was held up makes no run slow, and what is usual is learned from runs without such time.
 */
import { getOrCreate } from '../contract/index.ts'

/** A run is slow if it takes this many times as long as usual. */
const slowRatio = 3
/** A response that begins within this time is never slow, since that troubles no caller. */
const minimumSlowStartMilliseconds = 250
/** The same for the events after its begin; one pause for another request's prompt does not make a run slow. */
const minimumSlowWritingMilliseconds = 500
const usualTimeSmoothing = 0.1
const minimumSamples = 3

/** Exponential moving average of a time. */
class UsualTime {
  #sampleCount = 0
  #milliseconds = 0

  add (milliseconds: number): void {
    this.#sampleCount++
    this.#milliseconds += Math.max(usualTimeSmoothing, 1 / this.#sampleCount) * (milliseconds - this.#milliseconds)
  }

  /** Whether a time is far above the usual time of some units, and above a minimum. */
  isFarExceededBy (milliseconds: number, units: number, minimumMilliseconds: number): boolean {
    return this.#sampleCount >= minimumSamples && milliseconds > minimumMilliseconds && milliseconds > this.#milliseconds * units * slowRatio
  }
}

class UsualTimes {
  readonly begin = new UsualTime()
  /** Between two events. */
  readonly event = new UsualTime()
}

export interface TimedRunOptions {
  /** Runs of one kind are comparable. */
  readonly kind: string
  /** Whether the run shows what is usual. */
  readonly isReference: boolean
  /** Milliseconds of the process's clock, like all times here. */
  readonly sentAt: number
  /** Called once, when the run turns out to be slow. */
  readonly onSlow: () => void
  /** Called once, when the run is whole and was not slow. */
  readonly onUsual?: () => void
}

/** One run whose time is judged. */
export class TimedRun {
  readonly #options: TimedRunOptions
  readonly #usual: UsualTimes
  readonly #forget: (run: TimedRun) => void
  readonly #heldUpMilliseconds: () => number
  readonly #heldUpBeforeSend: number
  #heldUpBeforeBegin = 0
  #begunAt: number | undefined
  #laterEvents = 0
  #isSlow = false

  constructor (options: TimedRunOptions, usual: UsualTimes, heldUpMilliseconds: () => number, forget: (run: TimedRun) => void) {
    this.#options = options
    this.#heldUpMilliseconds = heldUpMilliseconds
    this.#heldUpBeforeSend = heldUpMilliseconds()
    this.#usual = usual
    this.#forget = forget
  }

  get isSlow (): boolean {
    return this.#isSlow
  }

  get hasBegun (): boolean {
    return this.#begunAt !== undefined
  }

  /** Records the begin of the response. */
  recordBegin (now: number): void {
    if (this.hasBegun) return
    this.check(now)
    this.#begunAt = now
    this.#heldUpBeforeBegin = this.#heldUpMilliseconds()
    if (this.#options.isReference && this.#heldUpBeforeBegin === this.#heldUpBeforeSend) this.#usual.begin.add(now - this.#options.sentAt)
  }

  /** Records events after the first. */
  recordEvents (count: number, now: number): void {
    this.#laterEvents += count
    this.check(now)
  }

  /** Records that the response is whole. */
  finish (now: number): void {
    this.check(now)
    const wasHeldUp = this.#heldUpMilliseconds() > this.#heldUpBeforeBegin
    if (this.#options.isReference && !wasHeldUp && this.#begunAt !== undefined && this.#laterEvents > 0) this.#usual.event.add((now - this.#begunAt) / this.#laterEvents)
    if (!this.#isSlow) this.#options.onUsual?.()
    this.#forget(this)
  }

  /** Records that the run ended in another way. */
  abandon (now: number): void {
    this.check(now)
    this.#forget(this)
  }

  /** Judges the run by the time that it has taken so far. */
  check (now: number): void {
    if (this.#isSlow) return
    const heldUpMilliseconds = this.#heldUpMilliseconds() - (this.#begunAt === undefined ? this.#heldUpBeforeSend : this.#heldUpBeforeBegin)
    this.#isSlow = this.#begunAt === undefined
      ? this.#usual.begin.isFarExceededBy(now - this.#options.sentAt - heldUpMilliseconds, 1, minimumSlowStartMilliseconds)
      : this.#usual.event.isFarExceededBy(now - this.#begunAt - heldUpMilliseconds, this.#laterEvents + 1, minimumSlowWritingMilliseconds)
    if (this.#isSlow) this.#options.onSlow()
  }
}

/**
 * @example
 * const run = timings.open({ kind: 'query/large', isReference: false, sentAt: now, onSlow: () => slowRuns++ })
 * run.recordBegin(now + 180)
 */
export class RunTimings {
  readonly #usual = new Map<string, UsualTimes>()
  readonly #open = new Set<TimedRun>()
  readonly #heldUpMilliseconds: () => number

  /** @param heldUpMilliseconds for how long the event loop was held up so far */
  constructor (heldUpMilliseconds: () => number = () => 0) {
    this.#heldUpMilliseconds = heldUpMilliseconds
  }

  /** Adds a run that has just been sent. */
  open (options: TimedRunOptions): TimedRun {
    const usual = getOrCreate(this.#usual, options.kind, () => new UsualTimes())
    const run = new TimedRun(options, usual, this.#heldUpMilliseconds, ended => this.#open.delete(ended))
    this.#open.add(run)
    return run
  }

  /** Judges the runs that have not ended; to be called from time to time. */
  checkOpenRuns (now: number): void {
    for (const run of this.#open) run.check(now)
  }
}
