/**
 * Which size of a model answers. The smallest goes first: it costs a small part of the largest and
 * answers soon, and what the model thinks of its own answer comes with the head, before a caller
 * has got a byte. Where that is too low the largest is asked instead. The middle sizes are passed
 * over: each step costs the caller time, and the largest is the one whose answer is surely good.
 */

/** A model's own opinion of an answer that is let through, 0 to 100. */
const acceptedConfidence = 70
/** The largest model alone, where less than this share of the time to the objective is left. */
const leastTimeShare = 0.35

/** The models to ask, in order. */
export interface SizePlan {
  readonly first: string
  /** Asked where the first's answer is not good enough; undefined where there is none. */
  readonly larger: string | undefined
}

/**
 * Plans the sizes of a request.
 *
 * @example
 * const plan = new ModelSizes().plan(['small', 'medium', 'large'], { attemptsLeft: 3, objectiveShareLeft: 1, mayRepeat: true })
 */
export class ModelSizes {
  /**
   * The sizes to ask.
   *
   * @param sizes smallest first; not empty
   * @param objectiveShareLeft part of the time to the objective that is left, 0 to 1
   * @param mayRepeat whether a second run is within the daemon's allowance
   */
  plan (sizes: readonly string[], { attemptsLeft, objectiveShareLeft, mayRepeat }: { readonly attemptsLeft: number, readonly objectiveShareLeft: number, readonly mayRepeat: boolean }): SizePlan {
    const smallest = sizes[0] ?? ''
    const largest = sizes.at(-1) ?? smallest
    const isCascade = attemptsLeft >= 2 && mayRepeat && objectiveShareLeft >= leastTimeShare && smallest !== largest
    if (!isCascade) return { first: largest, larger: undefined }
    return { first: smallest, larger: largest }
  }

  /** Whether an answer is let through. One without an opinion is. */
  accepts (confidence: number | undefined): boolean {
    return confidence === undefined || confidence >= acceptedConfidence
  }
}
