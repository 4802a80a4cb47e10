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
import { type RatingScale, SCALE_POINTS, type ScalePoint } from './ratingScale.ts'

/** A rating of an earlier step of the same request. */
export interface EarlierRating {
  readonly version: VersionName
  readonly rating: number
}

/** What another daemon's ratings say of a version's limit. */
export interface LimitNews {
  readonly count: number
  /** The logarithm of the likelihood at each limit of the grid, its highest being 0. */
  readonly likelihood: Float32Array
}

interface RatingRecord {
  readonly hint: number | undefined
  readonly earlier: readonly EarlierRating[]
  readonly rating: number
}

/** Ratings that count fully before older ones fade. */
const MEMORY_RATINGS = 600
const KEPT = 1 - 1 / MEMORY_RATINGS
const PRIOR_LIMIT = 0.7
const PRIOR_SPREAD = 0.35
/** The dearest version is taken to be fit for its work until ratings say otherwise. */
const STRONGEST_PRIOR_LIMIT = 0.96
const STRONGEST_PRIOR_SPREAD = 0.06
/** Standard deviations below the mean at which a version's limit is relied on. */
const CAUTION = 0.6

/** Ratings from which other daemons are told of a version. */
const TOLD_RATINGS = 3

class LimitBelief {
  /** The logarithm of own ratings' likelihood by limit, at the present scale. */
  readonly own = new Float64Array(LIMIT_COUNT)
  /** The same at each point of the scale's grid. */
  readonly atPoints = SCALE_POINTS.map(() => new Float64Array(LIMIT_COUNT))
  /** Own ratings, older ones faded. */
  count = 0
  /** Own ratings ever. */
  seen = 0
  /** `seen` when the scale was last told. */
  profiledAt = 0
  mean: number
  spread: number
  /** The newest records, to learn from again when the shared scale changes. */
  readonly records: RatingRecord[] = []
  readonly #others = new Float64Array(LIMIT_COUNT)
  #othersCount = 0
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
    return this.count + this.#othersCount
  }

  refresh (): void {
    const total = new Float64Array(LIMIT_COUNT)
    for (let index = 0; index < LIMIT_COUNT; index++) {
      const distance = (limitAt(index) - this.#prior.limit) / this.#prior.spread
      total[index] = this.own[index]! + this.#others[index]! - distance * distance / 2
    }
    const moments = momentsOf(total)
    this.mean = moments.mean
    this.spread = Math.sqrt(moments.variance)
  }

  setOthers (news: readonly LimitNews[]): void {
    this.#others.fill(0)
    this.#othersCount = 0
    for (const { count, likelihood } of news) {
      this.#othersCount += count
      for (let index = 0; index < LIMIT_COUNT; index++) this.#others[index]! += likelihood[index] ?? 0
    }
    this.refresh()
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
        const score = scoreAt(limit - cellDifficulty(cell), this.#goodRating, this.#scale.point.slope)
        weights[cell]! *= ratingLikelihood(rating, score, this.#scale.point.noise)
      }
    }
    normalise(weights)
    return weights
  }

  /**
   * Learns from a rating of this daemon.
   *
   * @returns points below what was expected, in standard deviations; negative if better
   */
  observe (version: VersionName, hint: number | undefined, earlier: readonly EarlierRating[], rating: number): number {
    this.admit(version, false)
    const belief = this.#beliefs.get(version)!
    const weights = this.weights(hint, earlier)
    const shortfall = this.#shortfall(weights, belief.mean, rating)
    this.#learn(belief, weights, rating)
    belief.records.push({ hint, earlier, rating })
    if (belief.records.length > MEMORY_RATINGS) belief.records.shift()
    belief.refresh()
    return shortfall
  }

  /** Tells the shared scale what the beliefs of this kind say of it. */
  informScale (kind: string): void {
    for (const [version, belief] of this.#beliefs) {
      const due = Math.max(FEWEST_NEW_RATINGS, belief.profiledAt * NEW_RATINGS_SHARE)
      if (belief.seen - belief.profiledAt < due) continue
      belief.profiledAt = belief.seen
      this.#scale.setProfile(`${kind}\n${version}`, profileOf(belief))
    }
  }

  /** Learns again from the kept records, because the shared scale has changed. */
  relearn (): void {
    for (const belief of this.#beliefs.values()) {
      belief.own.fill(0)
      for (const { hint, earlier, rating } of belief.records) this.#learnLimit(belief, this.weights(hint, earlier), rating)
      belief.refresh()
    }
  }

  #learn (belief: LimitBelief, weights: Float64Array, rating: number): void {
    this.#learnLimit(belief, weights, rating)
    belief.count = belief.count * KEPT + 1
    belief.seen += 1
    if (belief.seen <= SCALE_RATINGS || belief.seen % SCALE_EVERY === 0) this.#learnScale(belief, weights, rating)
  }

  #learnScale (belief: LimitBelief, weights: Float64Array, rating: number): void {
    const curve = new Float64Array(OFFSET_COUNT)
    for (const [index, point] of SCALE_POINTS.entries()) {
      this.#fillCurve(curve, point, rating)
      addLikelihood(belief.atPoints[index]!, weights, curve)
    }
  }

  #learnLimit (belief: LimitBelief, weights: Float64Array, rating: number): void {
    const curve = new Float64Array(OFFSET_COUNT)
    this.#fillCurve(curve, this.#scale.point, rating)
    addLikelihood(belief.own, weights, curve)
  }

  #fillCurve (curve: Float64Array, { slope, noise }: ScalePoint, rating: number): void {
    for (let index = 0; index < OFFSET_COUNT; index++) {
      curve[index] = ratingLikelihood(rating, scoreAt(offsetAt(index), this.#goodRating, slope), noise)
    }
  }

  #shortfall (weights: Float64Array, limit: number, rating: number): number {
    let mean = 0
    let squares = 0
    for (let cell = 0; cell < CELL_COUNT; cell++) {
      const score = scoreAt(limit - cellDifficulty(cell), this.#goodRating, this.#scale.point.slope)
      mean += weights[cell]! * score
      squares += weights[cell]! * score * score
    }
    const spread = Math.sqrt(Math.max(0, squares - mean * mean) + this.#scale.point.noise ** 2)
    return (mean - rating) / spread
  }

  /** Keeps only a part of what was learned of a version, because its quality has moved. */
  forget (version: VersionName, keptShare: number): void {
    const belief = this.#beliefs.get(version)
    if (!belief) return
    belief.records.splice(0, Math.round(belief.records.length * (1 - keptShare)))
    for (const logarithms of [belief.own, ...belief.atPoints]) scaleBy(logarithms, keptShare)
    belief.count *= keptShare
    belief.setOthers([])
  }

  /** What this daemon's own ratings say, for other daemons; versions with too few are left out. */
  news (): Map<VersionName, LimitNews> {
    const settled = [...this.#beliefs].filter(([, belief]) => belief.count >= TOLD_RATINGS)
    return new Map(settled.map(([version, belief]) => [version, { count: belief.count, likelihood: likelihoodNews(belief.own) }]))
  }

  /** Replaces what is known from other daemons' ratings of a version. */
  setNews (version: VersionName, news: readonly LimitNews[]): void {
    this.admit(version, false)
    this.#beliefs.get(version)!.setOthers(news)
  }

  /** The chance that an answer of a version is good, by cell of difficulty. */
  goodByCell (version: VersionName): Float64Array {
    const limit = this.cautiousLimit(version)
    return Float64Array.from({ length: CELL_COUNT }, (_, cell) => shareBelow(limit, cell))
  }
}

function scaleBy (logarithms: Float64Array, factor: number): void {
  for (let index = 0; index < logarithms.length; index++) logarithms[index]! *= factor
}

/** Fades what was known at each limit and adds one rating. */
function addLikelihood (logarithms: Float64Array, weights: Float64Array, curve: Float64Array): void {
  const density = new Float64Array(LIMIT_COUNT)
  for (let cell = 0; cell < CELL_COUNT; cell++) {
    const weight = weights[cell]!
    if (weight < SMALLEST_WEIGHT) continue
    const first = offsetIndex(0, cell)
    for (let index = 0; index < LIMIT_COUNT; index++) density[index]! += weight * curve[first + index]!
  }
  for (let index = 0; index < LIMIT_COUNT; index++) logarithms[index] = logarithms[index]! * KEPT + Math.log(density[index]!)
}

/** New ratings, at least and as a share of the earlier ones, from which the scale is told again. */
const FEWEST_NEW_RATINGS = 4
const NEW_RATINGS_SHARE = 0.1
/** Of a belief's ratings the first ones and then every so many teach the scale, which moves slowly. */
const SCALE_RATINGS = 80
const SCALE_EVERY = 4
/** Cells with less weight don't change what a rating says. */
const SMALLEST_WEIGHT = 1e-4

/** The likelihood of own ratings at each scale point, with the limit summed out. */
function profileOf (belief: LimitBelief): Float64Array {
  return Float64Array.from(SCALE_POINTS, (_, point) => {
    const logarithms = belief.atPoints[point]!
    const highest = Math.max(...logarithms)
    const sum = logarithms.reduce((total, logarithm) => total + Math.exp(logarithm - highest), 0)
    return highest + Math.log(sum)
  })
}

function likelihoodNews (logarithms: Float64Array): Float32Array {
  const highest = Math.max(...logarithms)
  return Float32Array.from(logarithms, logarithm => logarithm - highest)
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
