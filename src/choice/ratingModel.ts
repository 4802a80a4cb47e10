/**
 * What is believed of each version for one kind of request. The belief about a version is a
 * likelihood over its limit, the difficulty up to which its answers are good. Likelihoods of
 * independent ratings add up, so those of other daemons are added to one's own; older ratings fade,
 * so that a version whose quality moves is followed. A rating that came after others of the same
 * request is weighed by what those had already told of its difficulty: otherwise a stronger version
 * would look weak for being given only what the cheaper one failed at.
 */
import type { VersionName } from '../contract/index.ts'
import { addLikelihood, type EarlierRating, keptShare, LimitBelief, type LimitNews, likelihoodNews, memoryRatings, profileOf, scaleBy } from './ratingBelief.ts'
import { cellCount, cellDifficulty, normalise, offsetCount, offsetAt, ratingLikelihood, scoreAt, shareBelow, weightsOfHint } from './ratingGrid.ts'
import { type RatingScale, scalePoints, type ScalePoint } from './ratingScale.ts'

const priorLimit = 0.7
const priorSpread = 0.35
/** The dearest version is taken to be fit for its work until ratings say otherwise. */
const strongestPriorLimit = 0.96
const strongestPriorSpread = 0.06
/** Ratings from which other daemons are told of a version. */
const toldRatings = 3
/** New ratings, at least and as a share of the earlier ones, from which the scale is told again. */
const fewestNewRatings = 4
const newRatingsShare = 0.1
/** Of a belief's ratings the first ones and then every so many teach the scale, which moves slowly. */
const scaleRatings = 60
const scaleEvery = 6

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
      ? { limit: strongestPriorLimit, spread: strongestPriorSpread }
      : { limit: priorLimit, spread: priorSpread }
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
    return this.#beliefs.get(version)?.cautiousLimit ?? priorLimit - priorSpread
  }

  /** The believed limit of a version. */
  limit (version: VersionName): number {
    return this.#beliefs.get(version)?.mean ?? priorLimit
  }

  /** What is known of a request's difficulty after its hint and earlier ratings. */
  weights (hint: number | undefined, earlier: readonly EarlierRating[]): Float64Array {
    const weights = weightsOfHint(hint, this.#scale.hintNoise)
    for (const { version, rating } of earlier) {
      const limit = this.limit(version)
      for (let cell = 0; cell < cellCount; cell++) {
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
    if (belief.records.length > memoryRatings) belief.records.shift()
    belief.refresh()
    return shortfall
  }

  /** Tells the shared scale what the beliefs of this kind say of it. */
  informScale (kind: string): void {
    for (const [version, belief] of this.#beliefs) {
      const due = Math.max(fewestNewRatings, belief.profiledAt * newRatingsShare)
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
    belief.count = belief.count * keptShare + 1
    belief.seen += 1
    if (belief.seen <= scaleRatings || belief.seen % scaleEvery === 0) this.#learnScale(belief, weights, rating)
  }

  #learnScale (belief: LimitBelief, weights: Float64Array, rating: number): void {
    const curve = new Float64Array(offsetCount)
    for (const [index, point] of scalePoints.entries()) {
      this.#fillCurve(curve, point, rating)
      addLikelihood(belief.atPoints[index]!, weights, curve)
    }
  }

  #learnLimit (belief: LimitBelief, weights: Float64Array, rating: number): void {
    const curve = new Float64Array(offsetCount)
    this.#fillCurve(curve, this.#scale.point, rating)
    addLikelihood(belief.own, weights, curve)
  }

  #fillCurve (curve: Float64Array, { slope, noise }: ScalePoint, rating: number): void {
    for (let index = 0; index < offsetCount; index++) {
      curve[index] = ratingLikelihood(rating, scoreAt(offsetAt(index), this.#goodRating, slope), noise)
    }
  }

  #shortfall (weights: Float64Array, limit: number, rating: number): number {
    let mean = 0
    let squares = 0
    for (let cell = 0; cell < cellCount; cell++) {
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
    const settled = [...this.#beliefs].filter(([, belief]) => belief.count >= toldRatings)
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
    return Float64Array.from({ length: cellCount }, (_, cell) => shareBelow(limit, cell))
  }
}
