/**
 * Watches a roll-out by a sequential test. Old and new versions serve the same kinds of work, so
 * ratings are compared within a kind and at like hints, by a regression over the old version's. The
 * evidence for harm is a mean, over several sizes of harm, of the likelihood ratio of the observed
 * difference of means between "worse by that much" and "not worse"; the difference's variance holds
 * the old version's own uncertainty, for an error there is common to all later ratings. Such a ratio
 * is an e-process: by Ville's inequality it passes 1/α for a version that is not worse with a chance
 * of at most α however often it is looked at, which bounds false halts. The same ratio for one size
 * of harm, with the evidence since the last step, says when that harm is refuted and a step may be
 * taken. Attempts that fail are a test of their own, of two shares, in the same form.
 */
import type { VersionName } from '../contract/index.ts'
import { type RollOutEvidence, type RollOutGuard, RollOutVerdict } from './contract.ts'
import { type RatingSums, RollOutRegression, defaultHint } from './rollOutRegression.ts'

/** What the guard is made with. */
export interface SequentialRollOutGuardOptions {
  readonly from: VersionName
  readonly to: VersionName
  /** The chance of halting a roll-out of a version that is not worse. */
  readonly falseHaltRate?: number
  /** The drop of ratings that must be found, points. */
  readonly harmPoints?: number
  /** The chance of taking a step although the version is worse by `harmPoints`. */
  readonly missedHarmRate?: number
}

const defaultFalseHaltRate = 0.002
const defaultHarmPoints = 10
const defaultMissedHarmRate = 0.02
/** Sizes of harm that are looked for, in standard deviations of an adjusted rating. */
const harmDeviations = [0.25, 0.5, 1, 1.5, 2] as const
/** Part of the allowance for false halts that failures get. */
const failureTestShare = 0.3
/** Shares of failures on the new version, beyond the old one's, that are looked for. */
const failureRateIncreases = [0.05, 0.2, 0.5] as const
/** Ratings of both versions before the regression is relied on. */
const minimumBaselineRatings = 12
/** A rating further off than this counts as this far off. */
const maximumRatingDeviations = 3
/** Ratings of the new version without which no step is taken. */
const minimumRatingsForStep = 12

/** The guard that a steward or a daemon runs for one roll-out. */
export class SequentialRollOutGuard implements RollOutGuard {
  readonly #from: VersionName
  readonly #to: VersionName
  readonly #haltThreshold: number
  readonly #failureHaltThreshold: number
  readonly #advanceThreshold: number
  readonly #harmPoints: number
  readonly #regression = new RollOutRegression()
  readonly #pending: RollOutEvidence[] = []
  readonly #sums = new Map<string, RatingSums>()
  readonly #stepSums = new Map<string, RatingSums>()
  readonly #failureLogRatios = new Float64Array(failureRateIncreases.length)
  #halted = false
  #oldAttempts = 0
  #oldFailures = 0

  constructor (options: SequentialRollOutGuardOptions) {
    const falseHaltRate = options.falseHaltRate ?? defaultFalseHaltRate
    this.#from = options.from
    this.#to = options.to
    this.#haltThreshold = -Math.log(falseHaltRate * (1 - failureTestShare))
    this.#failureHaltThreshold = -Math.log(falseHaltRate * failureTestShare)
    this.#advanceThreshold = -Math.log(options.missedHarmRate ?? defaultMissedHarmRate)
    this.#harmPoints = options.harmPoints ?? defaultHarmPoints
  }

  /** Whether the roll-out is to be stopped; once true it stays so. */
  get halted (): boolean {
    return this.#halted
  }

