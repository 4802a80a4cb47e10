/**
 * How long answers are, learned by kind. A caller's token limit is a ceiling, not an expectation:
 * taking it for one would refuse requests whose answers end long before their deadline.
 */

/** Tokens expected of a kind that has not been seen. */
const defaultExpectedTokens = 128
/** The weight of a new answer in the mean. */
const smoothingFactor = 0.05

/**
 * The expected length of answers.
 *
 * @example
 * lengths.observe('tagging', 20)
 * lengths.expected('tagging', 512) // nearer to 20
 */
export class CompletionLengthEstimator {
  readonly #means = new Map<string, number>()

  /** Learns from a whole answer. */
  observe (kind: string, tokens: number): void {
    const mean = this.#means.get(kind) ?? tokens
    this.#means.set(kind, mean + smoothingFactor * (tokens - mean))
  }

  /**
   * Tokens expected of an answer.
   *
   * @param maximumTokens the caller's limit
   */
  expected (kind: string, maximumTokens: number): number {
    return Math.min(maximumTokens, Math.ceil(this.#means.get(kind) ?? defaultExpectedTokens))
  }
}
