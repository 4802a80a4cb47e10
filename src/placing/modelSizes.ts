/**
 * Which size of a model answers. The smallest goes first: it costs a small part of the largest and
 * answers soon, and what the model thinks of its own answer comes with the head, before a caller
 * has got a byte. Where that is too low the largest is asked instead. The middle sizes are passed
 * over: each step costs the caller time, and the largest is the one whose answer is surely good.
 *
 * It answers the load of a burst on engines: when the largest model's answers come late, answers
 * that are probably good are let through, so that those which need the largest model get it in time.
 */

/** A model's own opinion of an answer that is let through while the largest model answers soon, 0 to 100. */
const calmConfidence = 55
/** The same while the largest model answers late; below it an answer is hardly ever good. */
const busyConfidence = 28
/** First events of the largest model that take this share of the objective are soon. */
const soonShare = 0.14
/** And from this share on they are late. */
const lateShare = 0.36
/** Weight of the latest first event. */
const recentWeight = 0.08
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

/**
 * Plans the sizes of requests.
 *
 * @example
 * const plan = sizes.plan(['small', 'medium', 'large'], { attemptsLeft: 3, objectiveShareLeft: 1, mayRepeat: true })
 */
export class ModelSizes {
  #lateness = 0

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

  /** The largest model's first event came after this share of the objective. */
  observeLargest (shareOfObjective: number): void {
    this.#lateness += recentWeight * (Math.min(1, shareOfObjective) - this.#lateness)
  }

  /** The confidence from which an answer is let through now. */
  get acceptedConfidence (): number {
    const position = (this.#lateness - soonShare) / (lateShare - soonShare)
    const busyness = Math.min(1, Math.max(0, position))
    return calmConfidence + busyness * (busyConfidence - calmConfidence)
  }

  /** Whether an answer is let through. One without an opinion is. */
  accepts (confidence: number | undefined): boolean {
    return confidence === undefined || confidence >= this.acceptedConfidence
  }
}
