/**
 * Grids for inference from ratings. The difficulty of a request is a latent variable, represented by
 * weights over difficulty cells from 0 to 1. The ability of a version is the difficulty up to which its
 * answers are good. Both grids have a common spacing, so that a rating needs only one likelihood curve
 * over `ability - difficulty` and no further exponentials.
 */

/** Spacing of the ability grid, in units of difficulty. */
export const abilityStep = 0.02
export const minimumAbility = -0.6
export const abilityCount = 86
/** Two ability steps, so that every ability minus a cell's centre lies on a lattice of the same spacing. */
const cellWidth = 2 * abilityStep
export const cellCount = Math.round(1 / cellWidth)
/** Number of lattice points of `ability - difficulty`. */
export const offsetCount = abilityCount + 2 * (cellCount - 1)
/** The scale of the rating service. */
export const minimumRating = 0
export const maximumRating = 100

/** The difficulty at the centre of a cell. */
export function cellDifficulty (cell: number): number {
  return (cell + 0.5) * cellWidth
}

/** The ability at an index of the ability grid. */
export function abilityAt (index: number): number {
  return minimumAbility + index * abilityStep
}

/** The value of `ability - difficulty` at a lattice point. */
export function offsetAt (index: number): number {
  return abilityAt(index - 2 * (cellCount - 1)) - cellDifficulty(0)
}

/** The lattice point of an ability index and a cell. */
export function offsetIndex (abilityIndex: number, cell: number): number {
  return abilityIndex + 2 * (cellCount - 1 - cell)
}

/** Fraction of a cell at or below an ability, 0 to 1. */
export function shareBelow (ability: number, cell: number): number {
  const part = (ability - cell * cellWidth) / cellWidth
  return Math.min(1, Math.max(0, part))
}

/**
 * Posterior weights of the cells for a hint; they sum to 1.
 *
 * @param hint difficulty with normally distributed noise; undefined if there is none
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

/** Expected score of an answer if the version's ability exceeds the request's difficulty by `offset`. */
export function expectedScore (offset: number, goodRating: number, slope: number): number {
  return Math.min(maximumRating, Math.max(minimumRating, goodRating + slope * offset))
}

/**
 * Likelihood of a rating, given the true score. A rating at an end of the scale stands for all values
 * beyond it (censoring).
 */
export function ratingLikelihood (rating: number, score: number, noise: number): number {
  if (rating >= maximumRating) return normalCumulative((score - maximumRating) / noise) * tailDensity
  if (rating <= minimumRating) return normalCumulative((minimumRating - score) / noise) * tailDensity
  const distance = (rating - score) / noise
  return Math.exp(-distance * distance / 2) / (noise * Math.sqrt(2 * Math.PI)) + outlierDensity
}

/** Converts the probability of a tail into a density per point. */
const tailDensity = 1
/** Density of outliers that the model does not explain, so that a single rating can't outweigh the others. */
const outlierDensity = 1e-4

/** The standard normal distribution function, to 1e-7 (Abramowitz and Stegun 26.2.17). */
export function normalCumulative (value: number): number {
  const scale = 1 / (1 + 0.2316419 * Math.abs(value))
  const series = scale * (0.319381530 + scale * (-0.356563782 + scale * (1.781477937 + scale * (-1.821255978 + scale * 1.330274429))))
  const tail = series * Math.exp(-value * value / 2) / Math.sqrt(2 * Math.PI)
  return value >= 0 ? 1 - tail : tail
}
