/**
 * Which size of a model answers. The smallest goes first: it costs a small part of the largest and
 * answers soon, and what the model thinks of its own answer comes with the head, before a caller
 * has got a byte. Where that is too low the largest is asked instead. The middle sizes are passed
 * over: each step costs the caller time, and the largest is the one whose answer is surely good.
 *
 * It answers the load of a burst on engines: when the largest model's answers come late, answers
 * that are probably good are let through, so that those which need the largest model get it in time.
 */

/** How late the largest model's first events are, as a share of the objective, and from which confidence answers are let through then. */
const confidenceSteps = [
  { lateness: 0.14, confidence: 52 },
  { lateness: 0.36, confidence: 28 },
  { lateness: 0.6, confidence: 24 },
  { lateness: 1, confidence: 5 }
] as const
/** Before the first answers, when a daemon that restarts may meet the whole fleet's backlog. */
const initialLateness = 0.25
/** Weight of the latest first event. */
const latenessSmoothing = 0.08
/** Runs that wait together for their first event before their waiting says something. */
const minimumWaitingRuns = 2
/** The largest model alone, where less than this share of the time to the objective is left. */
const minimumTargetShareForCascade = 0.35

/** The models to ask, in order. */
export interface CascadePlan {
  readonly first: string
  /** Asked where the first's answer is not good enough; undefined where there is none. */
  readonly larger: string | undefined
}

/** What a plan reads of a request. */
export interface CascadeRequest {
  readonly attemptsLeft: number
  /** Part of the time to the objective that is left, 0 to 1. */
  readonly latencyTargetShareLeft: number
  /** Whether a second run is allowed. */
  readonly mayRetry: boolean
}

interface WaitingRun {
  readonly waitingSince: number
  readonly latencyTargetMilliseconds: number
}

/**
 * Plans the sizes of requests.
 *
 * @example
 * const plan = sizes.plan(['small', 'medium', 'large'], { attemptsLeft: 3, latencyTargetShareLeft: 1, mayRetry: true })
 */
export class ModelCascade {
  #lateness: number = initialLateness
  readonly #waitingRuns = new Set<WaitingRun>()

  /**
   * The sizes to ask.
   *
   * @param sizes smallest first; not empty
   */
  plan (sizes: readonly string[], { attemptsLeft, latencyTargetShareLeft: objectiveShareLeft, mayRetry: mayRepeat }: CascadeRequest): CascadePlan {
    const smallest = sizes[0] ?? ''
    const largest = sizes.at(-1) ?? smallest
    const isCascade = attemptsLeft >= 2 && mayRepeat && objectiveShareLeft >= minimumTargetShareForCascade && smallest !== largest
    if (!isCascade) return { first: largest, larger: undefined }
    return { first: smallest, larger: largest }
  }

  /**
   * Counts a run of the largest model as waiting for its first event.
   *
   * @returns to be called when the event comes, or with false when the run ends without one
   */
  trackLargestModelWait (now: number, targetMilliseconds: number): (hasBegun: boolean, at: number) => void {
    const run = { waitingSince: now, latencyTargetMilliseconds: targetMilliseconds }
    this.#waitingRuns.add(run)
    return (hasBegun, at) => {
      if (!this.#waitingRuns.delete(run) || !hasBegun) return
      this.#lateness += latenessSmoothing * (latenessOf(run, at) - this.#lateness)
    }
  }

  /** The confidence from which an answer is let through now. */
  confidenceThreshold (now: number): number {
    return confidenceAtLateness(Math.max(this.#lateness, this.#waitingLateness(now)))
  }

  /** How late the runs are that wait now: it tells of a queue before its first answers do. */
  #waitingLateness (now: number): number {
    if (this.#waitingRuns.size < minimumWaitingRuns) return 0
    const sum = [...this.#waitingRuns].reduce((total, run) => total + latenessOf(run, now), 0)
    return sum / this.#waitingRuns.size
  }

  /** Whether an answer is let through. One without an opinion is. */
  accepts (confidence: number | undefined, now: number): boolean {
    return confidence === undefined || confidence >= this.confidenceThreshold(now)
  }
}

function latenessOf ({ waitingSince: since, latencyTargetMilliseconds: objectiveMilliseconds }: WaitingRun, now: number): number {
  return Math.min(1, (now - since) / objectiveMilliseconds)
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
