/**
 * Evidence on a new version during its roll-out. Each daemon counts the responses of the new and the
 * old version; the counts of all daemons are combined, since at a small exposure a single daemon sees
 * too few responses. A run is slow if it takes several times as long as the old version's typical run of
 * the same kind: a burst slows both versions, a bad version only itself. A run that is still waiting may
 * already be slow, and one that was given up without being slow says nothing on the version's speed.
 */
import { RunTimings, type TimedRun } from '../choice/index.ts'
import { getOrCreate } from '../contract/index.ts'
import type { RollOutEvidence } from '../routing/index.ts'
import type { FailureCountsByKind } from './kindFailures.ts'

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

/** A run, as evidence. */
export interface EvidenceRunOptions {
  /** Its kind of request, whose failures are judged by themselves: its route. */
  readonly kind: string
  /** Route and model; runs of one class are comparable in time. */
  readonly requestClass: string
  readonly isNew: boolean
  /** Milliseconds of the process's clock. */
  readonly sentAt: number
}

class ResponseCounts {
  answers = 0
  failures = 0
  slow = 0
  timed = 0
  readonly kinds = new Map<string, { answers: number, failures: number }>()

  recordAnswer (kind: string): void {
    this.answers++
    this.#ofKind(kind).answers++
  }

  recordFailure (kind: string): void {
    this.failures++
    this.#ofKind(kind).failures++
  }

  #ofKind (kind: string) {
    return getOrCreate(this.kinds, kind, () => ({ answers: 0, failures: 0 }))
  }
}

/** Collects the evidence of one run. */
export class EvidenceRun {
  readonly #counts: ResponseCounts
  readonly #kind: string
  readonly #timing: TimedRun
  #isAnswered = false

  constructor (counts: ResponseCounts, kind: string, timing: TimedRun) {
    this.#counts = counts
    this.#kind = kind
    this.#timing = timing
  }

  /** Records the first event or the complete response. */
  recordBegin (now: number): void {
    this.#timing.recordBegin(now)
    this.#countAnswer()
  }

  /** Records events after the first. */
  recordEvents (count: number, now: number): void {
    this.#timing.recordEvents(count, now)
  }

  /** Records an error response. */
  recordFailure (): void {
    this.#countAnswer()
    this.#counts.recordFailure(this.#kind)
  }

  /** Records that the response was whole. */
  finish (now: number): void {
    this.#timing.finish(now)
    if (!this.#timing.isSlow) this.#counts.timed++
  }

  /** Records that the run ended in another way. */
  abandon (now: number): void {
    this.#timing.abandon(now)
  }

  /** Counts the run as slow; it need not have been answered. */
  recordSlowness (): void {
    this.#countAnswer()
    this.#counts.slow++
    this.#counts.timed++
  }

  #countAnswer (): void {
    if (!this.#isAnswered) this.#counts.recordAnswer(this.#kind)
    this.#isAnswered = true
  }
}

/**
 * Collects one daemon's evidence on one roll-out.
 *
 * @example
 * const run = collector.open({ kind: 'query', requestClass: 'query/large', isNew: true, sentAt: now })
 * run.recordBegin(now + 180)
 */
export class EvidenceCollector {
  readonly #timings: RunTimings
  readonly #oldVersion = new ResponseCounts()
  readonly #newVersion = new ResponseCounts()

  /** @param heldUpMilliseconds for how long the event loop was held up so far; that time says nothing of a version */
  constructor (heldUpMilliseconds: () => number = () => 0) {
    this.#timings = new RunTimings(heldUpMilliseconds)
  }

  /** Adds a run that has just been sent. */
  open ({ kind, requestClass, isNew, sentAt }: EvidenceRunOptions): EvidenceRun {
    const timing = this.#timings.open({ kind: requestClass, isReference: !isNew, sentAt, onSlow: () => run.recordSlowness() })
    const run = new EvidenceRun(isNew ? this.#newVersion : this.#oldVersion, kind, timing)
    return run
  }

  /** Judges the runs that have not ended by the time that they have taken so far. */
  checkOpenRuns (now: number): void {
    this.#timings.checkOpenRuns(now)
  }

  /** Counts of the new version. */
  get newVersionCounts (): EvidenceTotals & Pick<RollOutEvidence, 'kinds'> {
    const { answers, failures, slow, timed, kinds } = this.#newVersion
    return { answers, failures, slow, timed, kinds: snapshotOf(kinds) }
  }

  /** Counts of the old version, by kind of request. */
  get oldVersionKinds (): FailureCountsByKind {
    return snapshotOf(this.#oldVersion.kinds)
  }

  /** Rates of bad responses of the old version. */
  get oldVersionRates (): BadResponseRates {
    return ratesOf([this.#oldVersion])
  }
}

/** Shares of all responses and of those whose time could be judged, 0 to 1. */
export interface BadResponseRates {
  readonly failureRate: number
  readonly slowRate: number
}

/** Counts over all kinds of requests. */
type EvidenceTotals = Pick<RollOutEvidence, 'answers' | 'failures' | 'slow' | 'timed'>

/**
 * Whether the combined evidence of all daemons, over all kinds of requests, shows that the new version is bad.
 *
 * @param oldVersionRates the old version's bad responses as this daemon observed them
 * @example
 * if (isVersionBad([own, ...others], keeper.oldVersionRates)) revert()
 */
export function isVersionBad (evidence: readonly EvidenceTotals[], oldVersionRates: BadResponseRates): boolean {
  const { failureRate, slowRate } = ratesOf(evidence)
  const isFailing = sumOf(evidence, counts => counts.failures) >= minimumBadResponses && failureRate >= Math.max(failureRateThreshold, oldVersionRates.failureRate + failureRateMargin)
  const isTooSlow = sumOf(evidence, counts => counts.slow) >= minimumBadResponses && slowRate >= Math.max(slowRateThreshold, oldVersionRates.slowRate + slowRateMargin)
  return isFailing || isTooSlow
}

function snapshotOf (kinds: ReadonlyMap<string, { readonly answers: number, readonly failures: number }>): FailureCountsByKind {
  return Object.fromEntries([...kinds].map(([kind, { answers, failures }]) => [kind, { answers, failures }]))
}

function ratesOf (evidence: readonly EvidenceTotals[]): BadResponseRates {
  const answers = Math.max(1, sumOf(evidence, counts => counts.answers))
  const timed = Math.max(1, sumOf(evidence, counts => counts.timed ?? counts.answers))
  return { failureRate: sumOf(evidence, counts => counts.failures) / answers, slowRate: sumOf(evidence, counts => counts.slow) / timed }
}

function sumOf (evidence: readonly EvidenceTotals[], countOf: (counts: EvidenceTotals) => number): number {
  return evidence.reduce((sum, counts) => sum + countOf(counts), 0)
}
