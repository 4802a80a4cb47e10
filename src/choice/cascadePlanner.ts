/**
 * Plans one request: which versions to try, and the rating from which an answer is released. A good
 * answer has a value in cost units; the plan with the highest expected value minus cost is chosen.
 * Ratings are grouped into bins. Each bin updates the distribution over difficulty, and with it the
 * values of releasing the answer, of trying another version and of rating again. A higher rating only
 * makes release more attractive, so the best actions form ranges, which a plan stores as thresholds.
 */
import type { VersionName } from '../contract/index.ts'
import { cellCount } from './ratingGrid.ts'
import type { PlanStep } from './contract.ts'

/** Width of a rating bin, in points. */
export const ratingBinPoints = 5
export const ratingBinCount = 20

/** Cost and quality of a version for a kind of request. */
export interface VersionEstimate {
  readonly version: VersionName
  /** Cost units of one attempt. */
  readonly cost: number
  /** Probability of a good answer, by difficulty cell. */
  readonly goodProbabilityByCell: Float64Array
  /** Probability of each rating bin by difficulty cell, at index `bin * cellCount + cell`. */
  readonly ratingProbabilityByCell: Float64Array
  /** Probability of a good answer, averaged over all difficulties of the kind. */
  readonly meanGoodProbability: number
}

/** Values and limits that plans are compared by. */
export interface PlanParameters {
  /** Value of one more good answer, in cost units. */
  readonly goodAnswerValue: number
  /** Cost units of a rating. */
  readonly ratingCost: number
  /** Whether an answer may wait for its rating. */
  readonly allowCascade: boolean
  /** Expected later requests that will be pinned to the version whose answer is released. */
  readonly pinnedTurns: number
}

/** A plan with its expected quality and cost. */
export interface PlannedCascade {
  readonly steps: readonly PlanStep[]
  /** Probability that the released answer is good. */
  readonly expectedGood: number
  /** Expected number of good answers among the pinned turns. */
  readonly expectedPinnedGood: number
  /** Expected cost units of this request alone. */
  readonly expectedCost: number
  /** Expected value minus cost, including the pinned turns. */
  readonly netValue: number
}

/** Rating bins less probable than this are released without comparing actions. */
const minimumBinProbability = 1e-3

const Action = {
  Release: 0,
  Next: 1,
  Last: 2
} as const
type Action = typeof Action[keyof typeof Action]

interface Totals {
  good: number
  pinnedGood: number
  cost: number
  netValue: number
}

/**
 * Plans one request.
 *
 * @param weights probability of each difficulty cell; they sum to 1
 * @param estimates the versions that may be used, cheapest first; at least one
 * @example
 * const { steps } = planCascade(model.difficultyWeights(hint, []), estimates, { goodAnswerValue: 900, ratingCost: 60, allowCascade: true, pinnedTurns: 0 })
 */
export function planCascade (weights: Float64Array, estimates: readonly VersionEstimate[], parameters: PlanParameters): PlannedCascade {
  let best = planSingle(weights, estimates[0]!, parameters)
  for (const estimate of estimates.slice(1)) best = betterPlan(best, planSingle(weights, estimate, parameters))
  if (!parameters.allowCascade) return best
  for (let first = 0; first < estimates.length - 1; first++) {
    for (let last = first + 1; last < estimates.length; last++) {
      // Where versions lie between the two, a chain of three can skip its middle one by rating.
      if (last === first + 1) best = betterPlan(best, planChain(weights, [estimates[first]!, estimates[last]!], parameters))
      for (let middle = first + 1; middle < last; middle++) {
        best = betterPlan(best, planChain(weights, [estimates[first]!, estimates[middle]!, estimates[last]!], parameters))
      }
    }
  }
  return best
}

/** Plans a request on one version, released without a rating. */
export function planSingle (weights: Float64Array, estimate: VersionEstimate, parameters: PlanParameters): PlannedCascade {
  const totals = newTotals()
  totals.cost = estimate.cost
  totals.netValue = -estimate.cost
  release(totals, weights, estimate, parameters)
  return toPlannedCascade([{ version: estimate.version, releaseAtRating: undefined, rateAfterwards: false }], totals)
}

