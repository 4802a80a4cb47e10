/**
 * What speaks against a new version. Each daemon counts the answers that it saw of the new and the
 * old version; the counts of all daemons are put together, since one daemon of many sees too few of
 * a small share. An answer is slow if it took several times as long as the old version's usual
 * answer to the same kind of request: a burst slows both versions, a bad version only itself.
 */
import { knownOrMade } from '../contract/index.ts'
import type { RollOutEvidence } from '../routing/index.ts'

/** An answer several times slower than usual counts as slow. */
const slowLatencyRatio = 3
/** Below this a slow answer is nobody's trouble, in milliseconds. */
const minimumSlowMilliseconds = 250
const baselineSmoothing = 0.1
const minimumBaselineSamples = 3
/** Bad answers below which nothing is concluded. */
const minimumBadResponses = 5
/** The share of failures from which a version is bad; a sound one under faults stays below. */
const failureRateThreshold = 0.12
/** The share by which it must exceed the old version's. */
const failureRateMargin = 0.1
/**
 * The share of slow answers from which a version is bad. It is higher: a sound version whose engines
 * have cached nothing yet, and have just got all the traffic, is slow for some requests as well.
 */
const slowRateThreshold = 0.3
/** The share by which it must exceed the old version's. */
const slowRateMargin = 0.2

/** An answer as evidence. */
export interface ResponseEvidence {
  /** The kind of request and the model, whose answers are alike. */
  readonly requestClass: string
  readonly isNew: boolean
  readonly isFailed: boolean
  /** Until the first byte of the answer; undefined where none came. */
  readonly latencyMilliseconds: number | undefined
}

class LatencyBaseline {
  sampleCount = 0
  latencyMilliseconds = 0

  addSample (milliseconds: number): void {
    this.sampleCount++
    const weight = Math.max(baselineSmoothing, 1 / this.sampleCount)
    this.latencyMilliseconds += weight * (milliseconds - this.latencyMilliseconds)
  }
}

/** Counts of one version's answers. */
class ResponseCounts {
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
export class EvidenceCollector {
  readonly #baselines = new Map<string, LatencyBaseline>()
  readonly #oldVersion = new ResponseCounts()
  readonly #newVersion = new ResponseCounts()

  recordResponse ({ requestClass: likeness, isNew, isFailed: failed, latencyMilliseconds: milliseconds }: ResponseEvidence): void {
    const counts = isNew ? this.#newVersion : this.#oldVersion
    counts.answers++
    if (failed) counts.failures++
    const baseline = knownOrMade(this.#baselines, likeness, () => new LatencyBaseline())
    if (failed || milliseconds === undefined) return
    const isSlow = baseline.sampleCount >= minimumBaselineSamples && milliseconds > minimumSlowMilliseconds && milliseconds > baseline.latencyMilliseconds * slowLatencyRatio
    if (isSlow) counts.slow++
    if (!isNew) baseline.addSample(milliseconds)
  }

  /** What was seen of the new version. */
  get newVersionCounts (): Pick<RollOutEvidence, 'answers' | 'failures' | 'slow'> {
    const { answers, failures, slow } = this.#newVersion
    return { answers, failures, slow }
  }

  /** The shares of the old version's answers that were bad. */
  get oldVersionRates (): BadResponseRates {
    return ratesOf([this.#oldVersion])
  }
}

/** Parts of all answers, 0 to 1. */
export interface BadResponseRates {
  readonly failureRate: number
  readonly slowRate: number
}

type EvidenceCounts = Pick<RollOutEvidence, 'answers' | 'failures' | 'slow'>

/**
 * Whether the evidence of all daemons together speaks against the new version.
 *
 * @param oldVersionRates the old version's bad answers, as this daemon saw them
 * @example
 * if (isVersionBad([own, ...others], keeper.oldVersionRates)) revert()
 */
export function isVersionBad (evidence: readonly EvidenceCounts[], oldVersionRates: BadResponseRates): boolean {
  const { failureRate: failures, slowRate: slow } = ratesOf(evidence)
  const isFailing = sumOf(evidence, counts => counts.failures) >= minimumBadResponses && failures >= Math.max(failureRateThreshold, oldVersionRates.failureRate + failureRateMargin)
  const isTooSlow = sumOf(evidence, counts => counts.slow) >= minimumBadResponses && slow >= Math.max(slowRateThreshold, oldVersionRates.slowRate + slowRateMargin)
  return isFailing || isTooSlow
}

function ratesOf (evidence: readonly EvidenceCounts[]): BadResponseRates {
  const answers = Math.max(1, sumOf(evidence, counts => counts.answers))
  return { failureRate: sumOf(evidence, counts => counts.failures) / answers, slowRate: sumOf(evidence, counts => counts.slow) / answers }
}

function sumOf (evidence: readonly EvidenceCounts[], countOf: (counts: EvidenceCounts) => number): number {
  return evidence.reduce((sum, counts) => sum + countOf(counts), 0)
}
