/**
 * Monitors a roll-out with a sequential test. Old and new versions serve the same kinds of requests, so
 * ratings are compared within a kind and at equal hints, by a regression on the old version's ratings.
 * The evidence for harm is the mean, over several effect sizes, of the likelihood ratio of the observed
 * difference of means between "worse by that much" and "not worse". The variance of the difference
 * includes the uncertainty of the old version's mean, because an error there affects all later ratings.
 * Such a ratio is an e-process: by Ville's inequality, for a version that is not worse it exceeds 1/α
 * with a probability of at most α, however often it is checked, which bounds false halts. The same
 * ratio for one effect size, on the evidence since the last step, tells when that harm is refuted and
 * the next step may be taken. Failed attempts and slow ones are tested separately, by comparing their
 * rates with the old version's.
 */
import type { VersionName } from '../contract/index.ts'
import { type RollOutEvidence, type RollOutGuard, RollOutVerdict } from './contract.ts'
import { logMeanExp } from './logMeanExp.ts'
import { ProportionTest } from './proportionTest.ts'
import { type RatingSums, RollOutRegression, defaultHint } from './rollOutRegression.ts'

export interface SequentialRollOutGuardOptions {
  readonly from: VersionName
  readonly to: VersionName
  /** Probability of halting a roll-out of a version that is not worse. */
  readonly falseHaltRate?: number
  /** The drop of ratings that must be detected, in points. */
  readonly harmPoints?: number
  /** Probability of taking a step although the version is worse by `harmPoints`. */
  readonly missedHarmRate?: number
}

const defaultFalseHaltRate = 0.002
const defaultHarmPoints = 10
const defaultMissedHarmRate = 0.02
/** Effect sizes that are tested, in standard deviations of an adjusted rating. */
const harmDeviations = [0.25, 0.5, 1, 1.5, 2] as const
/** Shares of the false-halt rate that are assigned to the tests of failures and of slow attempts. */
const failureTestShare = 0.3
const slownessTestShare = 0.2
/** Old version's ratings of a kind that the regression needs, and old version's attempts that the test of failures needs. */
const minimumBaselineRatings = 12
/** Ratings are clamped to this many standard deviations from the expected one. */
const maximumRatingDeviations = 3
/** Ratings of the new version that each step needs. */
const minimumRatingsForStep = 12

/** Guard that a steward or a daemon runs for one roll-out. */
export class SequentialRollOutGuard implements RollOutGuard {
  readonly #from: VersionName
  readonly #to: VersionName
  readonly #haltThreshold: number
  readonly #advanceThreshold: number
  readonly #harmPoints: number
  readonly #regression = new RollOutRegression()
  readonly #pending: RollOutEvidence[] = []
  readonly #sums = new Map<string, RatingSums>()
  readonly #stepSums = new Map<string, RatingSums>()
  readonly #failures: ProportionTest
  readonly #slowness: ProportionTest
  #halted = false

  constructor (options: SequentialRollOutGuardOptions) {
    const falseHaltRate = options.falseHaltRate ?? defaultFalseHaltRate
    this.#from = options.from
    this.#to = options.to
    this.#haltThreshold = -Math.log(falseHaltRate * (1 - failureTestShare - slownessTestShare))
    this.#failures = new ProportionTest(falseHaltRate * failureTestShare, minimumBaselineRatings)
    this.#slowness = new ProportionTest(falseHaltRate * slownessTestShare, minimumBaselineRatings)
    this.#advanceThreshold = -Math.log(options.missedHarmRate ?? defaultMissedHarmRate)
    this.#harmPoints = options.harmPoints ?? defaultHarmPoints
  }

  /** Whether the roll-out must be halted; it never becomes false again. */
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

  observeTime (version: VersionName, isSlow: boolean): void {
    this.#observeRate(this.#slowness, version, isSlow)
  }

  /** Returns the decision; after `Advance`, evidence for the next step is collected from scratch. */
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

  /** Tests pending ratings of the new version whose kind has enough ratings of the old one. */
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

  /** Log-likelihood ratio of harm of a size, in standard deviations of a rating, against no harm. */
  #logLikelihoodRatio (kind: string, rated: RatingSums, size: number): number {
    const { shortfall, variance } = this.#regression.shortfallOf(kind, rated)
    return (size * shortfall - size * size / 2) / variance
  }

  #observeFailure ({ version, rating }: RollOutEvidence): void {
    this.#observeRate(this.#failures, version, rating === undefined)
  }

  #observeRate (test: ProportionTest, version: VersionName, isHit: boolean): void {
    if (version === this.#from) test.observeOld(isHit)
    if (version === this.#to && test.observeNew(isHit)) this.#halted = true
  }
}

function addToSums (sums: Map<string, RatingSums>, kind: string, hint: number | undefined, rating: number): void {
  const { count, hintSum: hints, ratingSum: ratings } = sums.get(kind) ?? { count: 0, hintSum: 0, ratingSum: 0 }
  sums.set(kind, { count: count + 1, hintSum: hints + (hint ?? defaultHint), ratingSum: ratings + rating })
}

function clamp (value: number, limit: number): number {
  return Math.min(limit, Math.max(-limit, value))
}