/** Plans a chain of two or three versions; every answer but the last is rated before its release. */
export function planChain (weights: Float64Array, chain: readonly VersionEstimate[], parameters: PlanParameters): PlannedCascade {
  const [first, second, third] = chain as [VersionEstimate, VersionEstimate, VersionEstimate | undefined]
  const totals = newTotals()
  const middleWeights = new Float64Array(cellCount)
  const lastWeights = new Float64Array(cellCount)
  const ranges = splitByRating(totals, weights, [first, second, third], parameters, middleWeights, lastWeights)
  const firstStep = ratedStep(first, ranges)
  if (!third) {
    addUnratedCost(totals, middleWeights, second)
    release(totals, middleWeights, second, parameters)
    return toPlannedCascade([firstStep, lastStep(second)], totals)
  }
  const middleRanges = splitByRating(totals, middleWeights, [second, third, undefined], parameters, lastWeights, lastWeights)
  addUnratedCost(totals, lastWeights, third)
  release(totals, lastWeights, third, parameters)
  return toPlannedCascade([firstStep, ratedStep(second, middleRanges), lastStep(third)], totals)
}

/** Adds the cost of a rated attempt and splits its outcomes into released, next version and last version. */
function splitByRating (
  totals: Totals,
  weights: Float64Array,
  [current, next, last]: readonly [VersionEstimate, VersionEstimate, VersionEstimate | undefined],
  parameters: PlanParameters,
  nextWeights: Float64Array,
  lastWeights: Float64Array
): ActionRanges {
  addRatedCost(totals, weights, current, parameters)
  const binWeights = new Float64Array(cellCount)
  const actions: Action[] = []
  for (let index = 0; index < ratingBinCount; index++) {
    fillBinWeights(binWeights, weights, current, index)
    actions.push(bestAction(binWeights, current, next, last, parameters))
  }
  const ranges = rangesOf(actions)
  for (let index = 0; index < ratingBinCount; index++) {
    const action = actionIn(ranges, index)
    fillBinWeights(binWeights, weights, current, index)
    if (action === Action.Release) release(totals, binWeights, current, parameters)
    else addWeights(action === Action.Next ? nextWeights : lastWeights, binWeights)
  }
  return ranges
}

/** Bins from `releaseFromBin` upwards and bins below `releaseBelowBin` release; other bins below `skipBelowBin` skip a step. */
interface ActionRanges {
  readonly releaseFromBin: number
  readonly skipBelowBin: number
  readonly releaseBelowBin: number
}

function rangesOf (actions: readonly Action[]): ActionRanges {
  const lastEscalated = actions.findLastIndex(action => action !== Action.Release)
  if (lastEscalated < 0) return { releaseFromBin: 0, skipBelowBin: 0, releaseBelowBin: 0 }
  const giveUpBelow = actions.findIndex(action => action !== Action.Release)
  const lastSkipped = actions.findLastIndex(action => action === Action.Last)
  return { releaseFromBin: lastEscalated + 1, skipBelowBin: lastSkipped + 1, releaseBelowBin: giveUpBelow }
}

function actionIn (ranges: ActionRanges, bin: number): Action {
  if (bin >= ranges.releaseFromBin || bin < ranges.releaseBelowBin) return Action.Release
  return bin < ranges.skipBelowBin ? Action.Last : Action.Next
}

function ratedStep (estimate: VersionEstimate, ranges: ActionRanges): PlanStep {
  return {
    version: estimate.version,
    releaseAtRating: ranges.releaseFromBin * ratingBinPoints,
    rateAfterwards: false,
    skipNextBelowRating: ranges.skipBelowBin * ratingBinPoints,
    releaseBelowRating: ranges.releaseBelowBin * ratingBinPoints
  }
}

function lastStep (estimate: VersionEstimate): PlanStep {
  return { version: estimate.version, releaseAtRating: undefined, rateAfterwards: false }
}

function bestAction (weights: Float64Array, current: VersionEstimate, next: VersionEstimate, last: VersionEstimate | undefined, parameters: PlanParameters): Action {
  const mass = probabilityMass(weights)
  if (mass < minimumBinProbability) return Action.Release
  const released = releaseValue(weights, mass, current, parameters)
  if (!last) return released >= releaseValue(weights, mass, next, parameters) - mass * next.cost ? Action.Release : Action.Next
  const skipped = releaseValue(weights, mass, last, parameters) - mass * last.cost
  const middle = ratedValue(weights, mass, next, last, parameters)
  if (released >= skipped && released >= middle) return Action.Release
  return middle >= skipped ? Action.Next : Action.Last
}

