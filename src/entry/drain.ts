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
  #running = 0
  #draining = false
  #whenEmpty: (() => void) | undefined

  /** Whether nothing new is let in. */
  get draining (): boolean {
    return this.#draining
  }

  /** Requests being served. */
  get running (): number {
    return this.#running
  }

  /** Lets a request in, and returns what to call when it ended; undefined while draining. */
  enter (): (() => void) | undefined {
    if (this.#draining) return undefined
    this.#running++
    let left = false
    return () => {
      if (left) return
      left = true
      this.#running--
      if (this.#running === 0) this.#whenEmpty?.()
    }
  }

  /** Lets nothing new in. */
  begin (): void {
    this.#draining = true
  }

  /** Waits until nothing is being served. */
  async empty (): Promise<void> {
    if (this.#running === 0) return
    await new Promise<void>(resolve => { this.#whenEmpty = resolve })
  }
}
