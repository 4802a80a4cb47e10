/**
 * What all kinds and versions share about ratings: how many points an answer loses as requests get
 * harder, how noisy a reading is, and how noisy a hint is. Slope and noise are taken from a small
 * fixed grid. Every belief about a version is kept for each point of that grid, so that limits and
 * scale are fitted together: fitted in turns they settle on a wrong pair that agrees with itself.
 * Between the points of the grid a parabola through the best one and its neighbours is used.
 * The hint's noise follows from the spread of all hints, for difficulty spreads evenly over 0 to 1.
 */

/** Points that a score falls from difficulty 0 to 1. */
const slopeGrid = [18, 22, 26, 31, 37, 45, 54, 65, 78, 94, 112]
/** Standard deviations of a reading, points. */
const noiseGrid = [3, 4, 5.4, 7.3, 9.9, 13.3, 18]
const initialPoint: ScalePoint = { slope: 45, noise: 9.9 }
/** Slope and noise are rounded to this part, so that small changes need no learning again. */
const logRoundingStep = 0.04
const uniformVariance = 1 / 12
const minimumHintNoise = 0.02
const initialHintNoise = 0.2
const minimumHintsForNoise = 300
/** Hints that count fully before older ones fade. */
const decayHorizonHints = 20_000

/** One point of the grid. */
export interface ScalePoint {
  readonly slope: number
  readonly noise: number
}

/** The grid of slopes and noises. */
export const scalePoints: readonly ScalePoint[] = slopeGrid.flatMap(slope => noiseGrid.map(noise => ({ slope, noise })))

/** The learned scale of ratings and hints. */
export class RatingScale {
  readonly #profiles = new Map<string, Float64Array>()
  #peerLikelihood = new Float64Array(scalePoints.length)
  #point = initialPoint
  #revision = 0
  #hintCount = 0
  #hintMean = 0.5
  #hintVariance = 0

  /** Grows when slope or noise change, so that what was derived from them is stale. */
  get revision (): number {
    return this.#revision
  }

  /** The present slope and noise. */
  get point (): ScalePoint {
    return this.#point
  }

  /** Standard deviation of a hint, in difficulty. */
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
   * Replaces what one belief says of the grid.
   *
   * @param beliefKey names the belief among this daemon's own
   * @param profile the logarithm of its ratings' likelihood at each point
   */
  setProfile (beliefKey: string, profile: Float64Array): void {
    this.#profiles.set(beliefKey, profile)
    this.#fitPoint()
  }

  /** What this daemon's own ratings say of the grid, for other daemons. */
  ownLikelihood (): Float32Array {
    const own = this.#sumProfiles()
    const highest = Math.max(...own)
    return Float32Array.from(own, logarithm => logarithm - highest)
  }

  /** Replaces what is known from other daemons' ratings. */
  setPeerLikelihoods (likelihoods: readonly Float32Array[]): void {
    this.#peerLikelihood = new Float64Array(scalePoints.length)
    for (const likelihood of likelihoods) addTerms(this.#peerLikelihood, likelihood)
    this.#fitPoint()
  }

  #sumProfiles (): Float64Array {
    const sum = new Float64Array(scalePoints.length)
    for (const profile of this.#profiles.values()) addTerms(sum, profile)
    return sum
  }

  #fitPoint (): void {
    const total = this.#sumProfiles()
    addTerms(total, this.#peerLikelihood)
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

/** The peak of the parabola, over the logarithms of values, through the best one and its neighbours. */
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
