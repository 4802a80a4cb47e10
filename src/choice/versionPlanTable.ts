/**
 * The plans for one kind of request and one set of versions, by hint and by what a good answer is
 * worth. The table answers two questions fast: the plan for a request, and the worth at which a
 * mix of requests reaches a goal. Plans are made when first asked for; the table is thrown away
 * when the beliefs that it was made from have moved.
 */
import { planCascade, planSingle, type PlannedCascade, type VersionOutlook } from './cascadePlanner.ts'

/** What a request allows a plan to do. */
export const PlanMode = {
  /** One version, unrated before its release. */
  Single: 0,
  /** Answers may wait for ratings. */
  Cascade: 1,
  /** As single, and later turns will be bound to the version. */
  SingleBound: 2,
  /** As cascade, and later turns will be bound to the version that is released. */
  CascadeBound: 3
} as const
export type PlanMode = typeof PlanMode[keyof typeof PlanMode]

const modeCount = 4
const hintLowest = -0.5
const hintStep = 0.125
const hintBins = 17
/** Hint bins and one for requests without a hint. */
const contextBins = hintBins + 1
const levelCount = 18
/** The lowest worth, in attempts of the cheapest version, and the highest, in attempts of the dearest. */
const lowestWorth = 0.5
const highestWorth = 60

/** What the table is made from. */
export interface PlanGround {
  /** Cheapest first; at least one. */
  readonly outlooks: readonly VersionOutlook[]
  readonly ratingCost: number
  /** Mean later turns of a session. */
  readonly boundTurns: number
  readonly weightsOf: (hint: number | undefined) => Float64Array
}

/** How often each mode and hint came up; older requests fade. */
export class ContextCounts {
  readonly counts = new Float64Array(modeCount * contextBins)
  total = 0
  readonly #kept: number

  /** @param memory requests that count fully before older ones fade */
  constructor (memory: number) {
    this.#kept = 1 - 1 / memory
  }

  /** The share of requests whose answers may wait for ratings. */
  get cascadeShare (): number {
    let cascades = 0
    for (const [index, count] of this.counts.entries()) {
      const mode = Math.floor(index / contextBins)
      if (mode === PlanMode.Cascade || mode === PlanMode.CascadeBound) cascades += count
    }
    return this.total > 0 ? cascades / this.total : 0
  }

  add (mode: PlanMode, hint: number | undefined): void {
    for (let index = 0; index < this.counts.length; index++) this.counts[index]! *= this.#kept
    this.counts[mode * contextBins + contextBin(hint)]! += 1
    this.total = this.total * this.#kept + 1
  }
}

/** Plans by mode, hint and level of worth. */
export class PlanTable {
  readonly #ground: PlanGround
  readonly #plans = new Map<number, PlannedCascade>()
  readonly #lowest: number
  readonly #ratio: number

  constructor (ground: PlanGround) {
    this.#ground = ground
    this.#lowest = lowestWorth * ground.outlooks[0]!.cost
    const highest = highestWorth * ground.outlooks.at(-1)!.cost
    this.#ratio = (highest / this.#lowest) ** (1 / (levelCount - 1))
  }

  /** The plan at a whole level of worth. */
  plan (mode: PlanMode, hint: number | undefined, level: number): PlannedCascade {
    return this.#planAt(mode, contextBin(hint), level)
  }

  /** The level of a worth in cost units, within the table's range. */
  levelOf (worth: number): number {
    const level = Math.log(Math.max(worth, this.#lowest) / this.#lowest) / Math.log(this.#ratio)
    return Math.min(levelCount - 1, level)
  }

  /**
   * The level of worth at which a mix of requests reaches a goal; the fraction between two levels
   * is the chance to take the upper one.
   */
  levelFor (goal: number, contexts: readonly ContextCounts[], weights: readonly number[]): number {
    const mix = mixOf(contexts, weights)
    let below = 0
    let above = levelCount - 1
    if (this.#share(mix, below) >= goal) return below
    if (this.#share(mix, above) <= goal) return above
    while (above - below > 1) {
      const middle = (below + above) >> 1
      if (this.#share(mix, middle) >= goal) above = middle
      else below = middle
    }
    const low = this.#share(mix, below)
    const high = this.#share(mix, above)
    return below + (goal - low) / (high - low)
  }

  #share (mix: Float64Array, level: number): number {
    let good = 0
    let requests = 0
    for (let index = 0; index < mix.length; index++) {
      const weight = mix[index]!
      if (weight < smallestWeight) continue
      const mode = Math.floor(index / contextBins) as PlanMode
      const plan = this.#planAt(mode, index % contextBins, level)
      good += weight * (plan.expectedGood + plan.boundGood)
      requests += weight * (1 + this.#boundTurns(mode))
    }
    return requests > 0 ? good / requests : 1
  }

  #boundTurns (mode: PlanMode): number {
    return mode === PlanMode.SingleBound || mode === PlanMode.CascadeBound ? this.#ground.boundTurns : 0
  }

  #planAt (mode: PlanMode, bin: number, level: number): PlannedCascade {
    const key = (mode * contextBins + bin) * levelCount + level
    const known = this.#plans.get(key)
    if (known) return known
    const plan = this.#make(mode, bin, level)
    this.#plans.set(key, plan)
    return plan
  }

  #make (mode: PlanMode, bin: number, level: number): PlannedCascade {
    const { outlooks, ratingCost, weightsOf } = this.#ground
    const weights = weightsOf(hintOfBin(bin))
    const cascade = mode === PlanMode.Cascade || mode === PlanMode.CascadeBound
    const worth = this.#lowest * this.#ratio ** level
    return planCascade(weights, outlooks, { worth, ratingCost, cascade, boundTurns: this.#boundTurns(mode) })
  }

  /** The chance that an answer of one version is good, for a request that leaves no choice. */
  chanceOf (outlook: VersionOutlook, hint: number | undefined): number {
    const weights = this.#ground.weightsOf(hint)
    return planSingle(weights, outlook, { worth: 0, ratingCost: 0, cascade: false, boundTurns: 0 }).expectedGood
  }
}

/** Contexts rarer than this don't move a level. */
const smallestWeight = 2e-3

function mixOf (contexts: readonly ContextCounts[], weights: readonly number[]): Float64Array {
  const mix = new Float64Array(modeCount * contextBins)
  for (const [index, context] of contexts.entries()) {
    if (context.total === 0) continue
    const scale = weights[index]! / context.total
    for (let entry = 0; entry < mix.length; entry++) mix[entry]! += context.counts[entry]! * scale
  }
  return mix
}

function contextBin (hint: number | undefined): number {
  if (hint === undefined) return hintBins
  const bin = Math.round((hint - hintLowest) / hintStep)
  return Math.min(hintBins - 1, Math.max(0, bin))
}

function hintOfBin (bin: number): number | undefined {
  return bin === hintBins ? undefined : hintLowest + bin * hintStep
}
