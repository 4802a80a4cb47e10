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
const decayHorizonRequests = 5_000
const requestDecay = 1 - 1 / decayHorizonRequests
/** Standard deviations by which the share of good answers is to lie above the target. */
const confidenceDeviations = 2
/** A lack or a surplus is spread over this share of the requests counted so far. */
const catchUpShare = 0.4
const minimumCatchUpRequests = 40
/** How far below the target the goal may go while there is a surplus. */
const maximumGoalDecrease = 0.05
/** How far above the target the goal may go: few requests would ask for more than any version gives. */
const maximumGoalIncrease = 0.035

const emptySums: QualitySums = { requests: 0, good: 0, variance: 0 }

/** The account of one organisation's requests of one kind. */
export class QualityLedger {
  #own = emptySums
  #peers = emptySums

  /** This daemon's own sums. */
  get own (): QualitySums {
    return this.#own
  }

  /** Counts a planned request by the chance that its answer will be good. */
  add (chance: number): void {
    this.#own = {
      requests: this.#own.requests * requestDecay + 1,
      good: this.#own.good * requestDecay + chance,
      variance: this.#own.variance * requestDecay + chance * (1 - chance)
    }
  }

  /** Replaces what other daemons have counted. */
  setPeerSums (sums: readonly QualitySums[]): void {
    this.#peers = sums.reduce((left, right) => ({
      requests: left.requests + right.requests,
      good: left.good + right.good,
      variance: left.variance + right.variance
    }), emptySums)
  }

  /**
   * The share of good answers to aim for now.
   *
   * @param target the share that the organisation asks for
   */
  goal (target: number): number {
    const requests = this.#own.requests + this.#peers.requests
    const surplus = this.#own.good + this.#peers.good - target * requests
    const margin = confidenceDeviations * Math.sqrt(this.#own.variance + this.#peers.variance + target * (1 - target))
    const catchUp = Math.max(minimumCatchUpRequests, requests * catchUpShare)
    const raise = (margin - surplus) / catchUp
    return target + Math.min(maximumGoalIncrease, Math.max(-maximumGoalDecrease, raise))
  }
}
