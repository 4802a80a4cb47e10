/**
 * Rating parameters common to all kinds and versions: the loss of points as requests get harder (slope),
 * the noise of a rating, and the noise of a hint. Slope and noise are fitted on a small fixed grid.
 * Every belief about a version is kept for each grid point, so that abilities and scale are fitted
 * jointly: alternating fits converge to a wrong but self-consistent pair. Between grid points, a
 * parabola through the best point and its neighbours is used. The noise of a hint follows from the
 * variance of all hints, because difficulty is uniformly distributed over 0 to 1.
 */

/** Points by which a score falls from difficulty 0 to 1. */
const slopeGrid = [18, 22, 26, 31, 37, 45, 54, 65, 78, 94, 112]
/** Standard deviations of a rating, in points. */
const noiseGrid = [3, 4, 5.4, 7.3, 9.9, 13.3, 18]
const initialPoint: ScalePoint = { slope: 45, noise: 9.9 }
/** Slope and noise are rounded to steps of this relative size, so that small changes need no relearning. */
const logRoundingStep = 0.04
const uniformVariance = 1 / 12
const minimumHintNoise = 0.02
const initialHintNoise = 0.2
const minimumHintsForNoise = 300
/** Time constant of the decay, in hints. */
const decayHorizonHints = 20_000

/** One point of the grid. */
export interface ScalePoint {
  readonly slope: number
  readonly noise: number
}

/** The grid of slopes and noises. */
export const scalePoints: readonly ScalePoint[] = slopeGrid.flatMap(slope => noiseGrid.map(noise => ({ slope, noise })))

export class RatingScale {
  readonly #profiles = new Map<string, Float64Array>()
  #peerLogLikelihood = new Float64Array(scalePoints.length)
  #point = initialPoint
  #revision = 0
  #hintCount = 0
  #hintMean = 0.5
  #hintVariance = 0

  /** Increases when slope or noise change, which makes values derived from them stale. */
  get revision (): number {
    return this.#revision
  }

  /** The current slope and noise. */
  get point (): ScalePoint {
    return this.#point
  }

  /** Standard deviation of a hint, in units of difficulty. */
  get hintNoise (): number {
    if (this.#hintCount < minimumHintsForNoise) return initialHintNoise
    return Math.sqrt(Math.max(minimumHintNoise ** 2, this.#hintVariance - uniformVariance))
  }

  /** Counts the hint of a request, rated or not. */
  observeHint (hint: number): void {
    this.#hintCount += 1
    const weight = 1 / Math.min(this.#hintCount, decayHorizonHints)
    const deviation = hint - this.#hintMean
    this.#hintMean += deviation * weight
    this.#hintVariance += (deviation * (hint - this.#hintMean) - this.#hintVariance) * weight
  }

  /**
   * Replaces the profile of one belief.
   *
   * @param beliefKey identifies the belief within this daemon
   * @param profile log-likelihood of its ratings at each grid point
   */
  setProfile (beliefKey: string, profile: Float64Array): void {
    this.#profiles.set(beliefKey, profile)
    this.#fitPoint()
  }

  /** Log-likelihood of this daemon's ratings at each grid point, for its peers. */
  ownLogLikelihood (): Float32Array {
    const own = this.#sumProfiles()
    const highest = Math.max(...own)
    return Float32Array.from(own, logarithm => logarithm - highest)
  }

  /** Replaces the log-likelihoods of the peers' ratings. */
  setPeerLikelihoods (likelihoods: readonly Float32Array[]): void {
    this.#peerLogLikelihood = new Float64Array(scalePoints.length)
    for (const likelihood of likelihoods) addTerms(this.#peerLogLikelihood, likelihood)
    this.#fitPoint()
  }

  #sumProfiles (): Float64Array {
    const sum = new Float64Array(scalePoints.length)
    for (const profile of this.#profiles.values()) addTerms(sum, profile)
    return sum
  }

  #fitPoint (): void {
    const total = this.#sumProfiles()
    addTerms(total, this.#peerLogLikelihood)
    const best = total.indexOf(Math.max(...total))
    const noiseIndex = best % noiseGrid.length
    const slopeIndex = (best - noiseIndex) / noiseGrid.length
    const point = {
      slope: roundToLogStep(parabolaPeak(slopeGrid, slopeIndex, index => total[index * noiseGrid.length + noiseIndex]!)),
      noise: roundToLogStep(parabolaPeak(noiseGrid, noiseIndex, index => total[slopeIndex * noiseGrid.length + index]!))
    }
    if (point.slope === this.#point.slope && point.noise === this.#point.noise) return
    this.#point = point
    this.#revision += 1
  }
}

function roundToLogStep (value: number): number {
  return Math.exp(Math.round(Math.log(value) / logRoundingStep) * logRoundingStep)
}

/** Peak of the parabola through the best point and its neighbours, over the logarithms of the values. */
function parabolaPeak (values: readonly number[], best: number, heightAt: (index: number) => number): number {
  const lower = values[best - 1]
  const middle = values[best]!
  const upper = values[best + 1]
  if (lower === undefined || upper === undefined) return middle
  const left = Math.log(lower / middle)
  const right = Math.log(upper / middle)
  const leftFall = heightAt(best) - heightAt(best - 1)
  const rightFall = heightAt(best) - heightAt(best + 1)
  const divisor = 2 * (leftFall * right - rightFall * left)
  if (!(divisor > 0)) return middle
  const offset = (leftFall * right * right - rightFall * left * left) / divisor
  return middle * Math.exp(Math.min(right / 2, Math.max(left / 2, offset)))
}

function addTerms (sum: Float64Array, terms: Float64Array | Float32Array): void {
  for (let index = 0; index < sum.length; index++) sum[index]! += terms[index] ?? 0
}
