/**
 * Counts what a planned stop must wait for. Once draining has begun nothing new is let in, and the
 * stop goes on when the last request has ended; every request has a deadline, so the wait is bounded.
 */

/**
 * The requests of a daemon that are being served.
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

  /** Whether nothing new is let in. */
  get isDraining (): boolean {
    return this.#isDraining
  }

  /** Requests being served. */
  get requestsInFlight (): number {
    return this.#requestsInFlight
  }

  /** Lets a request in, and returns what to call when it ended; undefined while draining. */
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

  /** Lets nothing new in. */
  begin (): void {
    this.#isDraining = true
  }

  /** Waits until nothing is being served. */
  async waitUntilEmpty (): Promise<void> {
    if (this.#requestsInFlight === 0) return
    await new Promise<void>(resolve => { this.#resolveEmpty = resolve })
  }
}
