/**
 * Attempts that this daemon has in flight at an endpoint. A load report does not include attempts
 * opened after it was made, so these are added to it. Attempts are kept in a short list ordered by
 * time, of which only the part newer than the report is read.
 */

/** Work in flight that the latest report does not include. */
export interface UnreportedWork {
  readonly streams: number
  /** Prompt tokens of attempts that have not received their first token. */
  readonly promptTokens: number
}

/** One attempt that is in flight. */
export interface InFlightAttempt {
  readonly openedAt: number
  readonly promptTokens: number
  prefilled: boolean
  ended: boolean
}

/** This daemon's attempts at one endpoint. */
export class InFlightAttempts {
  #attempts: InFlightAttempt[] = []

  /** Attempts that have not ended. */
  get openCount (): number {
    return this.#attempts.reduce((count, attempt) => attempt.ended ? count : count + 1, 0)
  }

  /** Adds an attempt; the caller updates the returned object as it progresses. */
  add (promptTokens: number, now: number): InFlightAttempt {
    const attempt = { openedAt: now, promptTokens, prefilled: false, ended: false }
    this.#attempts.push(attempt)
    if (this.#attempts.length > 64) this.#attempts = this.#attempts.filter(other => !other.ended)
    return attempt
  }

  /** Sums the attempts that were opened after a time and are still in flight. */
  openedSince (time: number): UnreportedWork {
    let streams = 0
    let promptTokens = 0
    for (let index = this.#attempts.length - 1; index >= 0; index--) {
      const attempt = this.#attempts[index]!
      if (attempt.openedAt <= time) break
      if (attempt.ended) continue
      streams++
      if (!attempt.prefilled) promptTokens += attempt.promptTokens
    }
    return { streams, promptTokens }
  }
}
