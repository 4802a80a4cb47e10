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
const startLateness = 0.25
/** Weight of the latest first event. */
const recentWeight = 0.08
/** Runs that wait together for their first event before their waiting says something. */
const leastWaiting = 2
/** The largest model alone, where less than this share of the time to the objective is left. */
const leastTimeShare = 0.35

/** The models to ask, in order. */
export interface SizePlan {
  readonly first: string
  /** Asked where the first's answer is not good enough; undefined where there is none. */
  readonly larger: string | undefined
}

/** What a plan reads of a request. */
export interface SizeRequest {
  readonly attemptsLeft: number
  /** Part of the time to the objective that is left, 0 to 1. */
  readonly objectiveShareLeft: number
  /** Whether a second run is allowed. */
  readonly mayRepeat: boolean
}

interface WaitingRun {
  readonly since: number
  readonly objectiveMilliseconds: number
}

/**
 * Plans the sizes of requests.
 *
 * @example
 * const plan = sizes.plan(['small', 'medium', 'large'], { attemptsLeft: 3, objectiveShareLeft: 1, mayRepeat: true })
 */
export class ModelSizes {
  #lateness: number = startLateness
  readonly #waiting = new Set<WaitingRun>()

  /**
   * The sizes to ask.
   *
   * @param sizes smallest first; not empty
   */
  plan (sizes: readonly string[], { attemptsLeft, objectiveShareLeft, mayRepeat }: SizeRequest): SizePlan {
    const smallest = sizes[0] ?? ''
    const largest = sizes.at(-1) ?? smallest
    const isCascade = attemptsLeft >= 2 && mayRepeat && objectiveShareLeft >= leastTimeShare && smallest !== largest
    if (!isCascade) return { first: largest, larger: undefined }
    return { first: smallest, larger: largest }
  }

  /**
   * Counts a run of the largest model as waiting for its first event.
   *
   * @returns to be called when the event comes, or with false when the run ends without one
   */
  waitForLargest (now: number, objectiveMilliseconds: number): (hasBegun: boolean, at: number) => void {
    const run = { since: now, objectiveMilliseconds }
    this.#waiting.add(run)
    return (hasBegun, at) => {
      if (!this.#waiting.delete(run) || !hasBegun) return
      this.#lateness += recentWeight * (latenessOf(run, at) - this.#lateness)
    }
  }

  /** The confidence from which an answer is let through now. */
  acceptedConfidence (now: number): number {
    return interpolate(Math.max(this.#lateness, this.#waitingLateness(now)))
  }

  /** How late the runs are that wait now: it tells of a queue before its first answers do. */
  #waitingLateness (now: number): number {
    if (this.#waiting.size < leastWaiting) return 0
    const sum = [...this.#waiting].reduce((total, run) => total + latenessOf(run, now), 0)
    return sum / this.#waiting.size
  }

  /** Whether an answer is let through. One without an opinion is. */
  accepts (confidence: number | undefined, now: number): boolean {
    return confidence === undefined || confidence >= this.acceptedConfidence(now)
  }
}

function latenessOf ({ since, objectiveMilliseconds }: WaitingRun, now: number): number {
  return Math.min(1, (now - since) / objectiveMilliseconds)
}

function interpolate (lateness: number): number {
  let below: { readonly lateness: number, readonly confidence: number } = confidenceSteps[0]
  for (const step of confidenceSteps) {
    if (lateness < step.lateness) {
      const span = step.lateness - below.lateness
      const position = span === 0 ? 1 : Math.max(0, lateness - below.lateness) / span
      return below.confidence + position * (step.confidence - below.confidence)
    }
    below = step
  }
  return below.confidence
}
