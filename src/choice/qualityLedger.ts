/**
 * Quality ledger per organisation and kind of request. Whether an answer was good is never known for
 * certain, so the ledger sums the probability that it was and the remaining variance. The goal for the
 * next requests is set so that the share of good answers, minus a confidence margin that shrinks with
 * the number of requests, meets the target. A surplus from easier requests lowers the goal, so that
 * requests which can't be answered well need not be attempted on expensive versions.
 */

/** Sums over requests; older requests decay. */
export interface QualitySums {
  readonly requests: number
  /** Expected number of good answers. */
  readonly good: number
  /** Variance of the number of good answers. */
  readonly variance: number
}

/** Time constant of the decay, in requests. */
const decayHorizonRequests = 5_000
const requestDecay = 1 - 1 / decayHorizonRequests
/** Confidence margin above the target, in standard deviations. */
const confidenceDeviations = 2
/** A deficit or surplus is spread over this share of the requests counted so far. */
const catchUpShare = 0.4
const minimumCatchUpRequests = 40
/** Largest distance of the goal below the target during a surplus. */
const maximumGoalDecrease = 0.05
/** Largest distance of the goal above the target: with few requests the margin would exceed what any version reaches. */
const maximumGoalIncrease = 0.035

const emptySums: QualitySums = { requests: 0, good: 0, variance: 0 }

/** Quality of one organisation's requests of one kind. */
export class QualityLedger {
  #own = emptySums
  #peers = emptySums

  /** This daemon's own sums. */
  get own (): QualitySums {
    return this.#own
  }

  /** Counts a planned request by the probability that its answer will be good. */
  add (chance: number): void {
    this.#own = {
      requests: this.#own.requests * requestDecay + 1,
      good: this.#own.good * requestDecay + chance,
      variance: this.#own.variance * requestDecay + chance * (1 - chance)
    }
  }

  /** Replaces the sums of the peers. */
  setPeerSums (sums: readonly QualitySums[]): void {
    this.#peers = sums.reduce((left, right) => ({
      requests: left.requests + right.requests,
      good: left.good + right.good,
      variance: left.variance + right.variance
    }), emptySums)
  }

  /**
   * Share of good answers that the next requests should reach.
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
