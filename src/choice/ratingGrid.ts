/**
 * The grids on which ratings are reasoned about. How hard a request is stays hidden; it is carried
 * as weights over cells of difficulty from 0 to 1. What a version can do is its limit: the
 * difficulty up to which its answers are good. Both grids share one spacing, so that a record
 * needs one score curve over `limit - difficulty` and no further exponentials.
 */

/** Spacing of the limit grid, in difficulty. */
export const abilityStep = 0.02
export const minimumAbility = -0.6
export const abilityCount = 86
/** Two limit steps, so that every limit minus a cell's centre lies on the limit grid's lattice. */
const cellWidth = 2 * abilityStep
export const cellCount = Math.round(1 / cellWidth)
/** Lattice points of `limit - difficulty`. */
export const offsetCount = abilityCount + 2 * (cellCount - 1)
/** The rating service's scale. */
export const minimumRating = 0
export const maximumRating = 100

/** The difficulty at the centre of a cell. */
export function cellDifficulty (cell: number): number {
  return (cell + 0.5) * cellWidth
}

/** The limit at an index of the limit grid. */
export function abilityAt (index: number): number {
  return minimumAbility + index * abilityStep
}

/** The value of `limit - difficulty` at a lattice point. */
export function offsetAt (index: number): number {
  return abilityAt(index - 2 * (cellCount - 1)) - cellDifficulty(0)
}

/** The lattice point of a limit and a cell. */
export function offsetIndex (abilityIndex: number, cell: number): number {
  return abilityIndex + 2 * (cellCount - 1 - cell)
}

/** The part of a cell that lies at or below a limit, 0 to 1. */
export function shareBelow (ability: number, cell: number): number {
  const part = (ability - cell * cellWidth) / cellWidth
  return Math.min(1, Math.max(0, part))
}

/**
 * Weights over the cells after a hint; they sum to 1.
 *
 * @param hint difficulty with normal noise; undefined where nothing is known
 * @param noise the hint's standard deviation
 */
export function hintWeights (hint: number | undefined, noise: number): Float64Array {
  const weights = new Float64Array(cellCount).fill(1 / cellCount)
  if (hint === undefined) return weights
  const nearest = Math.min(1, Math.max(0, hint))
  const minimumExponent = ((hint - nearest) / noise) ** 2 / 2
  for (let cell = 0; cell < cellCount; cell++) {
    const distance = (hint - cellDifficulty(cell)) / noise
    weights[cell] = Math.exp(minimumExponent - distance * distance / 2)
  }
  normalise(weights)
  return weights
}

/** Scales weights so that they sum to 1; all-zero weights become equal. */
export function normalise (weights: Float64Array): void {
  let sum = 0
  for (const weight of weights) sum += weight
  if (!(sum > 0)) {
    weights.fill(1 / weights.length)
    return
  }
  for (let index = 0; index < weights.length; index++) weights[index]! /= sum
}

/** The score of an answer whose version's limit lies `offset` above the request's difficulty. */
export function expectedScore (offset: number, goodRating: number, slope: number): number {
  return Math.min(maximumRating, Math.max(minimumRating, goodRating + slope * offset))
}

/**
 * How likely a rating is, given the true score. A reading at an end of the scale stands for all
 * readings beyond it.
 */
export function ratingLikelihood (rating: number, score: number, noise: number): number {
  if (rating >= maximumRating) return normalCumulative((score - maximumRating) / noise) * tailDensity
  if (rating <= minimumRating) return normalCumulative((minimumRating - score) / noise) * tailDensity
  const distance = (rating - score) / noise
  return Math.exp(-distance * distance / 2) / (noise * Math.sqrt(2 * Math.PI)) + outlierDensity
}

/** Puts the mass of a tail on the same footing as a density per point. */
const tailDensity = 1
/** Density of a reading that the model can't explain, so that one odd rating can't outweigh the rest. */
const outlierDensity = 1e-4

/** The standard normal distribution function, to 1e-7 (Abramowitz and Stegun 26.2.17). */
export function normalCumulative (value: number): number {
  const scale = 1 / (1 + 0.2316419 * Math.abs(value))
  const series = scale * (0.319381530 + scale * (-0.356563782 + scale * (1.781477937 + scale * (-1.821255978 + scale * 1.330274429))))
  const tail = series * Math.exp(-value * value / 2) / Math.sqrt(2 * Math.PI)
  return value >= 0 ? 1 - tail : tail
}
