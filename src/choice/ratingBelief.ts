/**
 * The belief about one version: the likelihood of its ratings over its limit, at the present scale
 * and at each point of the scale's grid, with a prior and what other daemons told added.
 */
import type { VersionName } from '../contract/index.ts'
import { cellCount, limitCount, limitAt, offsetIndex } from './ratingGrid.ts'
import { scalePoints } from './ratingScale.ts'

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

/** A rating as it is kept. */
export interface RatingRecord {
  readonly hint: number | undefined
  readonly earlier: readonly EarlierRating[]
  readonly rating: number
}

/** Ratings that count fully before older ones fade. */
export const memoryRatings = 600
/** The part of an older rating's weight that one more rating leaves. */
export const keptShare = 1 - 1 / memoryRatings
/** Standard deviations below the mean at which a version's limit is relied on. */
const caution = 0.3
/** Cells with less weight don't change what a rating says. */
const smallestWeight = 1e-4
/** A quarter of a grid step, squared. */
const smallestVariance = 0.005 ** 2

/** The belief about one version. */
export class LimitBelief {
  /** The logarithm of own ratings' likelihood by limit, at the present scale. */
  readonly own = new Float64Array(limitCount)
  /** The same at each point of the scale's grid. */
  readonly atPoints = scalePoints.map(() => new Float64Array(limitCount))
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
  readonly #others = new Float64Array(limitCount)
  #othersCount = 0
  readonly #prior: { readonly limit: number, readonly spread: number }

  constructor (prior: { readonly limit: number, readonly spread: number }) {
    this.#prior = prior
    this.mean = prior.limit
    this.spread = prior.spread
  }

  get cautiousLimit (): number {
    return this.mean - caution * this.spread
  }

  get totalCount (): number {
    return this.count + this.#othersCount
  }

  refresh (): void {
    const total = new Float64Array(limitCount)
    for (let index = 0; index < limitCount; index++) {
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
      for (let index = 0; index < limitCount; index++) this.#others[index]! += likelihood[index] ?? 0
    }
    this.refresh()
  }
}

/** Multiplies logarithms, so that they count for less or more. */
export function scaleBy (logarithms: Float64Array, factor: number): void {
  for (let index = 0; index < logarithms.length; index++) logarithms[index]! *= factor
}

/** Fades what was known at each limit and adds one rating. */
export function addLikelihood (logarithms: Float64Array, weights: Float64Array, curve: Float64Array): void {
  const density = new Float64Array(limitCount)
  for (let cell = 0; cell < cellCount; cell++) {
    const weight = weights[cell]!
    if (weight < smallestWeight) continue
    const first = offsetIndex(0, cell)
    for (let index = 0; index < limitCount; index++) density[index]! += weight * curve[first + index]!
  }
  for (let index = 0; index < limitCount; index++) logarithms[index] = logarithms[index]! * keptShare + Math.log(density[index]!)
}

/** The likelihood of own ratings at each scale point, with the limit summed out. */
export function profileOf (belief: LimitBelief): Float64Array {
  return Float64Array.from(scalePoints, (_, point) => {
    const logarithms = belief.atPoints[point]!
    const highest = Math.max(...logarithms)
    const sum = logarithms.reduce((total, logarithm) => total + Math.exp(logarithm - highest), 0)
    return highest + Math.log(sum)
  })
}

/** Own ratings' likelihood as other daemons are told of it. */
export function likelihoodNews (logarithms: Float64Array): Float32Array {
  const highest = Math.max(...logarithms)
  return Float32Array.from(logarithms, logarithm => logarithm - highest)
}

function momentsOf (logarithms: Float64Array): { mean: number, variance: number } {
  const highest = Math.max(...logarithms)
  let total = 0
  let sum = 0
  let squares = 0
  for (let index = 0; index < limitCount; index++) {
    const weight = Math.exp(logarithms[index]! - highest)
    const limit = limitAt(index)
    total += weight
    sum += weight * limit
    squares += weight * limit * limit
  }
  const mean = sum / total
  return { mean, variance: Math.max(smallestVariance, squares / total - mean * mean) }
}
