/**
 * Plans one request: which versions to try, and from which rating on an answer is released. A good
 * answer is worth a number of cost units; the plan with the highest expected worth less cost wins.
 * Ratings are reasoned about in bins: after each bin the difficulty's weights change, and with them
 * the worth of releasing, of a further version and of a further rating. Because a higher rating
 * only makes release more attractive, the best decisions form ranges, which a plan's thresholds say.
 */
import type { VersionName } from '../contract/index.ts'
import { cellCount } from './ratingGrid.ts'
import type { PlanStep } from './contract.ts'

/** Width of a rating bin, points. */
export const ratingBinPoints = 5
export const ratingBinCount = 20

/** What planning knows of a version for a kind of request. */
export interface VersionOutlook {
  readonly version: VersionName
  /** Cost units of one attempt. */
  readonly cost: number
  /** The chance of a good answer, by cell of difficulty. */
  readonly goodByCell: Float64Array
  /** The chance of each rating bin, by cell: `bin * cellCount + cell`. */
  readonly ratingByCell: Float64Array
  /** The chance of a good answer over the kind's whole mix. */
  readonly goodOverall: number
}

/** What a plan is weighed by. */
export interface PlanTerms {
  /** Cost units that one more good answer is worth. */
  readonly worth: number
  /** Cost units of a rating. */
  readonly ratingCost: number
  /** Whether an answer may wait for its rating. */
  readonly cascade: boolean
  /** Later requests that will be bound to the version that is released. */
  readonly boundTurns: number
}

/** A plan and what is expected of it. */
export interface PlannedCascade {
  readonly steps: readonly PlanStep[]
  /** The chance that the released answer is good. */
  readonly expectedGood: number
  /** Expected good answers among the bound turns. */
  readonly boundGood: number
  /** Expected cost units of this request alone. */
  readonly expectedCost: number
  /** Worth less cost, bound turns included. */
  readonly value: number
}

/** A range of ratings rarer than this is not worth a decision of its own. */
const smallestMass = 1e-3

const Action = {
  Release: 0,
  Middle: 1,
  Last: 2
} as const
type Action = typeof Action[keyof typeof Action]

interface Totals {
  good: number
  boundGood: number
  cost: number
  value: number
}

/**
 * Plans one request.
 *
 * @param weights what is known of its difficulty, by cell; they sum to 1
 * @param outlooks the versions that may be used, cheapest first; at least one
 * @example
 * const { steps } = planCascade(model.weights(hint, []), outlooks, { worth: 900, ratingCost: 60, cascade: true, boundTurns: 0 })
 */
export function planCascade (weights: Float64Array, outlooks: readonly VersionOutlook[], terms: PlanTerms): PlannedCascade {
  let best = planSingle(weights, outlooks[0]!, terms)
  for (const outlook of outlooks.slice(1)) best = better(best, planSingle(weights, outlook, terms))
  if (!terms.cascade) return best
  for (let first = 0; first < outlooks.length - 1; first++) {
    for (let last = first + 1; last < outlooks.length; last++) {
      // With a version between the two, the chain of three can leave it out by rating.
      if (last === first + 1) best = better(best, planChain(weights, [outlooks[first]!, outlooks[last]!], terms))
      for (let middle = first + 1; middle < last; middle++) {
        best = better(best, planChain(weights, [outlooks[first]!, outlooks[middle]!, outlooks[last]!], terms))
      }
    }
  }
  return best
}

/** Plans a request for one version, unrated. */
export function planSingle (weights: Float64Array, outlook: VersionOutlook, terms: PlanTerms): PlannedCascade {
  const totals = newTotals()
  totals.cost = outlook.cost
  totals.value = -outlook.cost
  release(totals, weights, outlook, terms)
  return planned([{ version: outlook.version, releaseAtRating: undefined, rateAfterwards: false }], totals)
}

/** Plans a chain of two or three versions, each but the last rated before its release. */
export function planChain (weights: Float64Array, chain: readonly VersionOutlook[], terms: PlanTerms): PlannedCascade {
  const [first, second, third] = chain as [VersionOutlook, VersionOutlook, VersionOutlook | undefined]
  const totals = newTotals()
  const toMiddle = new Float64Array(cellCount)
  const toLast = new Float64Array(cellCount)
  const ranges = splitRated(totals, weights, [first, second, third], terms, toMiddle, toLast)
  const firstStep = stepOf(first, ranges)
  if (!third) {
    payUnrated(totals, toMiddle, second)
    release(totals, toMiddle, second, terms)
    return planned([firstStep, lastStep(second)], totals)
  }
  const middleRanges = splitRated(totals, toMiddle, [second, third, undefined], terms, toLast, toLast)
  payUnrated(totals, toLast, third)
  release(totals, toLast, third, terms)
  return planned([firstStep, stepOf(second, middleRanges), lastStep(third)], totals)
}

/** Pays for a rated attempt and splits what follows it into released, next and last. */
function splitRated (
  totals: Totals,
  weights: Float64Array,
  [current, next, last]: readonly [VersionOutlook, VersionOutlook, VersionOutlook | undefined],
  terms: PlanTerms,
  toNext: Float64Array,
  toLast: Float64Array
): Ranges {
  payRated(totals, weights, current, terms)
  const bin = new Float64Array(cellCount)
  const actions: Action[] = []
  for (let index = 0; index < ratingBinCount; index++) {
    fillBin(bin, weights, current, index)
    actions.push(bestAction(bin, current, next, last, terms))
  }
  const ranges = rangesOf(actions)
  for (let index = 0; index < ratingBinCount; index++) {
    const action = actionIn(ranges, index)
    fillBin(bin, weights, current, index)
    if (action === Action.Release) release(totals, bin, current, terms)
    else addTo(action === Action.Middle ? toNext : toLast, bin)
  }
  return ranges
}

