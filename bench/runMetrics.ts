/** Metrics of a run from the callers' point of view. */

/** Metrics of one scenario and policy pair. The names give the units and are printed as they are. */
export interface RunMetrics {
  /** Cost units of all attempts and ratings, divided by the good answers within the deadline. */
  readonly cost_per_good_answer: number
  /** Share of the pairs of organisation and kind whose answers meet the quality target. */
  readonly quality_met: number
  readonly first_token_ms: { readonly p50: number, readonly p95: number, readonly p99: number }
  readonly between_tokens_ms: number
  /** Good answers within the deadline per second. */
  readonly goodput: number
  /** Requests answered by a bad version. */
  readonly exposed_requests: number
  /** Bytes sent over the link between regions. */
  readonly link_bytes: number
  readonly refused: number
}

/** The outcome of one request. */
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

/** Groups with fewer answers are too small for their share of good answers to be significant. */
const minimumGroupAnswers = 40

/**
 * The value below which the given share of the values lies; 0 without values.
 *
 * @param share 0 to 1, so 0.95 for the 95th percentile
 * @example
 * percentile(streamedFirstTokenMilliseconds, 0.95)
 */
export function percentile (values: readonly number[], share: number): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!
}

/** Accumulates the metrics of one run. */
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

  /** Counts a prompt's tokens and how many of them were cached. */
  recordPrefill (promptTokens: number, cachedTokens: number): void {
    this.#promptTokens += promptTokens
    this.#cachedTokens += cachedTokens
  }

  /** Share of prompt tokens found in the engines' prefix caches. */
  get cachedShare (): number {
    return this.#cachedTokens / Math.max(1, this.#promptTokens)
  }

  recordLinkBytes (bytes: number): void {
    this.#linkBytes += bytes
  }

  /** Times to first token of streamed requests, optionally of some organisations only. */
  streamedFirstTokenMilliseconds (isIncluded: (organisation: string) => boolean = () => true): number[] {
    return this.#outcomes.filter(outcome => outcome.streamed && isIncluded(outcome.organisation)).map(outcome => outcome.firstTokenMilliseconds)
  }

  /**
   * Computes the metrics of the run.
   *
   * @param seconds length of the measurement window
   * @param qualityTarget the required share of good answers
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

  /**
   * A group misses the target if its share of good answers is below it by more than 1.64 standard
   * deviations, which chance does not explain at the one-sided 5 % level.
   */
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