  observe (evidence: RollOutEvidence): void {
    if (evidence.version !== this.#from && evidence.version !== this.#to) return
    this.#observeFailure(evidence)
    if (evidence.rating === undefined) return
    if (evidence.version === this.#from) this.#regression.learn(evidence.kind, evidence.difficultyHint, evidence.rating)
    else this.#pending.push(evidence)
    this.#testPending()
  }

  /** Says what to do; after `Advance` the evidence for the next step starts anew. */
  verdict (): RollOutVerdict {
    if (this.#halted) return RollOutVerdict.Halt
    if (!this.#harmRefuted()) return RollOutVerdict.Continue
    this.#stepSums.clear()
    return RollOutVerdict.Advance
  }

  #harmRefuted (): boolean {
    let count = 0
    let logRatio = 0
    for (const [kind, rated] of this.#stepSums) {
      const { deviation } = this.#regression.predict(kind, undefined)
      count += rated.count
      logRatio += this.#logLikelihoodRatio(kind, rated, this.#harmPoints / deviation)
    }
    return count >= minimumRatingsForStep && logRatio <= -this.#advanceThreshold
  }

  /** Tests ratings of the new version once the old one's are known for their kind. */
  #testPending (): void {
    const ready = this.#pending.filter(({ kind }) => this.#regression.ratingCount(kind) >= minimumBaselineRatings)
    if (ready.length === 0) return
    const rest = this.#pending.filter(evidence => !ready.includes(evidence))
    this.#pending.splice(0, this.#pending.length, ...rest)
    for (const { kind, difficultyHint, rating } of ready) this.#testRating(kind, difficultyHint, rating!)
  }

  #testRating (kind: string, hint: number | undefined, rating: number): void {
    const { expected, deviation } = this.#regression.predict(kind, hint)
    const bounded = expected + clamp(rating - expected, maximumRatingDeviations * deviation)
    addToSums(this.#sums, kind, hint, bounded)
    addToSums(this.#stepSums, kind, hint, bounded)
    const logRatios = Float64Array.from(harmDeviations, size => {
      return [...this.#sums].reduce((sum, [ratedKind, rated]) => sum + this.#logLikelihoodRatio(ratedKind, rated, size), 0)
    })
    if (logMeanExp(logRatios) >= this.#haltThreshold) this.#halted = true
  }

  /** The logarithm of the likelihood ratio of a harm, in standard deviations of a rating, against none. */
  #logLikelihoodRatio (kind: string, rated: RatingSums, size: number): number {
    const { shortfall, variance } = this.#regression.shortfallOf(kind, rated)
    return (size * shortfall - size * size / 2) / variance
  }

  #observeFailure ({ version, rating }: RollOutEvidence): void {
    const failed = rating === undefined
    if (version === this.#from) {
      this.#oldAttempts += 1
      this.#oldFailures += failed ? 1 : 0
      return
    }
    const baselineRate = (this.#oldFailures + 1) / (this.#oldAttempts + 2)
    if (this.#oldAttempts < minimumBaselineRatings) return
    for (const [index, size] of failureRateIncreases.entries()) {
      const harmedRate = baselineRate + (1 - baselineRate) * size
      this.#failureLogRatios[index]! += failed ? Math.log(harmedRate / baselineRate) : Math.log((1 - harmedRate) / (1 - baselineRate))
    }
    if (logMeanExp(this.#failureLogRatios) >= this.#failureHaltThreshold) this.#halted = true
  }
}

function addToSums (sums: Map<string, RatingSums>, kind: string, hint: number | undefined, rating: number): void {
  const { count, hintSum: hints, ratingSum: ratings } = sums.get(kind) ?? { count: 0, hintSum: 0, ratingSum: 0 }
  sums.set(kind, { count: count + 1, hintSum: hints + (hint ?? defaultHint), ratingSum: ratings + rating })
}

function clamp (value: number, limit: number): number {
  return Math.min(limit, Math.max(-limit, value))
}

function logMeanExp (logarithms: Float64Array): number {
  const highest = Math.max(...logarithms)
  const sum = logarithms.reduce((total, logarithm) => total + Math.exp(logarithm - highest), 0)
  return highest + Math.log(sum / logarithms.length)
}
