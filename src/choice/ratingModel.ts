/**
 * What is believed of each version for one kind of request. The belief about a version is a
 * likelihood over its limit, the difficulty up to which its answers are good. Likelihoods of
 * independent ratings add up, so those of other daemons are added to one's own; older ratings fade,
 * so that a version whose quality moves is followed. A rating that came after others of the same
 * request is weighed by what those had already told of its difficulty: otherwise a stronger version
 * would look weak for being given only what the cheaper one failed at.
 */
import type { VersionName } from '../contract/index.ts'
import { CELL_COUNT, LIMIT_COUNT, limitAt, normalise, OFFSET_COUNT, offsetAt, offsetIndex, ratingLikelihood, scoreAt, shareBelow, weightsOfHint, cellDifficulty } from './ratingGrid.ts'
import type { RatingScale } from './ratingScale.ts'

/** A rating of an earlier step of the same request. */
export interface EarlierRating {
  readonly version: VersionName
  readonly rating: number
}

/** What another daemon knows of a version's limit: a normal approximation of its likelihood. */
export interface LimitNews {
  readonly count: number
  readonly mean: number
  readonly variance: number
}

/** What a rating said beyond what was expected. */
export interface RatingSurprise {
  /** Points below what was expected, in standard deviations of the expectation; negative if better. */
  readonly shortfall: number
  /** Whether the shared slope or noise changed. */
  readonly scaleChanged: boolean
}

/** Ratings that count fully before older ones fade. */
const MEMORY_RATINGS = 800
const KEPT = 1 - 1 / MEMORY_RATINGS
const PRIOR_LIMIT = 0.7
const PRIOR_SPREAD = 0.35
/** The dearest version is taken to be fit for its work until ratings say otherwise. */
const STRONGEST_PRIOR_LIMIT = 0.96
const STRONGEST_PRIOR_SPREAD = 0.06
/** Standard deviations below the mean at which a version's limit is relied on. */
const CAUTION = 0.6
/** Ratings from which a version's limit may inform the shared scale. */
const SETTLED_RATINGS = 30

/** Ratings from which other daemons are told of a version. */
const TOLD_RATINGS = 3

class LimitBelief {
  readonly own = new Float64Array(LIMIT_COUNT)
  count = 0
  mean: number
  spread: number
  others: readonly LimitNews[] = []
  readonly #prior: { readonly limit: number, readonly spread: number }

  constructor (prior: { readonly limit: number, readonly spread: number }) {
    this.#prior = prior
    this.mean = prior.limit
    this.spread = prior.spread
  }

  get cautiousLimit (): number {
    return this.mean - CAUTION * this.spread
  }

  get totalCount (): number {
    return this.others.reduce((sum, news) => sum + news.count, this.count)
  }

