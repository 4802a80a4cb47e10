/**
 * What is believed of each version for one kind of request. The belief about a version is a
 * likelihood over its limit, the difficulty up to which its answers are good. Likelihoods of
 * independent ratings add up, so those of other daemons are added to one's own; older ratings fade,
 * so that a version whose quality moves is followed. A rating that came after others of the same
 * request is weighed by what those had already told of its difficulty: otherwise a stronger version
 * would look weak for being given only what the cheaper one failed at.
 */
import type { VersionName } from '../contract/index.ts'
import { addLikelihood, type EarlierRating, ratingDecay, AbilityBelief, type AbilityLikelihood, normalisedLikelihood, decayHorizonRatings, scaleProfileOf, scaleValues } from './ratingBelief.ts'
import { cellCount, cellDifficulty, normalise, offsetCount, offsetAt, ratingLikelihood, expectedScore, shareBelow, hintWeights } from './ratingGrid.ts'
import { type RatingScale, scalePoints, type ScalePoint } from './ratingScale.ts'

const priorAbility = 0.7
const priorDeviation = 0.35
/** The dearest version is taken to be fit for its work until ratings say otherwise. */
const strongestPriorAbility = 0.96
const strongestPriorDeviation = 0.06
/** Ratings from which other daemons are told of a version. */
const minimumSharedRatings = 3
/** New ratings, at least and as a share of the earlier ones, from which the scale is told again. */
const minimumNewRatings = 4
const minimumNewRatingsShare = 0.1
/** Of a belief's ratings the first ones and then every so many teach the scale, which moves slowly. */
const initialScaleRatings = 60
const scaleSampleInterval = 6

/** The beliefs about all versions for one kind of request. */
export class RatingModel {
  readonly #beliefs = new Map<VersionName, AbilityBelief>()
  readonly #scale: RatingScale
  readonly #goodRating: number

  constructor (scale: RatingScale, goodRating: number) {
    this.#scale = scale
    this.#goodRating = goodRating
  }

