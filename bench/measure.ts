/** What a run measures, as callers saw it. */

/** The results of one scenario and policy, in the units that their names say. */
export interface Figures {
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
export interface Ending {
  readonly organisation: string
  readonly kind: string
  readonly streamed: boolean
  readonly good: boolean
  readonly inTime: boolean
  readonly firstTokenMilliseconds: number
  readonly betweenTokensMilliseconds: number
  readonly exposed: boolean
}

/** Groups with fewer answers say nothing of a share. */
const fewestAnswers = 40

/**
 * The value below which a share of the values lies; 0 without values.
 *
 * @example
 * percentile(firstTokens, 0.95)
 */
export function percentile (values: readonly number[], share: number): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!
}

/** Adds up one run. */
export class Measure {
  readonly #endings: Ending[] = []
  #cost = 0
  #promptTokens = 0
  #cachedTokens = 0
  #linkBytes = 0
  #refused = 0

  end (ending: Ending): void {
    this.#endings.push(ending)
  }

  refuse (): void {
    this.#refused++
  }

  spend (cost: number): void {
    this.#cost += cost
  }

  /** Counts a prompt, and what of it was cached. */
  prefill (promptTokens: number, cachedTokens: number): void {
    this.#promptTokens += promptTokens
    this.#cachedTokens += cachedTokens
  }

  /** The share of prompt tokens that engines had cached. */
  get cachedShare (): number {
    return this.#cachedTokens / Math.max(1, this.#promptTokens)
  }

  cross (bytes: number): void {
    this.#linkBytes += bytes
  }

  /** First tokens of streamed requests of some organisations, in milliseconds. */
  firstTokens (of: (organisation: string) => boolean = () => true): number[] {
    return this.#endings.filter(ending => ending.streamed && of(ending.organisation)).map(ending => ending.firstTokenMilliseconds)
  }

  /**
   * The figures of the run.
   *
   * @param seconds how long requests were measured
   * @param target the share of good answers to reach
   */
  figures (seconds: number, target: number): Figures {
    const good = this.#endings.filter(ending => ending.good && ending.inTime).length
    const firstTokens = this.firstTokens()
    const between = this.#endings.filter(ending => ending.streamed).map(ending => ending.betweenTokensMilliseconds)
    return {
      cost_per_good_answer: this.#cost / Math.max(1, good),
      quality_met: this.#qualityMet(target),
      first_token_ms: { p50: percentile(firstTokens, 0.5), p95: percentile(firstTokens, 0.95), p99: percentile(firstTokens, 0.99) },
      between_tokens_ms: percentile(between, 0.95),
      goodput: good / seconds,
      exposed_requests: this.#endings.filter(ending => ending.exposed).length,
      link_bytes: this.#linkBytes,
      refused: this.#refused
    }
  }

  /** A group misses the target where its share is below it by more than chance explains. */
  #qualityMet (target: number): number {
    const groups = new Map<string, { answers: number, good: number }>()
    for (const { organisation, kind, good } of this.#endings) {
      const key = `${organisation}/${kind}`
      const group = groups.get(key) ?? { answers: 0, good: 0 }
      group.answers++
      if (good) group.good++
      groups.set(key, group)
    }
    const large = [...groups.values()].filter(group => group.answers >= fewestAnswers)
    const met = large.filter(({ answers, good }) => good / answers >= target - 1.64 * Math.sqrt(target * (1 - target) / answers))
    return large.length === 0 ? 1 : met.length / large.length
  }
}
