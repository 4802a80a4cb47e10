/**
 * Predicts ratings from the old version's: a linear regression on the hint for each kind, kept as
 * running sums, so that ratings of both versions can be compared with the old version's prediction.
 */

interface RegressionSums {
  count: number
  hintSum: number
  ratingSum: number
  hintSquareSum: number
  productSum: number
  ratingSquareSum: number
}

/** Prediction of one rating. */
export interface PredictedRating {
  readonly expected: number
  /** Standard deviation of a rating from the prediction, in points. */
  readonly deviation: number
}

/** Sums over ratings of the new version on one kind. */
export interface RatingSums {
  readonly count: number
  readonly hintSum: number
  readonly ratingSum: number
}

/** Difference between the old version's predicted mean and the new version's mean rating. */
export interface MeanShortfall {
  /** In standard deviations of one rating; positive where the new version is worse. */
  readonly shortfall: number
  /** Variance of `shortfall`, including the uncertainty of the old version's prediction. */
  readonly variance: number
}

const minimumDeviation = 3
/** Ridge penalty: shrinks the slope while there are few hints. */
const ridge = 0.5
/** Substitute for a missing hint. */
export const defaultHint = 0.5
const deviationInflation = 6

/** One regression line per kind of request. */
export class RollOutRegression {
  readonly #kinds = new Map<string, RegressionSums>()

  /** Number of the old version's ratings of a kind. */
  ratingCount (kind: string): number {
    return this.#kinds.get(kind)?.count ?? 0
  }

  /** Adds a rating of the old version. */
  learn (kind: string, hint: number | undefined, rating: number): void {
    const sums = this.#kinds.get(kind) ?? { count: 0, hintSum: 0, ratingSum: 0, hintSquareSum: 0, productSum: 0, ratingSquareSum: 0 }
    const known = hint ?? defaultHint
    sums.count += 1
    sums.hintSum += known
    sums.ratingSum += rating
    sums.hintSquareSum += known * known
    sums.productSum += known * rating
    sums.ratingSquareSum += rating * rating
    this.#kinds.set(kind, sums)
  }

  /** Predicts a rating; the kind must have at least one rating. */
  predict (kind: string, hint: number | undefined): PredictedRating {
    const line = fitLine(this.#kinds.get(kind)!)
    return { expected: line.ratingMean + line.slope * ((hint ?? defaultHint) - line.hintMean), deviation: line.deviation }
  }

  /** Compares the mean of new ratings with the prediction; the kind must have at least one rating of the old version. */
  shortfallOf (kind: string, rated: RatingSums): MeanShortfall {
    const sums = this.#kinds.get(kind)!
    const line = fitLine(sums)
    const distance = rated.hintSum / rated.count - line.hintMean
    const expected = line.ratingMean + line.slope * distance
    return {
      shortfall: (expected - rated.ratingSum / rated.count) / line.deviation,
      variance: 1 / rated.count + 1 / sums.count + distance * distance / line.spread
    }
  }
}

function fitLine (sums: RegressionSums) {
  const hintMean = sums.hintSum / sums.count
  const ratingMean = sums.ratingSum / sums.count
  const spread = sums.hintSquareSum - sums.count * hintMean * hintMean + ridge
  const covariance = sums.productSum - sums.count * hintMean * ratingMean
  const slope = covariance / spread
  const squares = Math.max(0, sums.ratingSquareSum - sums.count * ratingMean * ratingMean - slope * covariance)
  const degreesOfFreedom = Math.max(1, sums.count - 2)
  // With few ratings, the deviation is underestimated as often as overestimated; only the former does harm.
  const variance = squares / degreesOfFreedom * (1 + deviationInflation / degreesOfFreedom)
  return { hintMean, ratingMean, spread, slope, deviation: Math.max(minimumDeviation, Math.sqrt(variance)) }
}
