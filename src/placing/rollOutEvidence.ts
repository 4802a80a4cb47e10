/**
 * What speaks against a new version. Each daemon counts the answers that it saw of the new and the
 * old version; the counts of all daemons are put together, since one daemon of many sees too few of
 * a small share. An answer is slow if it took several times as long as the old version's usual
 * answer to the same kind of request: a burst slows both versions, a bad version only itself.
 */
import { knownOrMade } from '../contract/index.ts'
import type { RollOutEvidence } from '../routing/index.ts'

/** An answer several times slower than usual counts as slow. */
const slowRatio = 3
/** Below this a slow answer is nobody's trouble, in milliseconds. */
const slowFloorMilliseconds = 250
const usualWeight = 0.1
const usualNeeds = 3
/** Bad answers below which nothing is concluded. */
const leastBadAnswers = 5
/** The share of failures from which a version is bad; a sound one under faults stays below. */
const failureShare = 0.12
/** The share by which it must exceed the old version's. */
const failureShareOverOld = 0.1
/**
 * The share of slow answers from which a version is bad. It is higher: a sound version whose engines
 * have cached nothing yet, and have just got all the traffic, is slow for some requests as well.
 */
const slowShare = 0.3
/** The share by which it must exceed the old version's. */
const slowShareOverOld = 0.2

/** An answer as evidence. */
export interface AnswerEvidence {
  /** The kind of request and the model, whose answers are alike. */
  readonly likeness: string
  readonly isNew: boolean
  readonly failed: boolean
  /** Until the first byte of the answer; undefined where none came. */
  readonly milliseconds: number | undefined
}

class Usual {
  count = 0
  milliseconds = 0

  observe (milliseconds: number): void {
    this.count++
    const weight = Math.max(usualWeight, 1 / this.count)
    this.milliseconds += weight * (milliseconds - this.milliseconds)
  }
}

/** Counts of one version's answers. */
class Counts {
  answers = 0
  failures = 0
  slow = 0
}

/**
 * One daemon's evidence on one roll-out.
 *
 * @example
 * evidence.observe({ likeness: 'query/large', isNew: true, failed: false, milliseconds: 180 })
 */
export class EvidenceKeeper {
  readonly #usual = new Map<string, Usual>()
  readonly #old = new Counts()
  readonly #new = new Counts()

  observe ({ likeness, isNew, failed, milliseconds }: AnswerEvidence): void {
    const counts = isNew ? this.#new : this.#old
    counts.answers++
    if (failed) counts.failures++
    const usual = knownOrMade(this.#usual, likeness, () => new Usual())
    if (failed || milliseconds === undefined) return
    const isSlow = usual.count >= usualNeeds && milliseconds > slowFloorMilliseconds && milliseconds > usual.milliseconds * slowRatio
    if (isSlow) counts.slow++
    if (!isNew) usual.observe(milliseconds)
  }

  /** What was seen of the new version. */
  get ofNew (): Pick<RollOutEvidence, 'answers' | 'failures' | 'slow'> {
    const { answers, failures, slow } = this.#new
    return { answers, failures, slow }
  }

  /** The shares of the old version's answers that were bad. */
  get ofOld (): BadShares {
    return sharesOf([this.#old])
  }
}

/** Parts of all answers, 0 to 1. */
export interface BadShares {
  readonly failures: number
  readonly slow: number
}

type EvidenceCounts = Pick<RollOutEvidence, 'answers' | 'failures' | 'slow'>

/**
 * Whether the evidence of all daemons together speaks against the new version.
 *
 * @param ofOld the old version's bad answers, as this daemon saw them
 * @example
 * if (isBad([own, ...others], keeper.ofOld)) revert()
 */
export function isBad (evidence: readonly EvidenceCounts[], ofOld: BadShares): boolean {
  const { failures, slow } = sharesOf(evidence)
  const fails = sumOf(evidence, counts => counts.failures) >= leastBadAnswers && failures >= Math.max(failureShare, ofOld.failures + failureShareOverOld)
  const drags = sumOf(evidence, counts => counts.slow) >= leastBadAnswers && slow >= Math.max(slowShare, ofOld.slow + slowShareOverOld)
  return fails || drags
}

function sharesOf (evidence: readonly EvidenceCounts[]): BadShares {
  const answers = Math.max(1, sumOf(evidence, counts => counts.answers))
  return { failures: sumOf(evidence, counts => counts.failures) / answers, slow: sumOf(evidence, counts => counts.slow) / answers }
}

function sumOf (evidence: readonly EvidenceCounts[], part: (counts: EvidenceCounts) => number): number {
  return evidence.reduce((sum, counts) => sum + part(counts), 0)
}
