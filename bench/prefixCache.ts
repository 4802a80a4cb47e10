/** An engine's cache of prompt prefixes: bounded in tokens, the least recently used goes first. */
export class PrefixCache {
  readonly #entries = new Map<string, number>()
  readonly #capacityTokens: number
  #tokens = 0

  constructor (capacityTokens: number) {
    this.#capacityTokens = capacityTokens
  }

  /** Tokens cached under a key, which becomes the most recently used. */
  use (key: string): number {
    const tokens = this.#entries.get(key)
    if (tokens === undefined) return 0
    this.#entries.delete(key)
    this.#entries.set(key, tokens)
    return tokens
  }

  /** Tokens cached under a key, without using it. */
  peek (key: string): number {
    return this.#entries.get(key) ?? 0
  }

  /** Keeps so many tokens under a key, in place of what was there. */
  put (key: string, tokens: number): void {
    this.#tokens += tokens - (this.#entries.get(key) ?? 0)
    this.#entries.delete(key)
    this.#entries.set(key, tokens)
    for (const [oldest, size] of this.#entries) {
      if (this.#tokens <= this.#capacityTokens) return
      this.#entries.delete(oldest)
      this.#tokens -= size
    }
  }

  clear (): void {
    this.#entries.clear()
    this.#tokens = 0
  }
}
