/**
 * Judges a new version by each kind of request. A version that fails half of one kind fails a small share
 * of all requests, which is hard to tell from the share that a sound version fails while some of its
 * endpoints do. So the failures of one kind are compared with two controls: the other kinds at the new
 * version, which faulty endpoints fail as well, and the same kind at the old version, which a kind that
 * fails everywhere fails as well.
 *
 * The evidence is the mean, over several increases of the rate, of the likelihood ratio between "fails more
 * often by that much" and "fails as often as its controls". Such a mean may be looked at after each request;
 * the error that is allowed is divided among the kinds.
 */
import { logMeanExp } from '../choice/index.ts'

/** Answers and failures of one kind of request. */
export interface FailureCounts {
  readonly answers: number
  readonly failures: number
}

/** Counts by kind of request. */
export type FailureCountsByKind = Readonly<Record<string, FailureCounts>>

/** What the failures of all kinds show of a version. */
export const KindVerdict = {
  /** No kind fails more often than its controls, as far as is known. */
  Unsuspicious: 'unsuspicious',
  /** A kind may fail more often; more requests would show it. */
  Doubtful: 'doubtful',
  Bad: 'bad'
} as const
export type KindVerdict = typeof KindVerdict[keyof typeof KindVerdict]

/** Increases of the rate that are tested, as shares of the requests that do not fail at the controls. */
const rateIncreases = [0.2, 0.5] as const
/** No version is known so well that it is taken to fail less often. */
const minimumControlRate = 0.03
/** Above this rate a kind shows nothing. */
const maximumControlRate = 0.9
/** Probability of calling a sound version bad. */
const badErrorRate = 0.01
/** Probability of doubting a sound version. */
const doubtErrorRate = 1
/** Fewer failures of a kind show nothing. */
const minimumFailures = 2

const none: FailureCounts = { answers: 0, failures: 0 }

/**
 * Judges a version by all gateways' counts.
 *
 * @param newVersion counts of the new version
 * @param oldVersion counts of the old version; those of one gateway are enough
 * @example
 * if (judgeKinds(addCounts([own, ...others]), collector.oldVersionKinds) === KindVerdict.Bad) revert()
 */
export function judgeKinds (newVersion: FailureCountsByKind, oldVersion: FailureCountsByKind): KindVerdict {
  const kinds = Object.keys(newVersion)
  if (kinds.length === 0) return KindVerdict.Unsuspicious
  const total = sumOf(Object.values(newVersion))
  const evidence = kinds.map(kind => logEvidence(newVersion[kind] ?? none, total, oldVersion[kind] ?? none))
  const strongest = Math.max(Number.NEGATIVE_INFINITY, ...evidence)
  if (strongest >= Math.log(kinds.length / badErrorRate)) return KindVerdict.Bad
  return strongest >= Math.log(kinds.length / doubtErrorRate) ? KindVerdict.Doubtful : KindVerdict.Unsuspicious
}

/** Adds up counts of several gateways. */
export function addCounts (counts: readonly FailureCountsByKind[]): FailureCountsByKind {
  const kinds = new Set(counts.flatMap(byKind => Object.keys(byKind)))
  return Object.fromEntries([...kinds].map(kind => [kind, sumOf(counts.map(byKind => byKind[kind] ?? none))]))
}

/** Logarithm of the evidence that a kind fails more often than its controls. */
function logEvidence ({ answers, failures }: FailureCounts, total: FailureCounts, old: FailureCounts): number {
  if (failures < minimumFailures) return Number.NEGATIVE_INFINITY
  const others = { answers: total.answers - answers, failures: total.failures - failures }
  const controlRate = Math.max(minimumControlRate, cautiousRate(others), cautiousRate(old))
  const logRatios = rateIncreases.map(increase => {
    const rate = controlRate + (1 - controlRate) * increase
    return failures * Math.log(rate / controlRate) + (answers - failures) * Math.log((1 - rate) / (1 - controlRate))
  })
  return logMeanExp(Float64Array.from(logRatios))
}

/** A rate that is high while little is known; with a standard error of the failures that were seen. */
function cautiousRate ({ answers, failures }: FailureCounts): number {
  return Math.min(maximumControlRate, (failures + 1 + Math.sqrt(failures)) / (answers + 2))
}

function sumOf (counts: readonly FailureCounts[]): FailureCounts {
  return {
    answers: counts.reduce((sum, { answers }) => sum + answers, 0),
    failures: counts.reduce((sum, { failures }) => sum + failures, 0)
  }
}