  /** Makes a version known; `strongest` is the dearest that is allowed. */
  addVersion (version: VersionName, isStrongest: boolean): void {
    if (this.#beliefs.has(version)) return
    const prior = isStrongest
      ? { mean: strongestPriorAbility, deviation: strongestPriorDeviation }
      : { mean: priorAbility, deviation: priorDeviation }
    this.#beliefs.set(version, new AbilityBelief(prior))
  }

  /** The versions that are known. */
  versions (): readonly VersionName[] {
    return [...this.#beliefs.keys()]
  }

  /** Ratings that the belief about a version rests on, other daemons' included. */
  ratingCount (version: VersionName): number {
    return this.#beliefs.get(version)?.totalCount ?? 0
  }

  /** The believed limit of a version, cautious by its uncertainty. */
  cautiousAbility (version: VersionName): number {
    return this.#beliefs.get(version)?.cautiousAbility ?? priorAbility - priorDeviation
  }

  /** The believed limit of a version. */
  ability (version: VersionName): number {
    return this.#beliefs.get(version)?.mean ?? priorAbility
  }

  /** What is known of a request's difficulty after its hint and earlier ratings. */
  difficultyWeights (hint: number | undefined, earlier: readonly EarlierRating[]): Float64Array {
    const weights = hintWeights(hint, this.#scale.hintNoise)
    for (const { version, rating } of earlier) {
      const ability = this.ability(version)
      for (let cell = 0; cell < cellCount; cell++) {
        const score = expectedScore(ability - cellDifficulty(cell), this.#goodRating, this.#scale.point.slope)
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
    this.addVersion(version, false)
    const belief = this.#beliefs.get(version)!
    const weights = this.difficultyWeights(hint, earlier)
    const shortfall = this.#shortfall(weights, belief.mean, rating)
    this.#learn(belief, weights, rating)
    belief.records.push({ hint, earlierRatings: earlier, rating })
    if (belief.records.length > decayHorizonRatings) belief.records.shift()
    belief.updateMoments()
    return shortfall
  }

  /** Tells the shared scale what the beliefs of this kind say of it. */
  updateScale (kind: string): void {
    for (const [version, belief] of this.#beliefs) {
      const due = Math.max(minimumNewRatings, belief.profiledCount * minimumNewRatingsShare)
      if (belief.observedCount - belief.profiledCount < due) continue
      belief.profiledCount = belief.observedCount
      this.#scale.setProfile(`${kind}\n${version}`, scaleProfileOf(belief))
    }
  }

  /** Learns again from the kept records, because the shared scale has changed. */
  relearn (): void {
    for (const belief of this.#beliefs.values()) {
      belief.ownLikelihood.fill(0)
      for (const { hint, earlierRatings: earlier, rating } of belief.records) this.#learnAbility(belief, this.difficultyWeights(hint, earlier), rating)
      belief.updateMoments()
    }
  }

  #learn (belief: AbilityBelief, weights: Float64Array, rating: number): void {
    this.#learnAbility(belief, weights, rating)
    belief.effectiveCount = belief.effectiveCount * ratingDecay + 1
    belief.observedCount += 1
    if (belief.observedCount <= initialScaleRatings || belief.observedCount % scaleSampleInterval === 0) this.#learnScale(belief, weights, rating)
  }

  #learnScale (belief: AbilityBelief, weights: Float64Array, rating: number): void {
    const curve = new Float64Array(offsetCount)
    for (const [index, point] of scalePoints.entries()) {
      this.#fillLikelihoodCurve(curve, point, rating)
      addLikelihood(belief.likelihoodByScalePoint[index]!, weights, curve)
    }
  }

  #learnAbility (belief: AbilityBelief, weights: Float64Array, rating: number): void {
    const curve = new Float64Array(offsetCount)
    this.#fillLikelihoodCurve(curve, this.#scale.point, rating)
    addLikelihood(belief.ownLikelihood, weights, curve)
  }

  #fillLikelihoodCurve (curve: Float64Array, { slope, noise }: ScalePoint, rating: number): void {
    for (let index = 0; index < offsetCount; index++) {
      curve[index] = ratingLikelihood(rating, expectedScore(offsetAt(index), this.#goodRating, slope), noise)
    }
  }

  #shortfall (weights: Float64Array, ability: number, rating: number): number {
    let mean = 0
    let squares = 0
    for (let cell = 0; cell < cellCount; cell++) {
      const score = expectedScore(ability - cellDifficulty(cell), this.#goodRating, this.#scale.point.slope)
      mean += weights[cell]! * score
      squares += weights[cell]! * score * score
    }
    const deviation = Math.sqrt(Math.max(0, squares - mean * mean) + this.#scale.point.noise ** 2)
    return (mean - rating) / deviation
  }

  /** Keeps only a part of what was learned of a version, because its quality has moved. */
  discount (version: VersionName, keptFraction: number): void {
    const belief = this.#beliefs.get(version)
    if (!belief) return
    belief.records.splice(0, Math.round(belief.records.length * (1 - keptFraction)))
    for (const logarithms of [belief.ownLikelihood, ...belief.likelihoodByScalePoint]) scaleValues(logarithms, keptFraction)
    belief.effectiveCount *= keptFraction
    belief.setPeerLikelihoods([])
  }

  /** What this daemon's own ratings say, for other daemons; versions with too few are left out. */
  ownLikelihoods (): Map<VersionName, AbilityLikelihood> {
    const shared = [...this.#beliefs].filter(([, belief]) => belief.effectiveCount >= minimumSharedRatings)
    return new Map(shared.map(([version, belief]) => [version, { count: belief.effectiveCount, likelihood: normalisedLikelihood(belief.ownLikelihood) }]))
  }

  /** Replaces what is known from other daemons' ratings of a version. */
  setPeerLikelihoods (version: VersionName, likelihoods: readonly AbilityLikelihood[]): void {
    this.addVersion(version, false)
    this.#beliefs.get(version)!.setPeerLikelihoods(likelihoods)
  }

  /** The chance that an answer of a version is good, by cell of difficulty. */
  goodProbabilityByCell (version: VersionName): Float64Array {
    const ability = this.cautiousAbility(version)
    return Float64Array.from({ length: cellCount }, (_, cell) => shareBelow(ability, cell))
  }
}
