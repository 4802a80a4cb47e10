/**
 * What the old version's ratings lead to expect: for each kind a straight line over the hint, by
 * sums only, so that a rating of either version can be compared with what the old one would get.
 */

interface RegressionSums {
  count: number
  hintSum: number
  ratingSum: number
  hintSquareSum: number
  productSum: number
  ratingSquareSum: number
}

/** What is expected of one rating. */
export interface PredictedRating {
  readonly expected: number
  /** Standard deviation of a rating from what is expected, points. */
  readonly deviation: number
}

/** Ratings of the new version on one kind. */
export interface RatingSums {
  readonly count: number
  readonly hintSum: number
  readonly ratingSum: number
}

/** How a mean of the new version's ratings compares with what the old version would get. */
export interface MeanShortfall {
  /** In standard deviations of one rating; positive where the new version is worse. */
  readonly shortfall: number
  /** The variance of `shortfall`, the old version's own uncertainty included. */
  readonly variance: number
}

const minimumDeviation = 3
/** Weakens the slope while hints are few. */
const ridge = 0.5
/** Stands for a hint that is not known. */
export const defaultHint = 0.5
const deviationInflation = 6

/** A line for each kind of request. */
export class RollOutRegression {
  readonly #kinds = new Map<string, RegressionSums>()

  /** Ratings learned from, for a kind. */
  ratingCount (kind: string): number {
    return this.#kinds.get(kind)?.count ?? 0
  }

  /** Learns from a rating of the old version. */
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

  /** What a rating of a kind with ratings is expected to be. */
  predict (kind: string, hint: number | undefined): PredictedRating {
    const line = fitLine(this.#kinds.get(kind)!)
    return { expected: line.ratingMean + line.slope * ((hint ?? defaultHint) - line.hintMean), deviation: line.deviation }
  }

  /** Compares a mean of ratings of a kind with ratings. */
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
  // Few ratings understate the deviation as often as they overstate it; only the former does harm.
  const variance = squares / degreesOfFreedom * (1 + deviationInflation / degreesOfFreedom)
  return { hintMean, ratingMean, spread, slope, deviation: Math.max(minimumDeviation, Math.sqrt(variance)) }
}
