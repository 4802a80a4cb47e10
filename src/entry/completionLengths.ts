/**
 * How long answers are, learned by kind. A caller's token limit is a ceiling, not an expectation:
 * taking it for one would refuse requests whose answers end long before their deadline.
 */

/** Tokens expected of a kind that has not been seen. */
const unseenTokens = 128
/** The weight of a new answer in the mean. */
const newWeight = 0.05

/**
 * The expected length of answers.
 *
 * @example
 * lengths.observe('tagging', 20)
 * lengths.expected('tagging', 512) // nearer to 20
 */
export class CompletionLengths {
  readonly #means = new Map<string, number>()

  /** Learns from a whole answer. */
  observe (kind: string, tokens: number): void {
    const mean = this.#means.get(kind) ?? tokens
    this.#means.set(kind, mean + newWeight * (tokens - mean))
  }

  /**
   * Tokens expected of an answer.
   *
   * @param maximum the caller's limit
   */
  expected (kind: string, maximum: number): number {
    return Math.min(maximum, Math.ceil(this.#means.get(kind) ?? unseenTokens))
  }
}
