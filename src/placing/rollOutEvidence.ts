/**
 * What speaks against a new version. Each daemon counts the answers that it saw of the new and the
 * old version; the counts of all daemons are put together, since one daemon of many sees too few of
 * a small share. An answer is slow if it took several times as long as the old version's usual
 * answer to the same kind of request: a burst slows both versions, a bad version only itself.
 */
import type { RollOutEvidence } from '../routing/index.ts'

/** An answer several times slower than usual counts as slow. */
const slowRatio = 3
/** Below this a slow answer is nobody's trouble, in milliseconds. */
const slowFloorMilliseconds = 250
const usualWeight = 0.1
const usualNeeds = 3
/** Bad answers below which nothing is concluded. */
const leastBadAnswers = 5
/** The share of bad answers from which a version is bad; a sound one under faults stays below. */
const badShare = 0.12
/** The share by which it must exceed the old version's. */
const badShareOverOld = 0.1

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
    const usual = this.#usual.get(likeness) ?? new Usual()
    this.#usual.set(likeness, usual)
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

  /** The share of the old version's answers that were bad. */
  get oldBadShare (): number {
    return this.#old.answers === 0 ? 0 : (this.#old.failures + this.#old.slow) / this.#old.answers
  }
}

/**
 * Whether the evidence of all daemons together speaks against the new version.
 *
 * @param oldBadShare the share of bad answers of the old version, as this daemon saw it
 * @example
 * if (isBad([own, ...others], keeper.oldBadShare)) revert()
 */
export function isBad (evidence: readonly Pick<RollOutEvidence, 'answers' | 'failures' | 'slow'>[], oldBadShare: number): boolean {
  const answers = evidence.reduce((sum, counts) => sum + counts.answers, 0)
  const bad = evidence.reduce((sum, counts) => sum + counts.failures + counts.slow, 0)
  if (bad < leastBadAnswers) return false
  const share = bad / answers
  return share >= badShare && share >= oldBadShare + badShareOverOld
}
