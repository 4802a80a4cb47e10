/**
 * The planned stop of this gateway, as requests see it: what could not be answered before its end is not sent to
 * endpoints any more, and requests that still wait then are refused, so that their callers try another gateway.
 */
import type { Clock } from '../contract/index.ts'

/** How much later than it was sent a busy VM may notice the signal to stop. The platform counts from when it was sent. */
export const signalDelayMilliseconds = 400

/** Until when something may wait during a planned stop, in milliseconds of the process's clock. */
export interface WaitLimit {
  readonly closesAt: number
}

/**
 * @example
 * const body = await plannedStop.orEnd(readBoundedBody(request, { maximumBytes }), sendWindow)
 * if (body === undefined) refuse(ForwardRefusals.stopping)
 */
export class PlannedStop {
  readonly #clock: Clock
  readonly #waits = new Map<() => void, WaitLimit>()
  readonly #runs = new Set<() => void>()
  #begunAt: number | undefined
  #lastSendAt = Infinity
  #hasCut = false

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** When the stop began, in milliseconds of the process's clock; undefined before. */
  get begunAt (): number | undefined {
    return this.#begunAt
  }

  /** When sending to endpoints ends, and answers are to have arrived, in milliseconds of the process's clock; infinite if no stop has begun. */
  get lastSendAt (): number {
    return this.#lastSendAt
  }

  /** The limit of waits whose route is not known yet. */
  get closesAt (): number {
    return this.#lastSendAt
  }

  /** Whether a stop has begun. */
  get hasBegun (): boolean {
    return this.#begunAt !== undefined
  }

  /** Whether the stop has reached its bound with requests in flight, and ended them. */
  get hasCut (): boolean {
    return this.#hasCut
  }

  /** Begins the stop. */
  begin (lastSendAt: number): void {
    this.#begunAt = this.#clock.now()
    this.#lastSendAt = lastSendAt
  }

  /** Ends the waits that have reached their limits. */
  endWaits (): void {
    const now = this.#clock.now()
    for (const [end, limit] of [...this.#waits]) {
      if (now >= limit.closesAt) end()
    }
  }

  /** Ends the remaining runs, so that their callers get answers that promise nothing. */
  cut (): void {
    this.#hasCut = true
    for (const end of [...this.#runs]) end()
  }

  /**
   * Calls a function when the remaining runs are ended.
   *
   * @returns a function that takes it back
   */
  onCut (end: () => void): () => void {
    this.#runs.add(end)
    return () => this.#runs.delete(end)
  }

  /**
   * Calls a function when a wait has reached its limit during a stop.
   *
   * @returns a function that takes it back
   */
  onEnd (end: () => void, limit: WaitLimit): () => void {
    this.#waits.set(end, limit)
    return () => this.#waits.delete(end)
  }

  /** The value of a promise, or undefined if the wait for it reaches its limit during a stop. */
  orEnd <Value>(promise: Promise<Value>, limit: WaitLimit): Promise<Value | undefined> {
    return new Promise((resolve, reject) => {
      const forget = this.onEnd(() => resolve(undefined), limit)
      promise.then(resolve, reject).finally(forget)
    })
  }
}
