/**
 * Detects a drop of a version's quality in service: a one-sided cumulative sum (Page's CUSUM test) of
 * the shortfall of its ratings. Each rating adds its shortfall minus an allowance; the sum never falls
 * below zero; at the threshold it raises an alarm. The term of each rating is bounded, so that a single
 * outlier can't raise the alarm.
 */

/** Shortfall in standard deviations that does not increase the sum. */
const cusumAllowance = 0.5
/** Sum that raises the alarm: a run of over 10,000 ratings between two false alarms. */
const cusumThreshold = 9
/** Upper bound of the shortfall of one rating, in standard deviations. */
const maximumShortfall = 3

/** Drift detector for one version on one kind of request. */
export class RatingDriftDetector {
  #sum = 0

  /**
   * Adds a rating.
   *
   * @param shortfall points below the expected rating, in standard deviations
   * @returns whether the alarm is raised; the sum is then reset to zero
   * @example
   * if (detector.observe(shortfall)) model.discount(version, 0.05)
   */
  observe (shortfall: number): boolean {
    const increment = Math.min(maximumShortfall, shortfall) - cusumAllowance
    this.#sum = Math.max(0, this.#sum + increment)
    if (this.#sum < cusumThreshold) return false
    this.#sum = 0
    return true
  }
}
