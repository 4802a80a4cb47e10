/**
 * Belief about the ability of one version: the likelihood of its ratings over ability, at the current
 * scale and at each point of the scale grid, combined with a prior and the likelihoods of the peers.
 */
import type { VersionName } from '../contract/index.ts'
import { cellCount, abilityCount, abilityAt, offsetIndex } from './ratingGrid.ts'
import { scalePoints } from './ratingScale.ts'

/** A rating of an earlier step of the same request. */
export interface EarlierRating {
  readonly version: VersionName
  readonly rating: number
}

/** Likelihood of one daemon's ratings over a version's ability. */
export interface AbilityLikelihood {
  readonly count: number
  /** Log-likelihood at each ability of the grid, shifted so that its maximum is 0. */
  readonly likelihood: Float32Array
}

/** A stored rating. */
export interface RatingRecord {
  readonly hint: number | undefined
  readonly earlierRatings: readonly EarlierRating[]
  readonly rating: number
}

/** Time constant of the decay, in ratings. */
export const decayHorizonRatings = 600
/** Factor by which each new rating reduces the weight of older ones. */
export const ratingDecay = 1 - 1 / decayHorizonRatings
/** Standard deviations below the mean at which the cautious ability lies. */
const cautionDeviations = 0.3
/** Cells with less weight are ignored because they hardly change the likelihood. */
const minimumCellWeight = 1e-4
/** The square of a quarter of a grid step. */
const minimumAbilityVariance = 0.005 ** 2

export class AbilityBelief {
  /** Log-likelihood of this daemon's ratings by ability, at the current scale. */
  readonly ownLogLikelihood = new Float64Array(abilityCount)
  /** The same at each point of the scale grid. */
  readonly logLikelihoodByScalePoint = scalePoints.map(() => new Float64Array(abilityCount))
  /** Number of this daemon's ratings, with older ones decayed. */
  effectiveCount = 0
  /** Number of this daemon's ratings, without decay. */
  observedCount = 0
  /** `observedCount` when the scale was last updated. */
  profiledCount = 0
  mean: number
  deviation: number
  /** The newest ratings, replayed when the shared scale changes. */
  readonly records: RatingRecord[] = []
  readonly #peerLogLikelihood = new Float64Array(abilityCount)
  #peerCount = 0
  readonly #prior: { readonly mean: number, readonly deviation: number }

  constructor (prior: { readonly mean: number, readonly deviation: number }) {
    this.#prior = prior
    this.mean = prior.mean
    this.deviation = prior.deviation
  }

  get cautiousAbility (): number {
    return this.mean - cautionDeviations * this.deviation
  }

  get totalCount (): number {
    return this.effectiveCount + this.#peerCount
  }

  updateMoments (): void {
    const total = new Float64Array(abilityCount)
    for (let index = 0; index < abilityCount; index++) {
      const distance = (abilityAt(index) - this.#prior.mean) / this.#prior.deviation
      total[index] = this.ownLogLikelihood[index]! + this.#peerLogLikelihood[index]! - distance * distance / 2
    }
    const moments = momentsOf(total)
    this.mean = moments.mean
    this.deviation = Math.sqrt(moments.variance)
  }

  setPeerLikelihoods (peerLikelihoods: readonly AbilityLikelihood[]): void {
    this.#peerLogLikelihood.fill(0)
    this.#peerCount = 0
    for (const { count, likelihood } of peerLikelihoods) {
      this.#peerCount += count
      for (let index = 0; index < abilityCount; index++) this.#peerLogLikelihood[index]! += likelihood[index] ?? 0
    }
    this.updateMoments()
  }
}

/** Multiplies log-likelihoods by a factor, which changes their weight. */
export function scaleValues (values: Float64Array, factor: number): void {
  for (let index = 0; index < values.length; index++) values[index]! *= factor
}

/** Decays the log-likelihood at each ability and adds one rating. */
export function addLikelihood (logarithms: Float64Array, weights: Float64Array, curve: Float64Array): void {
  const density = new Float64Array(abilityCount)
  for (let cell = 0; cell < cellCount; cell++) {
    const weight = weights[cell]!
    if (weight < minimumCellWeight) continue
    const first = offsetIndex(0, cell)
    for (let index = 0; index < abilityCount; index++) density[index]! += weight * curve[first + index]!
  }
  for (let index = 0; index < abilityCount; index++) logarithms[index] = logarithms[index]! * ratingDecay + Math.log(density[index]!)
}

/** Log-likelihood of this daemon's ratings at each scale point, marginalised over ability. */
export function scaleProfileOf (belief: AbilityBelief): Float64Array {
  return Float64Array.from(scalePoints, (_, point) => {
    const logarithms = belief.logLikelihoodByScalePoint[point]!
    const highest = Math.max(...logarithms)
    const sum = logarithms.reduce((total, logarithm) => total + Math.exp(logarithm - highest), 0)
    return highest + Math.log(sum)
  })
}

/** Shifts log-likelihoods so that their maximum is 0, as sent to peers. */
export function normalisedLikelihood (logarithms: Float64Array): Float32Array {
  const highest = Math.max(...logarithms)
  return Float32Array.from(logarithms, logarithm => logarithm - highest)
}

function momentsOf (logarithms: Float64Array): { mean: number, variance: number } {
  const highest = Math.max(...logarithms)
  let total = 0
  let sum = 0
  let squares = 0
  for (let index = 0; index < abilityCount; index++) {
    const weight = Math.exp(logarithms[index]! - highest)
    const ability = abilityAt(index)
    total += weight
    sum += weight * ability
    squares += weight * ability * ability
  }
  const mean = sum / total
  return { mean, variance: Math.max(minimumAbilityVariance, squares / total - mean * mean) }
}
