/**
 * The account of quality of each organisation and kind of request. Whether an answer was good is
 * never known for certain, so what is added up is the chance that it was, and the variance that
 * remains. The goal for the next requests is set so that the share of good answers, less a margin
 * of confidence that shrinks as requests add up, meets the target: requests that can't be answered
 * well may be let go where easier ones have earned it.
 */

/** Sums over requests; older requests fade. */
export interface QualitySums {
  readonly requests: number
  /** Expected good answers. */
  readonly good: number
  /** The variance of the count of good answers. */
  readonly variance: number
}

/** Requests that count fully before older ones fade. */
const MEMORY_REQUESTS = 5_000
const KEPT = 1 - 1 / MEMORY_REQUESTS
/** Standard deviations by which the share of good answers is to lie above the target. */
const CONFIDENCE = 2
/** A lack or a surplus is spread over this share of the requests counted so far. */
const CATCH_UP_SHARE = 0.4
const SHORTEST_CATCH_UP_REQUESTS = 40
/** How far below the target the goal may go while there is a surplus. */
const LARGEST_EASING = 0.05
/** How far above the target the goal may go: few requests would ask for more than any version gives. */
const LARGEST_RAISE = 0.035

const EMPTY: QualitySums = { requests: 0, good: 0, variance: 0 }

/** The account of one organisation's requests of one kind. */
export class QualityLedger {
  #own = EMPTY
  #others = EMPTY

  /** This daemon's own sums. */
  get own (): QualitySums {
    return this.#own
  }

  /** Counts a planned request by the chance that its answer will be good. */
  add (chance: number): void {
    this.#own = {
      requests: this.#own.requests * KEPT + 1,
      good: this.#own.good * KEPT + chance,
      variance: this.#own.variance * KEPT + chance * (1 - chance)
    }
  }

  /** Replaces what other daemons have counted. */
  setOthers (sums: readonly QualitySums[]): void {
    this.#others = sums.reduce((left, right) => ({
      requests: left.requests + right.requests,
      good: left.good + right.good,
      variance: left.variance + right.variance
    }), EMPTY)
  }

  /**
   * The share of good answers to aim for now.
   *
   * @param target the share that the organisation asks for
   */
  goal (target: number): number {
    const requests = this.#own.requests + this.#others.requests
    const surplus = this.#own.good + this.#others.good - target * requests
    const margin = CONFIDENCE * Math.sqrt(this.#own.variance + this.#others.variance + target * (1 - target))
    const catchUp = Math.max(SHORTEST_CATCH_UP_REQUESTS, requests * CATCH_UP_SHARE)
    const raise = (margin - surplus) / catchUp
    return target + Math.min(LARGEST_RAISE, Math.max(-LARGEST_EASING, raise))
  }
}
