/**
 * Estimates completion lengths per kind of request. A caller's token limit is only an upper bound:
 * using it as the estimate would refuse requests whose answers end long before their deadline.
 */

/** Estimate for a kind without observations. */
const defaultExpectedTokens = 128
/** Weight of a new observation in the exponential moving average. */
const smoothingFactor = 0.05

/**
 * Exponential moving average of completion lengths, per kind.
 *
 * @example
 * lengths.observe('tagging', 20)
 * lengths.expected('tagging', 512) // nearer to 20
 */
export class CompletionLengthEstimator {
  readonly #means = new Map<string, number>()

  /** Records the length of a complete answer, in tokens. */
  observe (kind: string, tokens: number): void {
    const mean = this.#means.get(kind) ?? tokens
    this.#means.set(kind, mean + smoothingFactor * (tokens - mean))
  }

  /**
   * Returns the expected number of tokens.
   *
   * @param maximumTokens the caller's limit
   */
  expected (kind: string, maximumTokens: number): number {
    return Math.min(maximumTokens, Math.ceil(this.#means.get(kind) ?? defaultExpectedTokens))
  }
}
