/**
 * Quality ledger per organisation and kind of request. An answer is good if its rating reaches the
 * version policy's good rating. Whether it was is never known for certain, so the ledger sums the
 * probability that the policy expects for each planned request, and the variance of that outcome.
 *
 * The target is the share of good answers that the organisation requires. The goal is the share that
 * the plans for its next requests aim at: it is set so that the expected number of good answers, minus
 * a confidence margin, meets the target. The margin is a number of answers that grows with the square
 * root of the requests, so its share of the requests shrinks. A surplus from easier requests lowers the
 * goal. Requests for which even the expensive model versions are unlikely to give a good answer may
 * then be planned on cheaper versions.
 */

/** Sums over requests, in which older requests have less weight. */
export interface QualitySums {
  /** Number of requests, with older ones decayed. */
  readonly requests: number
  /** Expected number of good answers, decayed likewise. */
  readonly good: number
  /**
   * Variance of the number of good answers. It decays by the same factor as the other sums, not by its
   * square, which overestimates the variance of decayed requests and so widens the margin.
   */
  readonly variance: number
}

/** Time constant of the decay, in requests that this daemon planned for the organisation and kind. */
const decayHorizonRequests = 5_000
const requestDecay = 1 - 1 / decayHorizonRequests
/** Confidence margin, in standard deviations of the number of good answers. */
const confidenceDeviations = 2
/** The goal is set to correct a deficit or surplus within as many next requests as this share of the requests counted so far. */
const correctionShare = 0.4
/** Lower bound of that number of requests. */
const minimumCorrectionRequests = 40
/** Largest distance of the goal below the target during a surplus. */
const maximumGoalDecrease = 0.05
/** Largest distance of the goal above the target: with few requests, the margin would otherwise raise the goal above what any version reaches. */
const maximumGoalIncrease = 0.035

const emptySums: QualitySums = { requests: 0, good: 0, variance: 0 }

/** Quality of one organisation's requests of one kind. */
export class QualityLedger {
  #ownSums = emptySums
  #peerSums = emptySums

  /** This daemon's own sums. */
  get own (): QualitySums {
    return this.#ownSums
  }

  /**
   * Counts a planned request.
   *
   * @param goodProbability probability that its answer will be good, 0 to 1; the policy passes the target
   * for a request that explores a version, whose quality it can't yet estimate
   */
  add (goodProbability: number): void {
    this.#ownSums = {
      requests: this.#ownSums.requests * requestDecay + 1,
      good: this.#ownSums.good * requestDecay + goodProbability,
      variance: this.#ownSums.variance * requestDecay + goodProbability * (1 - goodProbability)
    }
  }

  /** Replaces the sums of the peers. Each peer has already decayed its own by the requests that it planned. */
  setPeerSums (sums: readonly QualitySums[]): void {
    this.#peerSums = sums.reduce((left, right) => ({
      requests: left.requests + right.requests,
      good: left.good + right.good,
      variance: left.variance + right.variance
    }), emptySums)
  }

  /**
   * Share of good answers that the next requests should reach. It is above the target if the surplus is
   * smaller than the margin, and below it if the surplus is larger.
   *
   * @param target the share that the organisation requires, 0 to 1
   */
  goal (target: number): number {
    const requests = this.#ownSums.requests + this.#peerSums.requests
    const surplus = this.#ownSums.good + this.#peerSums.good - target * requests
    // The variance of one request at the target keeps the margin above 0 before the first request.
    const margin = confidenceDeviations * Math.sqrt(this.#ownSums.variance + this.#peerSums.variance + target * (1 - target))
    const correctionRequests = Math.max(minimumCorrectionRequests, requests * correctionShare)
    const goalChange = (margin - surplus) / correctionRequests
    return target + Math.min(maximumGoalIncrease, Math.max(-maximumGoalDecrease, goalChange))
  }
}
