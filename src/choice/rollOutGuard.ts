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
import { type RatedSums, RollOutRegression, unknownHint } from './rollOutRegression.ts'

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

const usualFalseHaltRate = 0.002
const usualHarmPoints = 10
const usualMissedHarmRate = 0.02
/** Sizes of harm that are looked for, in standard deviations of an adjusted rating. */
const harmSizes = [0.25, 0.5, 1, 1.5, 2] as const
/** Part of the allowance for false halts that failures get. */
const failurePart = 0.3
/** Shares of failures on the new version, beyond the old one's, that are looked for. */
const failureSizes = [0.05, 0.2, 0.5] as const
/** Ratings of both versions before the regression is relied on. */
const warmUpRatings = 12
/** A rating further off than this counts as this far off. */
const largestDeviation = 3
/** Ratings of the new version without which no step is taken. */
const fewestRatingsForStep = 12

/** The guard that a steward or a daemon runs for one roll-out. */
export class SequentialRollOutGuard implements RollOutGuard {
  readonly #from: VersionName
  readonly #to: VersionName
  readonly #haltAt: number
  readonly #failureHaltAt: number
  readonly #stepAt: number
  readonly #harmPoints: number
  readonly #regression = new RollOutRegression()
  readonly #waiting: RollOutEvidence[] = []
  readonly #rated = new Map<string, RatedSums>()
  readonly #ratedInStep = new Map<string, RatedSums>()
  readonly #failureHarm = new Float64Array(failureSizes.length)
  #halted = false
  #oldAttempts = 0
  #oldFailures = 0

  constructor (options: SequentialRollOutGuardOptions) {
    const falseHaltRate = options.falseHaltRate ?? usualFalseHaltRate
    this.#from = options.from
    this.#to = options.to
    this.#haltAt = -Math.log(falseHaltRate * (1 - failurePart))
    this.#failureHaltAt = -Math.log(falseHaltRate * failurePart)
    this.#stepAt = -Math.log(options.missedHarmRate ?? usualMissedHarmRate)
    this.#harmPoints = options.harmPoints ?? usualHarmPoints
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
    else this.#waiting.push(evidence)
    this.#test()
  }

  /** Says what to do; after `Advance` the evidence for the next step starts anew. */
  verdict (): RollOutVerdict {
    if (this.#halted) return RollOutVerdict.Halt
    if (!this.#harmRefuted()) return RollOutVerdict.Continue
    this.#ratedInStep.clear()
    return RollOutVerdict.Advance
  }

  #harmRefuted (): boolean {
    let count = 0
    let evidence = 0
    for (const [kind, rated] of this.#ratedInStep) {
      const { deviation } = this.#regression.expect(kind, undefined)
      count += rated.count
      evidence += this.#evidence(kind, rated, this.#harmPoints / deviation)
    }
    return count >= fewestRatingsForStep && evidence <= -this.#stepAt
  }

  /** Tests ratings of the new version once the old one's are known for their kind. */
  #test (): void {
    const ready = this.#waiting.filter(({ kind }) => this.#regression.ratings(kind) >= warmUpRatings)
    if (ready.length === 0) return
    const rest = this.#waiting.filter(evidence => !ready.includes(evidence))
    this.#waiting.splice(0, this.#waiting.length, ...rest)
    for (const { kind, difficultyHint, rating } of ready) this.#testRating(kind, difficultyHint, rating!)
  }

  #testRating (kind: string, hint: number | undefined, rating: number): void {
    const { expected, deviation } = this.#regression.expect(kind, hint)
    const counted = expected + clamp(rating - expected, largestDeviation * deviation)
    addRated(this.#rated, kind, hint, counted)
    addRated(this.#ratedInStep, kind, hint, counted)
    const harm = Float64Array.from(harmSizes, size => {
      return [...this.#rated].reduce((sum, [ratedKind, rated]) => sum + this.#evidence(ratedKind, rated, size), 0)
    })
    if (logarithmOfMean(harm) >= this.#haltAt) this.#halted = true
  }

  /** The logarithm of the likelihood ratio of a harm, in standard deviations of a rating, against none. */
  #evidence (kind: string, rated: RatedSums, size: number): number {
    const { shortfall, variance } = this.#regression.compare(kind, rated)
    return (size * shortfall - size * size / 2) / variance
  }

  #observeFailure ({ version, rating }: RollOutEvidence): void {
    const failed = rating === undefined
    if (version === this.#from) {
      this.#oldAttempts += 1
      this.#oldFailures += failed ? 1 : 0
      return
    }
    const usual = (this.#oldFailures + 1) / (this.#oldAttempts + 2)
    if (this.#oldAttempts < warmUpRatings) return
    for (const [index, size] of failureSizes.entries()) {
      const harmed = usual + (1 - usual) * size
      this.#failureHarm[index]! += failed ? Math.log(harmed / usual) : Math.log((1 - harmed) / (1 - usual))
    }
    if (logarithmOfMean(this.#failureHarm) >= this.#failureHaltAt) this.#halted = true
  }
}

function addRated (sums: Map<string, RatedSums>, kind: string, hint: number | undefined, rating: number): void {
  const { count, hint: hints, rating: ratings } = sums.get(kind) ?? { count: 0, hint: 0, rating: 0 }
  sums.set(kind, { count: count + 1, hint: hints + (hint ?? unknownHint), rating: ratings + rating })
}

function clamp (value: number, limit: number): number {
  return Math.min(limit, Math.max(-limit, value))
}

function logarithmOfMean (logarithms: Float64Array): number {
  const highest = Math.max(...logarithms)
  const sum = logarithms.reduce((total, logarithm) => total + Math.exp(logarithm - highest), 0)
  return highest + Math.log(sum / logarithms.length)
}