/** Bins from `releaseFrom` on release; those below `giveUpBelow` too; those below `skipBelow` skip a step. */
interface Ranges {
  readonly releaseFrom: number
  readonly skipBelow: number
  readonly giveUpBelow: number
}

function rangesOf (actions: readonly Action[]): Ranges {
  const lastEscalated = actions.findLastIndex(action => action !== Action.Release)
  if (lastEscalated < 0) return { releaseFrom: 0, skipBelow: 0, giveUpBelow: 0 }
  const giveUpBelow = actions.findIndex(action => action !== Action.Release)
  const lastSkipped = actions.findLastIndex(action => action === Action.Last)
  return { releaseFrom: lastEscalated + 1, skipBelow: lastSkipped + 1, giveUpBelow }
}

function actionIn (ranges: Ranges, bin: number): Action {
  if (bin >= ranges.releaseFrom || bin < ranges.giveUpBelow) return Action.Release
  return bin < ranges.skipBelow ? Action.Last : Action.Middle
}

function stepOf (outlook: VersionOutlook, ranges: Ranges): PlanStep {
  return {
    version: outlook.version,
    releaseAtRating: ranges.releaseFrom * ratingBinPoints,
    rateAfterwards: false,
    skipNextBelowRating: ranges.skipBelow * ratingBinPoints,
    giveUpBelowRating: ranges.giveUpBelow * ratingBinPoints
  }
}

function lastStep (outlook: VersionOutlook): PlanStep {
  return { version: outlook.version, releaseAtRating: undefined, rateAfterwards: false }
}

function bestAction (weights: Float64Array, current: VersionOutlook, next: VersionOutlook, last: VersionOutlook | undefined, terms: PlanTerms): Action {
  const mass = massOf(weights)
  if (mass < smallestMass) return Action.Release
  const released = releaseValue(weights, mass, current, terms)
  if (!last) return released >= releaseValue(weights, mass, next, terms) - mass * next.cost ? Action.Release : Action.Middle
  const skipped = releaseValue(weights, mass, last, terms) - mass * last.cost
  const middle = ratedValue(weights, mass, next, last, terms)
  if (released >= skipped && released >= middle) return Action.Release
  return middle >= skipped ? Action.Middle : Action.Last
}

/** The value of a rated attempt on `current` that is followed, where that pays, by one on `last`. */
function ratedValue (weights: Float64Array, mass: number, current: VersionOutlook, last: VersionOutlook, terms: PlanTerms): number {
  const { worth } = terms
  const boundCurrent = terms.boundTurns * (worth * current.goodOverall - current.cost)
  const boundLast = terms.boundTurns * (worth * last.goodOverall - last.cost) - last.cost
  let value = -mass * (current.cost + terms.ratingCost)
  for (let start = 0; start < ratingBinCount * cellCount; start += cellCount) {
    let binMass = 0
    let currentGood = 0
    let lastGood = 0
    for (let cell = 0; cell < cellCount; cell++) {
      const weight = weights[cell]! * current.ratingByCell[start + cell]!
      binMass += weight
      currentGood += weight * current.goodByCell[cell]!
      lastGood += weight * last.goodByCell[cell]!
    }
    value += Math.max(worth * currentGood + binMass * boundCurrent, worth * lastGood + binMass * boundLast)
  }
  return value
}

function releaseValue (weights: Float64Array, mass: number, outlook: VersionOutlook, terms: PlanTerms): number {
  const bound = terms.boundTurns === 0 ? 0 : terms.boundTurns * mass * (terms.worth * outlook.goodOverall - outlook.cost)
  return terms.worth * goodOf(weights, outlook) + bound
}

function release (totals: Totals, weights: Float64Array, outlook: VersionOutlook, terms: PlanTerms): void {
  const mass = massOf(weights)
  totals.good += goodOf(weights, outlook)
  totals.boundGood += terms.boundTurns * mass * outlook.goodOverall
  totals.value += releaseValue(weights, mass, outlook, terms)
}

function payRated (totals: Totals, weights: Float64Array, outlook: VersionOutlook, terms: PlanTerms): void {
  pay(totals, massOf(weights) * (outlook.cost + terms.ratingCost))
}

function payUnrated (totals: Totals, weights: Float64Array, outlook: VersionOutlook): void {
  pay(totals, massOf(weights) * outlook.cost)
}

function pay (totals: Totals, cost: number): void {
  totals.cost += cost
  totals.value -= cost
}

function fillBin (bin: Float64Array, weights: Float64Array, outlook: VersionOutlook, index: number): void {
  const start = index * cellCount
  for (let cell = 0; cell < cellCount; cell++) bin[cell] = weights[cell]! * outlook.ratingByCell[start + cell]!
}

function massOf (weights: Float64Array): number {
  let mass = 0
  for (let cell = 0; cell < cellCount; cell++) mass += weights[cell]!
  return mass
}

function goodOf (weights: Float64Array, outlook: VersionOutlook): number {
  let good = 0
  for (let cell = 0; cell < cellCount; cell++) good += weights[cell]! * outlook.goodByCell[cell]!
  return good
}

function addTo (sum: Float64Array, weights: Float64Array): void {
  for (let cell = 0; cell < cellCount; cell++) sum[cell]! += weights[cell]!
}

function newTotals (): Totals {
  return { good: 0, boundGood: 0, cost: 0, value: 0 }
}

function planned (steps: readonly PlanStep[], totals: Totals): PlannedCascade {
  return { steps, expectedGood: totals.good, boundGood: totals.boundGood, expectedCost: totals.cost, value: totals.value }
}

function better (left: PlannedCascade, right: PlannedCascade): PlannedCascade {
  return right.value > left.value ? right : left
}