/** Value of a rated attempt on `current`, followed by one on `last` where that has the higher value. */
function ratedValue (weights: Float64Array, mass: number, current: VersionEstimate, last: VersionEstimate, parameters: PlanParameters): number {
  const { goodAnswerValue: worth } = parameters
  const pinnedCurrent = parameters.pinnedTurns * (worth * current.meanGoodProbability - current.cost)
  const pinnedLast = parameters.pinnedTurns * (worth * last.meanGoodProbability - last.cost) - last.cost
  let value = -mass * (current.cost + parameters.ratingCost)
  for (let start = 0; start < ratingBinCount * cellCount; start += cellCount) {
    let binMass = 0
    let currentGood = 0
    let lastGood = 0
    for (let cell = 0; cell < cellCount; cell++) {
      const weight = weights[cell]! * current.ratingProbabilityByCell[start + cell]!
      binMass += weight
      currentGood += weight * current.goodProbabilityByCell[cell]!
      lastGood += weight * last.goodProbabilityByCell[cell]!
    }
    value += Math.max(worth * currentGood + binMass * pinnedCurrent, worth * lastGood + binMass * pinnedLast)
  }
  return value
}

function releaseValue (weights: Float64Array, mass: number, estimate: VersionEstimate, parameters: PlanParameters): number {
  const pinnedValue = parameters.pinnedTurns === 0 ? 0 : parameters.pinnedTurns * mass * (parameters.goodAnswerValue * estimate.meanGoodProbability - estimate.cost)
  return parameters.goodAnswerValue * goodProbability(weights, estimate) + pinnedValue
}

function release (totals: Totals, weights: Float64Array, estimate: VersionEstimate, parameters: PlanParameters): void {
  const mass = probabilityMass(weights)
  totals.good += goodProbability(weights, estimate)
  totals.pinnedGood += parameters.pinnedTurns * mass * estimate.meanGoodProbability
  totals.netValue += releaseValue(weights, mass, estimate, parameters)
}

function addRatedCost (totals: Totals, weights: Float64Array, estimate: VersionEstimate, parameters: PlanParameters): void {
  addCost(totals, probabilityMass(weights) * (estimate.cost + parameters.ratingCost))
}

function addUnratedCost (totals: Totals, weights: Float64Array, estimate: VersionEstimate): void {
  addCost(totals, probabilityMass(weights) * estimate.cost)
}

function addCost (totals: Totals, cost: number): void {
  totals.cost += cost
  totals.netValue -= cost
}

function fillBinWeights (binWeights: Float64Array, weights: Float64Array, estimate: VersionEstimate, index: number): void {
  const start = index * cellCount
  for (let cell = 0; cell < cellCount; cell++) binWeights[cell] = weights[cell]! * estimate.ratingProbabilityByCell[start + cell]!
}

function probabilityMass (weights: Float64Array): number {
  let mass = 0
  for (let cell = 0; cell < cellCount; cell++) mass += weights[cell]!
  return mass
}

function goodProbability (weights: Float64Array, estimate: VersionEstimate): number {
  let good = 0
  for (let cell = 0; cell < cellCount; cell++) good += weights[cell]! * estimate.goodProbabilityByCell[cell]!
  return good
}

function addWeights (sum: Float64Array, weights: Float64Array): void {
  for (let cell = 0; cell < cellCount; cell++) sum[cell]! += weights[cell]!
}

function newTotals (): Totals {
  return { good: 0, pinnedGood: 0, cost: 0, netValue: 0 }
}

function toPlannedCascade (steps: readonly PlanStep[], totals: Totals): PlannedCascade {
  return { steps, expectedGood: totals.good, expectedPinnedGood: totals.pinnedGood, expectedCost: totals.cost, netValue: totals.netValue }
}

function betterPlan (left: PlannedCascade, right: PlannedCascade): PlannedCascade {
  return right.netValue > left.netValue ? right : left
}
