/**
 * Model cascade: chooses which model size responds. The smallest model is asked first, since it is much
 * cheaper than the largest and responds quickly, and its confidence arrives with the response head,
 * before any byte is sent to the caller. If the confidence is too low, the largest model is asked
 * instead. Middle sizes are skipped: each step costs the caller time, and only the largest model's
 * response is certain to be good.
 *
 * Under a burst, when the largest model's responses are late, the confidence threshold is lowered, so
 * that probably good responses are accepted and requests that need the largest model get it in time. It
 * is lowered as well when long answers would take most of the time that a request has left, since the
 * responses of larger models slow down all streams of their endpoints. A model whose answer is not
 * expected to be whole in that time is not asked, unless it is the smallest.
 */
import { AnswerTimes } from './answerTimes.ts'

/** Minimum accepted confidence by lateness; lateness is the delay of the largest model's first event as a share of the latency target. */
const confidenceSteps = [
  { lateness: 0.14, confidence: 52 },
  { lateness: 0.36, confidence: 28 },
  { lateness: 0.6, confidence: 24 },
  { lateness: 1, confidence: 5 }
] as const
/** Lateness assumed before the first responses, since a restarted daemon may face the backlog of the whole fleet. */
const initialLateness = 0.25
/** Weight of the latest first event in the exponential moving average. */
const latenessSmoothing = 0.08
/** Number of runs that must wait for their first event before their waiting times are taken into account. */
const minimumWaitingRuns = 2
/** With less than this share of the latency target left, only the largest model is asked. */
const minimumTargetShareForCascade = 0.35

/** Up to this share of the time left for a long answer of the largest model, the confidence threshold is as usual. */
const usualTimeShare = 0.6
/** From this share on, any response is accepted. */
const highestTimeShare = 0.85

/** Models to ask, in order. */
export interface CascadePlan {
  readonly first: string
  /** Asked if the first model's confidence is too low; undefined without a cascade. */
  readonly larger: string | undefined
}

/** Properties of a request that determine its plan. */
export interface CascadeRequest {
  readonly attemptsLeft: number
  /** Remaining share of the latency target, 0 to 1. */
  readonly latencyTargetShareLeft: number
  /** Whether a second run may be started. */
  readonly mayRetry: boolean
  /** Share of the time left that a long answer of a model is expected to take. */
  readonly timeShareOf?: (model: string) => number
}

interface WaitingRun {
  readonly waitingSince: number
  readonly latencyTargetMilliseconds: number
}

/**
 * @example
 * const plan = cascade.plan(['small', 'medium', 'large'], { attemptsLeft: 3, latencyTargetShareLeft: 1, mayRetry: true })
 */
export class ModelCascade {
  readonly answerTimes = new AnswerTimes()
  #lateness: number = initialLateness
  readonly #waitingRuns = new Set<WaitingRun>()

  /**
   * Returns the models to ask.
   *
   * @param sizes smallest first; not empty
   */
  plan (sizes: readonly string[], { attemptsLeft, latencyTargetShareLeft, mayRetry, timeShareOf = () => 0 }: CascadeRequest): CascadePlan {
    const smallest = sizes[0] ?? ''
    const largest = sizes.at(-1) ?? smallest
    const largestInTime = this.largestInTime(sizes, timeShareOf)
    const mayCascade = attemptsLeft >= 2 && mayRetry && latencyTargetShareLeft >= minimumTargetShareForCascade && smallest !== largest
    if (!mayCascade) return { first: largestInTime, larger: undefined }
    return { first: smallest, larger: largestInTime === largest ? largest : undefined }
  }

  /** The largest model whose answer is expected to be whole in the time left; the smallest if none is. */
  largestInTime (sizes: readonly string[], timeShareOf: (model: string) => number): string {
    return sizes.findLast(size => timeShareOf(size) <= 1) ?? sizes[0] ?? ''
  }

  /**
   * Records that a run of the largest model waits for its first event.
   *
   * @returns a callback for the end of the wait, with true when the event arrives or false when the run ends without one
   */
  trackLargestModelWait (now: number, targetMilliseconds: number): (hasBegun: boolean, at: number) => void {
    const run = { waitingSince: now, latencyTargetMilliseconds: targetMilliseconds }
    this.#waitingRuns.add(run)
    return (hasBegun, at) => {
      if (!this.#waitingRuns.delete(run) || !hasBegun) return
      this.#lateness += latenessSmoothing * (latenessOf(run, at) - this.#lateness)
    }
  }

  /**
   * The lowest confidence with which a response is accepted now.
   *
   * @param timeShare share of the time left that a long answer of the largest model is expected to take
   */
  confidenceThreshold (now: number, timeShare = 0): number {
    const byFirstEvents = confidenceAtLateness(Math.max(this.#lateness, this.#waitingLateness(now)))
    return byFirstEvents * Math.min(1, Math.max(0, (highestTimeShare - timeShare) / (highestTimeShare - usualTimeShare)))
  }

  /** Mean lateness of the runs that are waiting now; it reveals a queue before its first responses do. */
  #waitingLateness (now: number): number {
    if (this.#waitingRuns.size < minimumWaitingRuns) return 0
    const sum = [...this.#waitingRuns].reduce((total, run) => total + latenessOf(run, now), 0)
    return sum / this.#waitingRuns.size
  }

  /** Whether a response is accepted; one without a stated confidence always is. */
  accepts (confidence: number | undefined, now: number, timeShare = 0): boolean {
    return confidence === undefined || confidence >= this.confidenceThreshold(now, timeShare)
  }
}

function latenessOf ({ waitingSince, latencyTargetMilliseconds }: WaitingRun, now: number): number {
  return Math.min(1, (now - waitingSince) / latencyTargetMilliseconds)
}

function confidenceAtLateness (lateness: number): number {
  let previous: { readonly lateness: number, readonly confidence: number } = confidenceSteps[0]
  for (const step of confidenceSteps) {
    if (lateness < step.lateness) {
      const span = step.lateness - previous.lateness
      const position = span === 0 ? 1 : Math.max(0, lateness - previous.lateness) / span
      return previous.confidence + position * (step.confidence - previous.confidence)
    }
    previous = step
  }
  return previous.confidence
}
