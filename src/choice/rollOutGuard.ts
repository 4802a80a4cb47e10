/**
 * Watches a roll-out by a sequential test. Old and new versions serve the same kinds of work, so
 * each rating is first adjusted for its kind and hint by a regression over both versions; what is
 * left is compared in standard deviations. Two sums are kept. One is the logarithm of an e-process:
 * a mean over several sizes of harm of the likelihood ratio "worse by that much" against "not
 * worse". By Ville's inequality it passes 1/α for a version that is not worse with a chance of at
 * most α, however often it is looked at, which bounds false halts. The other is the sequential
 * ratio that the harm to be found is absent, which decides when a step may be taken. Attempts that
 * fail are a test of their own, of two binomial shares, in the same form.
 */
import type { VersionName } from '../contract/index.ts'
import { type RollOutEvidence, type RollOutGuard, RollOutVerdict } from './contract.ts'
import { RollOutRegression } from './rollOutRegression.ts'

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

const FALSE_HALT_RATE = 0.0008
const HARM_POINTS = 10
const MISSED_HARM_RATE = 0.02
/** Sizes of harm that are looked for, in standard deviations of an adjusted rating. */
const HARM_SIZES = [0.25, 0.5, 1, 1.5, 2] as const
/** Part of the allowance for false halts that failures get. */
const FAILURE_PART = 0.3
/** Shares of failures on the new version, beyond the old one's, that are looked for. */
const FAILURE_SIZES = [0.05, 0.2, 0.5] as const
/** Ratings of both versions before the regression is relied on. */
const WARM_UP_RATINGS = 12
/** A rating further off than this counts as this far off. */
const LARGEST_DEVIATION = 3
/** Ratings of the new version without which no step is taken. */
const FEWEST_RATINGS_FOR_STEP = 12

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
  readonly #harm = new Float64Array(HARM_SIZES.length)
  readonly #failureHarm = new Float64Array(FAILURE_SIZES.length)
  #absence = 0
  #ratedSinceStep = 0
  #halted = false
  #oldAttempts = 0
  #oldFailures = 0

  constructor (options: SequentialRollOutGuardOptions) {
    const falseHaltRate = options.falseHaltRate ?? FALSE_HALT_RATE
    this.#from = options.from
    this.#to = options.to
    this.#haltAt = -Math.log(falseHaltRate * (1 - FAILURE_PART))
    this.#failureHaltAt = -Math.log(falseHaltRate * FAILURE_PART)
    this.#stepAt = -Math.log(options.missedHarmRate ?? MISSED_HARM_RATE)
    this.#harmPoints = options.harmPoints ?? HARM_POINTS
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
    const ready = this.#absence >= this.#stepAt && this.#ratedSinceStep >= FEWEST_RATINGS_FOR_STEP
    if (!ready) return RollOutVerdict.Continue
    this.#absence = 0
    this.#ratedSinceStep = 0
    return RollOutVerdict.Advance
  }

  /** Tests ratings of the new version once the old one's are known for their kind. */
  #test (): void {
    const ready = this.#waiting.filter(({ kind }) => this.#regression.ratings(kind) >= WARM_UP_RATINGS)
    if (ready.length === 0) return
    const rest = this.#waiting.filter(evidence => !ready.includes(evidence))
    this.#waiting.splice(0, this.#waiting.length, ...rest)
    for (const { kind, difficultyHint, rating } of ready) this.#testRating(kind, difficultyHint, rating!)
  }

  #testRating (kind: string, hint: number | undefined, rating: number): void {
    const { expected, deviation } = this.#regression.expect(kind, hint)
    const shortfall = clamp((expected - rating) / deviation, LARGEST_DEVIATION)
    for (const [index, size] of HARM_SIZES.entries()) this.#harm[index]! += size * shortfall - size * size / 2
    if (logarithmOfMean(this.#harm) >= this.#haltAt) this.#halted = true
    const harm = this.#harmPoints / deviation
    this.#absence = Math.max(0, this.#absence - harm * shortfall + harm * harm / 2)
    this.#ratedSinceStep += 1
  }

  #observeFailure ({ version, rating }: RollOutEvidence): void {
    const failed = rating === undefined
    if (version === this.#from) {
      this.#oldAttempts += 1
      this.#oldFailures += failed ? 1 : 0
      return
    }
    const usual = (this.#oldFailures + 1) / (this.#oldAttempts + 2)
    if (this.#oldAttempts < WARM_UP_RATINGS) return
    for (const [index, size] of FAILURE_SIZES.entries()) {
      const harmed = usual + (1 - usual) * size
      this.#failureHarm[index]! += failed ? Math.log(harmed / usual) : Math.log((1 - harmed) / (1 - usual))
    }
    if (logarithmOfMean(this.#failureHarm) >= this.#failureHaltAt) this.#halted = true
  }
}

function clamp (value: number, limit: number): number {
  return Math.min(limit, Math.max(-limit, value))
}

function logarithmOfMean (logarithms: Float64Array): number {
  const highest = Math.max(...logarithms)
  const sum = logarithms.reduce((total, logarithm) => total + Math.exp(logarithm - highest), 0)
  return highest + Math.log(sum / logarithms.length)
}
