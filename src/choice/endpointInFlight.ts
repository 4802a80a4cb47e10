/**
 * What this daemon itself has sent to an endpoint. A report is late; whatever was opened after it
 * was made is not in it and is added. Opened work is kept as a short list in order of time, of
 * which only the part newer than the report is read.
 */

/** Work opened later than a moment and not ended. */
export interface UnreportedWork {
  readonly streams: number
  /** Prompt tokens whose first token has not come yet. */
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

  /** Adds an attempt; the caller marks its progress on what is returned. */
  add (promptTokens: number, now: number): InFlightAttempt {
    const attempt = { openedAt: now, promptTokens, prefilled: false, ended: false }
    this.#attempts.push(attempt)
    if (this.#attempts.length > 64) this.#attempts = this.#attempts.filter(other => !other.ended)
    return attempt
  }

  /** What was opened after a moment and is still in flight. */
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
