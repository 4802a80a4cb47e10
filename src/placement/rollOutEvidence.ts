/**
 * Evidence on a new version during its roll-out. Each daemon counts the responses of the new and the
 * old version; the counts of all daemons are combined, since at a small exposure a single daemon sees
 * too few responses. A response is slow if it took several times as long as the old version's typical
 * response to the same kind of request: a burst slows both versions, a bad version only itself.
 */
import { getOrCreate } from '../contract/index.ts'
import type { RollOutEvidence } from '../routing/index.ts'

/** A response counts as slow if it takes this many times the baseline. */
const slowLatencyRatio = 3
/** Responses faster than this never count as slow, since they trouble no caller. */
const minimumSlowMilliseconds = 250
const baselineSmoothing = 0.1
const minimumBaselineSamples = 3
/** Fewer bad responses than this are not conclusive. */
const minimumBadResponses = 5
/** Failure rate from which a version is bad; a sound version stays below it even under faults. */
const failureRateThreshold = 0.12
/** Required excess over the old version's rate. */
const failureRateMargin = 0.1
/**
 * Slow-response rate from which a version is bad. It is higher than the failure rate's threshold, since
 * a sound version whose engines have cold caches and have just received all traffic is slow for some
 * requests as well.
 */
const slowRateThreshold = 0.3
/** Required excess over the old version's rate. */
const slowRateMargin = 0.2

/** One response, as evidence. */
export interface ResponseEvidence {
  /** Route and model; responses of one class are comparable in latency. */
  readonly requestClass: string
  readonly isNew: boolean
  readonly isFailed: boolean
  /** Time to the first byte; undefined if none was received. */
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

class ResponseCounts {
  answers = 0
  failures = 0
  slow = 0
}

/**
 * Collects one daemon's evidence on one roll-out.
 *
 * @example
 * collector.recordResponse({ requestClass: 'query/large', isNew: true, isFailed: false, latencyMilliseconds: 180 })
 */
export class EvidenceCollector {
  readonly #baselines = new Map<string, LatencyBaseline>()
  readonly #oldVersion = new ResponseCounts()
  readonly #newVersion = new ResponseCounts()

  recordResponse ({ requestClass, isNew, isFailed, latencyMilliseconds }: ResponseEvidence): void {
    const counts = isNew ? this.#newVersion : this.#oldVersion
    counts.answers++
    if (isFailed) counts.failures++
    const baseline = getOrCreate(this.#baselines, requestClass, () => new LatencyBaseline())
    if (isFailed || latencyMilliseconds === undefined) return
    const isSlow = baseline.sampleCount >= minimumBaselineSamples && latencyMilliseconds > minimumSlowMilliseconds && latencyMilliseconds > baseline.latencyMilliseconds * slowLatencyRatio
    if (isSlow) counts.slow++
    if (!isNew) baseline.addSample(latencyMilliseconds)
  }

  /** Counts of the new version. */
  get newVersionCounts (): Pick<RollOutEvidence, 'answers' | 'failures' | 'slow'> {
    const { answers, failures, slow } = this.#newVersion
    return { answers, failures, slow }
  }

  /** Rates of bad responses of the old version. */
  get oldVersionRates (): BadResponseRates {
    return ratesOf([this.#oldVersion])
  }
}

/** Shares of all responses, 0 to 1. */
export interface BadResponseRates {
  readonly failureRate: number
  readonly slowRate: number
}

type EvidenceCounts = Pick<RollOutEvidence, 'answers' | 'failures' | 'slow'>

/**
 * Whether the combined evidence of all daemons shows that the new version is bad.
 *
 * @param oldVersionRates the old version's bad responses as this daemon observed them
 * @example
 * if (isVersionBad([own, ...others], keeper.oldVersionRates)) revert()
 */
export function isVersionBad (evidence: readonly EvidenceCounts[], oldVersionRates: BadResponseRates): boolean {
  const { failureRate, slowRate } = ratesOf(evidence)
  const isFailing = sumOf(evidence, counts => counts.failures) >= minimumBadResponses && failureRate >= Math.max(failureRateThreshold, oldVersionRates.failureRate + failureRateMargin)
  const isTooSlow = sumOf(evidence, counts => counts.slow) >= minimumBadResponses && slowRate >= Math.max(slowRateThreshold, oldVersionRates.slowRate + slowRateMargin)
  return isFailing || isTooSlow
}

function ratesOf (evidence: readonly EvidenceCounts[]): BadResponseRates {
  const answers = Math.max(1, sumOf(evidence, counts => counts.answers))
  return { failureRate: sumOf(evidence, counts => counts.failures) / answers, slowRate: sumOf(evidence, counts => counts.slow) / answers }
}

function sumOf (evidence: readonly EvidenceCounts[], countOf: (counts: EvidenceCounts) => number): number {
  return evidence.reduce((sum, counts) => sum + countOf(counts), 0)
}
