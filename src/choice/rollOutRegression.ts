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

/** What is expected of a rating. */
export interface ExpectedRating {
  readonly expected: number
  /** Standard deviation of a rating from what is expected, the expectation's own error included; points. */
  readonly deviation: number
}

const SMALLEST_DEVIATION = 3
/** Weakens the slope while hints are few. */
const RIDGE = 0.5
const UNKNOWN_HINT = 0.5

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
    const known = hint ?? UNKNOWN_HINT
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
    const sums = this.#kinds.get(kind)!
    const hintMean = sums.hint / sums.count
    const ratingMean = sums.rating / sums.count
    const spread = sums.hintSquares - sums.count * hintMean * hintMean
    const covariance = sums.product - sums.count * hintMean * ratingMean
    const slope = covariance / (spread + RIDGE)
    const distance = (hint ?? UNKNOWN_HINT) - hintMean
    const squares = Math.max(0, sums.ratingSquares - sums.count * ratingMean * ratingMean - slope * covariance)
    const variance = squares / Math.max(1, sums.count - 2)
    const error = 1 + 1 / sums.count + distance * distance / (spread + RIDGE)
    return { expected: ratingMean + slope * distance, deviation: Math.max(SMALLEST_DEVIATION, Math.sqrt(variance * error)) }
  }
}
