/**
 * Tracks the requests that a planned stop waits for. While draining, new requests are rejected. Every
 * request has a deadline, so the wait for the last one is bounded.
 */

/**
 * Requests in flight at a daemon.
 *
 * @example
 * const leave = drain.enter()
 * if (leave === undefined) return refuse()
 * try { await serve() } finally { leave() }
 */
export class Drain {
  #requestsInFlight = 0
  #isDraining = false
  #resolveEmpty: (() => void) | undefined

  /** Whether new requests are rejected. */
  get isDraining (): boolean {
    return this.#isDraining
  }

  get requestsInFlight (): number {
    return this.#requestsInFlight
  }

  /** Registers a request and returns a function to call when it ends; undefined while draining. */
  enter (): (() => void) | undefined {
    if (this.#isDraining) return undefined
    this.#requestsInFlight++
    let hasLeft = false
    return () => {
      if (hasLeft) return
      hasLeft = true
      this.#requestsInFlight--
      if (this.#requestsInFlight === 0) this.#resolveEmpty?.()
    }
  }

  /** Starts draining. */
  begin (): void {
    this.#isDraining = true
  }

  /** Resolves when no request is in flight. */
  async waitUntilEmpty (): Promise<void> {
    if (this.#requestsInFlight === 0) return
    await new Promise<void>(resolve => { this.#resolveEmpty = resolve })
  }
}
