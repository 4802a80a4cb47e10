/**
 * What all kinds and versions share about ratings: how many points an answer loses as requests get
 * harder, how noisy a reading is, and how noisy a hint is. Slope and noise are learned as a
 * likelihood over a small fixed grid; the hint's noise from the spread of all hints, since the
 * difficulty itself spreads evenly over 0 to 1.
 */
import { CELL_COUNT, cellDifficulty, ratingLikelihood, scoreAt } from './ratingGrid.ts'

/** Points that a score falls from difficulty 0 to 1. */
const SLOPES = [15, 20, 27, 35, 42, 50, 60, 70, 85, 110, 140]
/** Standard deviations of a reading, points. */
const NOISES = [1.5, 3, 4.5, 6, 8, 10, 13, 17, 22]
/** Of one more record on what was known before. */
const KEPT = 1 - 1 / 3_000
const EVEN_VARIANCE = 1 / 12
const SMALLEST_HINT_NOISE = 0.02
const FIRST_HINT_NOISE = 0.2
const HINTS_BEFORE_LEARNING = 200

/** The learned scale of ratings and hints. */
export class RatingScale {
  readonly #goodRating: number
  readonly #likelihood = new Float64Array(SLOPES.length * NOISES.length)
  #best: number
  #hints = 0
  #hintMean = 0.5
  #hintSquares = 0

  /** @param goodRating the rating from which an answer is good */
  constructor (goodRating: number) {
    this.#goodRating = goodRating
    this.#best = SLOPES.indexOf(50) * NOISES.length + NOISES.indexOf(8)
  }

  /** Points that a score falls from difficulty 0 to 1. */
  get slope (): number {
    return SLOPES[Math.floor(this.#best / NOISES.length)]!
  }

  /** Standard deviation of a reading, points. */
  get ratingNoise (): number {
    return NOISES[this.#best % NOISES.length]!
  }

  /** Standard deviation of a hint, in difficulty. */
  get hintNoise (): number {
    if (this.#hints < HINTS_BEFORE_LEARNING) return FIRST_HINT_NOISE
    const variance = this.#hintSquares / this.#hints - EVEN_VARIANCE
    return Math.sqrt(Math.max(SMALLEST_HINT_NOISE ** 2, variance))
  }

  /** Counts the hint of a request, rated or not. */
  observeHint (hint: number): void {
    this.#hints += 1
    const before = hint - this.#hintMean
    this.#hintMean += before / this.#hints
    this.#hintSquares += before * (hint - this.#hintMean)
  }

  /**
   * Learns from a rating.
   *
   * @param weights what was known of the difficulty before the rating
   * @param limit the version's limit, as far as it is known
   * @returns whether the slope or the noise changed, so that what was derived from them is stale
   */
  observeRating (weights: Float64Array, limit: number, rating: number): boolean {
    let index = 0
    for (const slope of SLOPES) {
      const scores = weights.map((_, cell) => scoreAt(limit - cellDifficulty(cell), this.#goodRating, slope))
      for (const noise of NOISES) {
        let density = 0
        for (let cell = 0; cell < CELL_COUNT; cell++) density += weights[cell]! * ratingLikelihood(rating, scores[cell]!, noise)
        this.#likelihood[index] = this.#likelihood[index]! * KEPT + Math.log(density)
        index += 1
      }
    }
    const before = this.#best
    this.#best = this.#likelihood.indexOf(Math.max(...this.#likelihood))
    return this.#best !== before
  }
}
