/** The mean of numbers that are given by their logarithms. */

/**
 * Returns the logarithm of the mean, without overflow.
 *
 * @example
 * logMeanExp(Float64Array.of(0, 0)) // 0
 */
export function logMeanExp (logarithms: Float64Array): number {
  const highest = Math.max(...logarithms)
  const sum = logarithms.reduce((total, logarithm) => total + Math.exp(logarithm - highest), 0)
  return highest + Math.log(sum / logarithms.length)
}
