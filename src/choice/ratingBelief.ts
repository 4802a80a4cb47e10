/**
 * The belief about one version: the likelihood of its ratings over its limit, at the present scale
 * and at each point of the scale's grid, with a prior and what other daemons told added.
 */
import type { VersionName } from '../contract/index.ts'
import { cellCount, abilityCount, abilityAt, offsetIndex } from './ratingGrid.ts'
import { scalePoints } from './ratingScale.ts'

/** A rating of an earlier step of the same request. */
export interface EarlierRating {
  readonly version: VersionName
  readonly rating: number
}

/** What another daemon's ratings say of a version's limit. */
export interface AbilityLikelihood {
  readonly count: number
  /** The logarithm of the likelihood at each limit of the grid, its highest being 0. */
  readonly likelihood: Float32Array
}

/** A rating as it is kept. */
export interface RatingRecord {
  readonly hint: number | undefined
  readonly earlierRatings: readonly EarlierRating[]
  readonly rating: number
}

/** Ratings that count fully before older ones fade. */
export const decayHorizonRatings = 600
/** The part of an older rating's weight that one more rating leaves. */
export const ratingDecay = 1 - 1 / decayHorizonRatings
/** Standard deviations below the mean at which a version's limit is relied on. */
const cautionDeviations = 0.3
/** Cells with less weight don't change what a rating says. */
const minimumCellWeight = 1e-4
/** A quarter of a grid step, squared. */
const minimumAbilityVariance = 0.005 ** 2

/** The belief about one version. */
export class AbilityBelief {
  /** The logarithm of own ratings' likelihood by limit, at the present scale. */
  readonly ownLikelihood = new Float64Array(abilityCount)
  /** The same at each point of the scale's grid. */
  readonly likelihoodByScalePoint = scalePoints.map(() => new Float64Array(abilityCount))
  /** Own ratings, older ones faded. */
  effectiveCount = 0
  /** Own ratings ever. */
  observedCount = 0
  /** `seen` when the scale was last told. */
  profiledCount = 0
  mean: number
  deviation: number
  /** The newest records, to learn from again when the shared scale changes. */
  readonly records: RatingRecord[] = []
  readonly #peerLikelihood = new Float64Array(abilityCount)
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
      total[index] = this.ownLikelihood[index]! + this.#peerLikelihood[index]! - distance * distance / 2
    }
    const moments = momentsOf(total)
    this.mean = moments.mean
    this.deviation = Math.sqrt(moments.variance)
  }

  setPeerLikelihoods (peerLikelihoods: readonly AbilityLikelihood[]): void {
    this.#peerLikelihood.fill(0)
    this.#peerCount = 0
    for (const { count, likelihood } of peerLikelihoods) {
      this.#peerCount += count
      for (let index = 0; index < abilityCount; index++) this.#peerLikelihood[index]! += likelihood[index] ?? 0
    }
    this.updateMoments()
  }
}

/** Multiplies logarithms, so that they count for less or more. */
export function scaleValues (values: Float64Array, factor: number): void {
  for (let index = 0; index < values.length; index++) values[index]! *= factor
}

/** Fades what was known at each limit and adds one rating. */
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

/** The likelihood of own ratings at each scale point, with the limit summed out. */
export function scaleProfileOf (belief: AbilityBelief): Float64Array {
  return Float64Array.from(scalePoints, (_, point) => {
    const logarithms = belief.likelihoodByScalePoint[point]!
    const highest = Math.max(...logarithms)
    const sum = logarithms.reduce((total, logarithm) => total + Math.exp(logarithm - highest), 0)
    return highest + Math.log(sum)
  })
}

/** Own ratings' likelihood as other daemons are told of it. */
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
