/** What a run measures, as callers saw it. */

/** The results of one scenario and policy, in the units that their names say. */
export interface RunMetrics {
  /** Cost units of all attempts and ratings, over the good answers in time. */
  readonly cost_per_good_answer: number
  /** The share of organisations and kinds whose answers meet the quality target. */
  readonly quality_met: number
  readonly first_token_ms: { readonly p50: number, readonly p95: number, readonly p99: number }
  readonly between_tokens_ms: number
  /** Good answers in time, a second. */
  readonly goodput: number
  /** Requests that a bad version answered. */
  readonly exposed_requests: number
  /** Bytes over the link between regions. */
  readonly link_bytes: number
  readonly refused: number
}

/** How one request ended. */
export interface RequestOutcome {
  readonly organisation: string
  readonly kind: string
  readonly streamed: boolean
  readonly isGood: boolean
  readonly metDeadline: boolean
  readonly firstTokenMilliseconds: number
  readonly betweenTokensMilliseconds: number
  readonly wasServedByBadVersion: boolean
}

/** Groups with fewer answers say nothing of a share. */
const minimumGroupAnswers = 40

/**
 * The value below which a share of the values lies; 0 without values.
 *
 * @example
 * percentile(streamedFirstTokenMilliseconds, 0.95)
 */
export function percentile (values: readonly number[], share: number): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!
}

/** Adds up one run. */
export class MetricsCollector {
  readonly #outcomes: RequestOutcome[] = []
  #cost = 0
  #promptTokens = 0
  #cachedTokens = 0
  #linkBytes = 0
  #refused = 0

  recordOutcome (outcome: RequestOutcome): void {
    this.#outcomes.push(outcome)
  }

  recordRefusal (): void {
    this.#refused++
  }

  recordCost (cost: number): void {
    this.#cost += cost
  }

  /** Counts a prompt, and what of it was cached. */
  recordPrefill (promptTokens: number, cachedTokens: number): void {
    this.#promptTokens += promptTokens
    this.#cachedTokens += cachedTokens
  }

  /** The share of prompt tokens that engines had cached. */
  get cachedShare (): number {
    return this.#cachedTokens / Math.max(1, this.#promptTokens)
  }

  recordLinkBytes (bytes: number): void {
    this.#linkBytes += bytes
  }

  /** First tokens of streamed requests of some organisations, in milliseconds. */
  streamedFirstTokenMilliseconds (isIncluded: (organisation: string) => boolean = () => true): number[] {
    return this.#outcomes.filter(outcome => outcome.streamed && isIncluded(outcome.organisation)).map(outcome => outcome.firstTokenMilliseconds)
  }

  /**
   * The figures of the run.
   *
   * @param seconds how long requests were measured
   * @param qualityTarget the share of good answers to reach
   */
  summarise (seconds: number, qualityTarget: number): RunMetrics {
    const goodAnswers = this.#outcomes.filter(outcome => outcome.isGood && outcome.metDeadline).length
    const firstTokenMilliseconds = this.streamedFirstTokenMilliseconds()
    const betweenTokens = this.#outcomes.filter(outcome => outcome.streamed).map(outcome => outcome.betweenTokensMilliseconds)
    return {
      cost_per_good_answer: this.#cost / Math.max(1, goodAnswers),
      quality_met: this.#qualityMet(qualityTarget),
      first_token_ms: { p50: percentile(firstTokenMilliseconds, 0.5), p95: percentile(firstTokenMilliseconds, 0.95), p99: percentile(firstTokenMilliseconds, 0.99) },
      between_tokens_ms: percentile(betweenTokens, 0.95),
      goodput: goodAnswers / seconds,
      exposed_requests: this.#outcomes.filter(outcome => outcome.wasServedByBadVersion).length,
      link_bytes: this.#linkBytes,
      refused: this.#refused
    }
  }

  /** A group misses the target where its share is below it by more than chance explains. */
  #qualityMet (qualityTarget: number): number {
    const groups = new Map<string, { answers: number, good: number }>()
    for (const { organisation, kind, isGood } of this.#outcomes) {
      const key = `${organisation}/${kind}`
      const group = groups.get(key) ?? { answers: 0, good: 0 }
      group.answers++
      if (isGood) group.good++
      groups.set(key, group)
    }
    const judgedGroups = [...groups.values()].filter(group => group.answers >= minimumGroupAnswers)
    const metGroups = judgedGroups.filter(({ answers, good }) => good / answers >= qualityTarget - 1.64 * Math.sqrt(qualityTarget * (1 - qualityTarget) / answers))
    return judgedGroups.length === 0 ? 1 : metGroups.length / judgedGroups.length
  }
}
