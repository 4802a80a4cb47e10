/**
 * Notices that a version has turned bad while serving: a one-sided cumulative sum (Page's test) of
 * how far its ratings fall short of what was expected of it. Each rating adds its shortfall less an
 * allowance; the sum never falls below zero; above the threshold it raises the alarm. A bounded
 * term for each rating keeps one odd reading from raising it alone.
 */

/** Standard deviations a rating may fall short without adding to the sum. */
const cusumAllowance = 0.5
/** The sum at which the alarm is raised: a run of over 10,000 ratings between two false alarms. */
const cusumThreshold = 9
/** No rating counts for more than this. */
const maximumShortfall = 3

/** Watches one version on one kind of request. */
export class RatingDriftDetector {
  #sum = 0

  /**
   * Adds a rating.
   *
   * @param shortfall points below what was expected, in standard deviations
   * @returns whether the alarm is raised; the sum then starts again from zero
   * @example
   * if (watch.observe(surprise.shortfall)) model.forget(version, 0.05)
   */
  observe (shortfall: number): boolean {
    const increment = Math.min(maximumShortfall, shortfall) - cusumAllowance
    this.#sum = Math.max(0, this.#sum + increment)
    if (this.#sum < cusumThreshold) return false
    this.#sum = 0
    return true
  }
}
