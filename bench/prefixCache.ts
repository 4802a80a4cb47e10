/** An engine's cache of prompt prefixes, with a capacity in tokens and least-recently-used eviction. */
export class PrefixCache {
  readonly #entries = new Map<string, number>()
  readonly #capacityTokens: number
  #tokens = 0

  constructor (capacityTokens: number) {
    this.#capacityTokens = capacityTokens
  }

  /** @returns the tokens cached under a key, which becomes the most recently used; 0 if there are none */
  use (key: string): number {
    const tokens = this.#entries.get(key)
    if (tokens === undefined) return 0
    this.#entries.delete(key)
    this.#entries.set(key, tokens)
    return tokens
  }

  /** @returns the tokens cached under a key, without changing the order of eviction */
  peek (key: string): number {
    return this.#entries.get(key) ?? 0
  }

  /** Replaces the entry of a key and evicts the least recently used entries beyond the capacity. */
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
