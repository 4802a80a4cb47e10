/**
 * Beliefs about all versions for one kind of request. The belief about a version is a likelihood over
 * its ability, the difficulty up to which its answers are good. Log-likelihoods of independent ratings
 * add up, so those of the peers are added to this daemon's own. Older ratings decay, so that changes of
 * quality are followed. A rating that follows others of the same request is conditioned on what they
 * revealed about its difficulty: otherwise a stronger version would look weak because it only gets the
 * requests that a cheaper one failed on.
 */
import type { VersionName } from '../contract/index.ts'
import { addLikelihood, type EarlierRating, ratingDecay, AbilityBelief, type AbilityLikelihood, normalisedLikelihood, decayHorizonRatings, scaleProfileOf, scaleValues } from './ratingBelief.ts'
import { cellCount, cellDifficulty, normalise, offsetCount, offsetAt, ratingLikelihood, expectedScore, shareBelow, hintWeights } from './ratingGrid.ts'
import { type RatingScale, scalePoints, type ScalePoint } from './ratingScale.ts'

const priorAbility = 0.7
const priorDeviation = 0.35
/** The most expensive version is assumed to be good enough until ratings show otherwise. */
const strongestPriorAbility = 0.96
const strongestPriorDeviation = 0.06
/** Ratings that a belief needs before it is sent to peers. */
const minimumSharedRatings = 3
/** New ratings that trigger an update of the scale: a minimum, and a share of the earlier ones. */
const minimumNewRatings = 4
const minimumNewRatingsShare = 0.1
/** The first ratings of a belief and then every n-th one update the scale, which changes slowly. */
const initialScaleRatings = 60
const scaleSampleInterval = 6

export class RatingModel {
  readonly #beliefs = new Map<VersionName, AbilityBelief>()
  readonly #scale: RatingScale
  readonly #goodRating: number

  constructor (scale: RatingScale, goodRating: number) {
    this.#scale = scale
    this.#goodRating = goodRating
  }

  /** Adds a version; `isStrongest` marks the most expensive allowed one. */
  addVersion (version: VersionName, isStrongest: boolean): void {
    if (this.#beliefs.has(version)) return
    const prior = isStrongest
      ? { mean: strongestPriorAbility, deviation: strongestPriorDeviation }
      : { mean: priorAbility, deviation: priorDeviation }
    this.#beliefs.set(version, new AbilityBelief(prior))
  }

  versions (): readonly VersionName[] {
    return [...this.#beliefs.keys()]
  }

  /** Number of ratings behind the belief about a version, including those of peers. */
  ratingCount (version: VersionName): number {
    return this.#beliefs.get(version)?.totalCount ?? 0
  }

  /** Estimated ability of a version, lowered according to its uncertainty. */
  cautiousAbility (version: VersionName): number {
    return this.#beliefs.get(version)?.cautiousAbility ?? priorAbility - priorDeviation
  }

  /** Estimated ability of a version. */
  ability (version: VersionName): number {
    return this.#beliefs.get(version)?.mean ?? priorAbility
  }

  /** Posterior weights of a request's difficulty, given its hint and earlier ratings. */
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
   * Learns from one of this daemon's ratings.
   *
   * @returns the shortfall from the expected rating, in standard deviations; negative if better
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

  /** Updates the shared scale with the profiles of this kind's beliefs. */
  updateScale (kind: string): void {
    for (const [version, belief] of this.#beliefs) {
      const due = Math.max(minimumNewRatings, belief.profiledCount * minimumNewRatingsShare)
      if (belief.observedCount - belief.profiledCount < due) continue
      belief.profiledCount = belief.observedCount
      this.#scale.setProfile(`${kind}\n${version}`, scaleProfileOf(belief))
    }
  }

  /** Replays the stored ratings after a change of the shared scale. */
  relearn (): void {
    for (const belief of this.#beliefs.values()) {
      belief.ownLogLikelihood.fill(0)
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
      addLikelihood(belief.logLikelihoodByScalePoint[index]!, weights, curve)
    }
  }

  #learnAbility (belief: AbilityBelief, weights: Float64Array, rating: number): void {
    const curve = new Float64Array(offsetCount)
    this.#fillLikelihoodCurve(curve, this.#scale.point, rating)
    addLikelihood(belief.ownLogLikelihood, weights, curve)
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

  /** Reduces the weight of the evidence about a version whose quality has changed. */
  discount (version: VersionName, keptFraction: number): void {
    const belief = this.#beliefs.get(version)
    if (!belief) return
    belief.records.splice(0, Math.round(belief.records.length * (1 - keptFraction)))
    for (const logarithms of [belief.ownLogLikelihood, ...belief.logLikelihoodByScalePoint]) scaleValues(logarithms, keptFraction)
    belief.effectiveCount *= keptFraction
    belief.setPeerLikelihoods([])
  }

  /** Likelihoods of this daemon's ratings, for its peers; versions with too few ratings are omitted. */
  ownLikelihoods (): Map<VersionName, AbilityLikelihood> {
    const shared = [...this.#beliefs].filter(([, belief]) => belief.effectiveCount >= minimumSharedRatings)
    return new Map(shared.map(([version, belief]) => [version, { count: belief.effectiveCount, likelihood: normalisedLikelihood(belief.ownLogLikelihood) }]))
  }

  /** Replaces the likelihoods of the peers' ratings of a version. */
  setPeerLikelihoods (version: VersionName, likelihoods: readonly AbilityLikelihood[]): void {
    this.addVersion(version, false)
    this.#beliefs.get(version)!.setPeerLikelihoods(likelihoods)
  }

  /** Probability that an answer of a version is good, by difficulty cell. */
  goodProbabilityByCell (version: VersionName): Float64Array {
    const ability = this.cautiousAbility(version)
    return Float64Array.from({ length: cellCount }, (_, cell) => shareBelow(ability, cell))
  }
}
