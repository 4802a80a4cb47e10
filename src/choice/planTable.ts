/**
 * Plans for one kind of request and one set of versions, by hint and by the value of a good answer.
 * The table answers two questions quickly: the plan for a request, and the value at which a mix of
 * requests reaches a quality goal. Plans are computed on first use; the table is discarded when the
 * estimates it is based on have changed.
 */
import { planCascade, planSingle, type PlannedCascade, type VersionEstimate } from './cascadePlanner.ts'

/** Kinds of plan that a request allows. */
export const PlanMode = {
  /** One version, released without a rating. */
  Single: 0,
  /** Answers may wait for ratings. */
  Cascade: 1,
  /** Like `Single`, and later turns will be pinned to the version. */
  SinglePinned: 2,
  /** Like `Cascade`, and later turns will be pinned to the version whose answer is released. */
  CascadePinned: 3
} as const
export type PlanMode = typeof PlanMode[keyof typeof PlanMode]

const modeCount = 4
const minimumHint = -0.5
const hintStep = 0.125
const hintBinCount = 17
/** Hint bins, plus one for requests without a hint. */
const allHintBinCount = hintBinCount + 1
const levelCount = 18
/** Range of values: the lowest in attempts on the cheapest version, the highest in attempts on the most expensive one. */
const minimumValueInAttempts = 0.5
const maximumValueInAttempts = 60

export interface PlanTableOptions {
  /** Cheapest first; at least one. */
  readonly estimates: readonly VersionEstimate[]
  readonly ratingCost: number
  /** Mean number of later turns of a session. */
  readonly pinnedTurns: number
  readonly difficultyWeights: (hint: number | undefined) => Float64Array
}

/** Frequency of each mode and hint; older requests decay. */
export class RequestMix {
  readonly counts = new Float64Array(modeCount * allHintBinCount)
  total = 0
  readonly #decay: number

  /** @param decayHorizon time constant of the decay, in requests */
  constructor (decayHorizon: number) {
    this.#decay = 1 - 1 / decayHorizon
  }

  /** Share of requests whose answers may wait for ratings. */
  get cascadeShare (): number {
    let cascades = 0
    for (const [index, count] of this.counts.entries()) {
      const mode = Math.floor(index / allHintBinCount)
      if (mode === PlanMode.Cascade || mode === PlanMode.CascadePinned) cascades += count
    }
    return this.total > 0 ? cascades / this.total : 0
  }

  add (mode: PlanMode, hint: number | undefined): void {
    for (let index = 0; index < this.counts.length; index++) this.counts[index]! *= this.#decay
    this.counts[mode * allHintBinCount + hintBin(hint)]! += 1
    this.total = this.total * this.#decay + 1
  }
}

/** Plans by mode, hint and value level. */
export class PlanTable {
  readonly #options: PlanTableOptions
  readonly #plans = new Map<number, PlannedCascade>()
  readonly #minimumValue: number
  readonly #levelRatio: number

  constructor (options: PlanTableOptions) {
    this.#options = options
    this.#minimumValue = minimumValueInAttempts * options.estimates[0]!.cost
    const maximumValue = maximumValueInAttempts * options.estimates.at(-1)!.cost
    this.#levelRatio = (maximumValue / this.#minimumValue) ** (1 / (levelCount - 1))
  }

  /** Returns the plan at an integer value level. */
  plan (mode: PlanMode, hint: number | undefined, level: number): PlannedCascade {
    return this.#planAt(mode, hintBin(hint), level)
  }

  /** Converts a value in cost units into a level within the range of the table. */
  levelOf (value: number): number {
    const level = Math.log(Math.max(value, this.#minimumValue) / this.#minimumValue) / Math.log(this.#levelRatio)
    return Math.min(levelCount - 1, level)
  }

  /**
   * Finds the value level at which a mix of requests reaches a goal. The fractional part is the
   * probability of using the upper of the two adjacent levels.
   */
  levelFor (goal: number, mixes: readonly RequestMix[], weights: readonly number[]): number {
    const mix = combineMixes(mixes, weights)
    let below = 0
    let above = levelCount - 1
    if (this.#goodShare(mix, below) >= goal) return below
    if (this.#goodShare(mix, above) <= goal) return above
    while (above - below > 1) {
      const middle = (below + above) >> 1
      if (this.#goodShare(mix, middle) >= goal) above = middle
      else below = middle
    }
    const low = this.#goodShare(mix, below)
    const high = this.#goodShare(mix, above)
    return below + (goal - low) / (high - low)
  }

  #goodShare (mix: Float64Array, level: number): number {
    let good = 0
    let requests = 0
    for (let index = 0; index < mix.length; index++) {
      const weight = mix[index]!
      if (weight < minimumMixWeight) continue
      const mode = Math.floor(index / allHintBinCount) as PlanMode
      const plan = this.#planAt(mode, index % allHintBinCount, level)
      good += weight * (plan.expectedGood + plan.expectedPinnedGood)
      requests += weight * (1 + this.#pinnedTurns(mode))
    }
    return requests > 0 ? good / requests : 1
  }

  #pinnedTurns (mode: PlanMode): number {
    return mode === PlanMode.SinglePinned || mode === PlanMode.CascadePinned ? this.#options.pinnedTurns : 0
  }

  #planAt (mode: PlanMode, bin: number, level: number): PlannedCascade {
    const key = (mode * allHintBinCount + bin) * levelCount + level
    const known = this.#plans.get(key)
    if (known) return known
    const plan = this.#makePlan(mode, bin, level)
    this.#plans.set(key, plan)
    return plan
  }

  #makePlan (mode: PlanMode, bin: number, level: number): PlannedCascade {
    const { estimates: candidates, ratingCost, difficultyWeights: weightsFor } = this.#options
    const weights = weightsFor(hintOfBin(bin))
    const cascade = mode === PlanMode.Cascade || mode === PlanMode.CascadePinned
    const worth = this.#minimumValue * this.#levelRatio ** level
    return planCascade(weights, candidates, { goodAnswerValue: worth, ratingCost, allowCascade: cascade, pinnedTurns: this.#pinnedTurns(mode) })
  }

  /** Probability of a good answer for a request whose version is fixed. */
  goodProbability (estimate: VersionEstimate, hint: number | undefined): number {
    const weights = this.#options.difficultyWeights(hint)
    return planSingle(weights, estimate, { goodAnswerValue: 0, ratingCost: 0, allowCascade: false, pinnedTurns: 0 }).expectedGood
  }
}

/** Entries of the mix below this weight are ignored when a level is computed. */
const minimumMixWeight = 2e-3

function combineMixes (mixes: readonly RequestMix[], weights: readonly number[]): Float64Array {
  const combined = new Float64Array(modeCount * allHintBinCount)
  for (const [index, mix] of mixes.entries()) {
    if (mix.total === 0) continue
    const scale = weights[index]! / mix.total
    for (let entry = 0; entry < combined.length; entry++) combined[entry]! += mix.counts[entry]! * scale
  }
  return combined
}

function hintBin (hint: number | undefined): number {
  if (hint === undefined) return hintBinCount
  const bin = Math.round((hint - minimumHint) / hintStep)
  return Math.min(hintBinCount - 1, Math.max(0, bin))
}

function hintOfBin (bin: number): number | undefined {
  return bin === hintBinCount ? undefined : minimumHint + bin * hintStep
}