  refresh (): void {
    const sources = [{ mean: this.#prior.limit, variance: this.#prior.spread ** 2 }, ...this.others]
    const moments = momentsOf(this.own.map((own, index) => own + sources.reduce((sum, source) => sum - (limitAt(index) - source.mean) ** 2 / (2 * source.variance), 0)))
    this.mean = moments.mean
    this.spread = Math.sqrt(moments.variance)
  }
}

/** The beliefs about all versions for one kind of request. */
export class RatingModel {
  readonly #beliefs = new Map<VersionName, LimitBelief>()
  readonly #scale: RatingScale
  readonly #goodRating: number

  constructor (scale: RatingScale, goodRating: number) {
    this.#scale = scale
    this.#goodRating = goodRating
  }

  /** Makes a version known; `strongest` is the dearest that is allowed. */
  admit (version: VersionName, strongest: boolean): void {
    if (this.#beliefs.has(version)) return
    const prior = strongest
      ? { limit: STRONGEST_PRIOR_LIMIT, spread: STRONGEST_PRIOR_SPREAD }
      : { limit: PRIOR_LIMIT, spread: PRIOR_SPREAD }
    this.#beliefs.set(version, new LimitBelief(prior))
  }

  /** The versions that are known. */
  versions (): readonly VersionName[] {
    return [...this.#beliefs.keys()]
  }

  /** Ratings that the belief about a version rests on, other daemons' included. */
  ratings (version: VersionName): number {
    return this.#beliefs.get(version)?.totalCount ?? 0
  }

  /** The believed limit of a version, cautious by its uncertainty. */
  cautiousLimit (version: VersionName): number {
    return this.#beliefs.get(version)?.cautiousLimit ?? PRIOR_LIMIT - PRIOR_SPREAD
  }

  /** The believed limit of a version. */
  limit (version: VersionName): number {
    return this.#beliefs.get(version)?.mean ?? PRIOR_LIMIT
  }

  /** What is known of a request's difficulty after its hint and earlier ratings. */
  weights (hint: number | undefined, earlier: readonly EarlierRating[]): Float64Array {
    const weights = weightsOfHint(hint, this.#scale.hintNoise)
    for (const { version, rating } of earlier) {
      const limit = this.limit(version)
      for (let cell = 0; cell < CELL_COUNT; cell++) {
        const score = scoreAt(limit - cellDifficulty(cell), this.#goodRating, this.#scale.slope)
        weights[cell]! *= ratingLikelihood(rating, score, this.#scale.ratingNoise)
      }
    }
    normalise(weights)
    return weights
  }

  /** Learns from a rating of this daemon. */
  observe (version: VersionName, hint: number | undefined, earlier: readonly EarlierRating[], rating: number): RatingSurprise {
    this.admit(version, false)
    const belief = this.#beliefs.get(version)!
    const weights = this.weights(hint, earlier)
    const shortfall = this.#shortfall(weights, belief.mean, rating)
    const scaleChanged = belief.totalCount >= SETTLED_RATINGS && this.#scale.observeRating(weights, belief.mean, rating)
    this.#learn(belief, weights, rating)
    return { shortfall, scaleChanged }
  }

  #learn (belief: LimitBelief, weights: Float64Array, rating: number): void {
    const curve = this.#likelihoodCurve(rating)
    for (let index = 0; index < LIMIT_COUNT; index++) {
      let density = 0
      for (let cell = 0; cell < CELL_COUNT; cell++) density += weights[cell]! * curve[offsetIndex(index, cell)]!
      belief.own[index] = belief.own[index]! * KEPT + Math.log(density)
    }
    belief.count = belief.count * KEPT + 1
    belief.refresh()
  }

  #likelihoodCurve (rating: number): Float64Array {
    const curve = new Float64Array(OFFSET_COUNT)
    for (let index = 0; index < OFFSET_COUNT; index++) {
      const score = scoreAt(offsetAt(index), this.#goodRating, this.#scale.slope)
      curve[index] = ratingLikelihood(rating, score, this.#scale.ratingNoise)
    }
    return curve
  }

  #shortfall (weights: Float64Array, limit: number, rating: number): number {
    let mean = 0
    let squares = 0
    for (let cell = 0; cell < CELL_COUNT; cell++) {
      const score = scoreAt(limit - cellDifficulty(cell), this.#goodRating, this.#scale.slope)
      mean += weights[cell]! * score
      squares += weights[cell]! * score * score
    }
    const spread = Math.sqrt(Math.max(0, squares - mean * mean) + this.#scale.ratingNoise ** 2)
    return (mean - rating) / spread
  }

  /** Keeps only a part of what was learned of a version, because its quality has moved. */
  forget (version: VersionName, keptShare: number): void {
    const belief = this.#beliefs.get(version)
    if (!belief) return
    for (let index = 0; index < LIMIT_COUNT; index++) belief.own[index]! *= keptShare
    belief.count *= keptShare
    belief.others = []
    belief.refresh()
  }

  /** What this daemon's own ratings say, for other daemons; versions with too few are left out. */
  news (): Map<VersionName, LimitNews> {
    const settled = [...this.#beliefs].filter(([, belief]) => belief.count >= TOLD_RATINGS)
    return new Map(settled.map(([version, belief]) => [version, { count: belief.count, ...momentsOf(belief.own) }]))
  }

  /** Replaces what is known from other daemons' ratings of a version. */
  setNews (version: VersionName, news: readonly LimitNews[]): void {
    this.admit(version, false)
    const belief = this.#beliefs.get(version)!
    belief.others = news
    belief.refresh()
  }

  /** The chance that an answer of a version is good, by cell of difficulty. */
  goodByCell (version: VersionName): Float64Array {
    const limit = this.cautiousLimit(version)
    return Float64Array.from({ length: CELL_COUNT }, (_, cell) => shareBelow(limit, cell))
  }
}

function momentsOf (logarithms: Float64Array): { mean: number, variance: number } {
  const highest = Math.max(...logarithms)
  let total = 0
  let sum = 0
  let squares = 0
  for (let index = 0; index < LIMIT_COUNT; index++) {
    const weight = Math.exp(logarithms[index]! - highest)
    const limit = limitAt(index)
    total += weight
    sum += weight * limit
    squares += weight * limit * limit
  }
  const mean = sum / total
  return { mean, variance: Math.max(SMALLEST_VARIANCE, squares / total - mean * mean) }
}

/** A quarter of a grid step, squared. */
const SMALLEST_VARIANCE = 0.005 ** 2
