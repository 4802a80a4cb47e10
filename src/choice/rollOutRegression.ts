/**
 * What the old version's ratings lead to expect: for each kind a straight line over the hint, by
 * sums only, so that a rating of either version can be compared with what the old one would get.
 */

interface Sums {
  count: number
  hint: number
  rating: number
  hintSquares: number
  product: number
  ratingSquares: number
}

/** What is expected of one rating. */
export interface ExpectedRating {
  readonly expected: number
  /** Standard deviation of a rating from what is expected, points. */
  readonly deviation: number
}

/** Ratings of the new version on one kind. */
export interface RatedSums {
  readonly count: number
  readonly hint: number
  readonly rating: number
}

/** How a mean of the new version's ratings compares with what the old version would get. */
export interface MeanShortfall {
  /** In standard deviations of one rating; positive where the new version is worse. */
  readonly shortfall: number
  /** The variance of `shortfall`, the old version's own uncertainty included. */
  readonly variance: number
}

const smallestDeviation = 3
/** Weakens the slope while hints are few. */
const ridge = 0.5
/** Stands for a hint that is not known. */
export const unknownHint = 0.5
const deviationCaution = 6

/** A line for each kind of request. */
export class RollOutRegression {
  readonly #kinds = new Map<string, Sums>()

  /** Ratings learned from, for a kind. */
  ratings (kind: string): number {
    return this.#kinds.get(kind)?.count ?? 0
  }

  /** Learns from a rating of the old version. */
  learn (kind: string, hint: number | undefined, rating: number): void {
    const sums = this.#kinds.get(kind) ?? { count: 0, hint: 0, rating: 0, hintSquares: 0, product: 0, ratingSquares: 0 }
    const known = hint ?? unknownHint
    sums.count += 1
    sums.hint += known
    sums.rating += rating
    sums.hintSquares += known * known
    sums.product += known * rating
    sums.ratingSquares += rating * rating
    this.#kinds.set(kind, sums)
  }

  /** What a rating of a kind with ratings is expected to be. */
  expect (kind: string, hint: number | undefined): ExpectedRating {
    const line = lineOf(this.#kinds.get(kind)!)
    return { expected: line.ratingMean + line.slope * ((hint ?? unknownHint) - line.hintMean), deviation: line.deviation }
  }

  /** Compares a mean of ratings of a kind with ratings. */
  compare (kind: string, rated: RatedSums): MeanShortfall {
    const sums = this.#kinds.get(kind)!
    const line = lineOf(sums)
    const distance = rated.hint / rated.count - line.hintMean
    const expected = line.ratingMean + line.slope * distance
    return {
      shortfall: (expected - rated.rating / rated.count) / line.deviation,
      variance: 1 / rated.count + 1 / sums.count + distance * distance / line.spread
    }
  }
}

function lineOf (sums: Sums) {
  const hintMean = sums.hint / sums.count
  const ratingMean = sums.rating / sums.count
  const spread = sums.hintSquares - sums.count * hintMean * hintMean + ridge
  const covariance = sums.product - sums.count * hintMean * ratingMean
  const slope = covariance / spread
  const squares = Math.max(0, sums.ratingSquares - sums.count * ratingMean * ratingMean - slope * covariance)
  const freedom = Math.max(1, sums.count - 2)
  // Few ratings understate the deviation as often as they overstate it; only the former does harm.
  const variance = squares / freedom * (1 + deviationCaution / freedom)
  return { hintMean, ratingMean, spread, slope, deviation: Math.max(smallestDeviation, Math.sqrt(variance)) }
}
