/**
 * The planned stop of this gateway, as requests see it: shortly before its end nothing more is sent to
 * endpoints, and requests that still wait are refused, so that their callers try another gateway.
 */
import type { Clock } from '../contract/index.ts'

/** How much later than it was sent a busy VM may notice the signal to stop. The platform counts from when it was sent. */
export const signalDelayMilliseconds = 400

/**
 * @example
 * const body = await plannedStop.orEnd(readBoundedBody(request, { maximumBytes }))
 * if (body === undefined) refuse(ForwardRefusals.stopping)
 */
export class PlannedStop {
  readonly #clock: Clock
  readonly #listeners = new Set<() => void>()
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

  /** When sending to endpoints ends, in milliseconds of the process's clock; infinite if no stop has begun. */
  get lastSendAt (): number {
    return this.#lastSendAt
  }

  /** Whether a stop has begun. */
  get hasBegun (): boolean {
    return this.#lastSendAt !== Infinity
  }

  /** Whether nothing is sent to endpoints any more. */
  get hasEndedSending (): boolean {
    return this.#clock.now() >= this.#lastSendAt
  }

  /** Whether the stop has reached its bound and closed connections with requests in flight. */
  get hasCut (): boolean {
    return this.#hasCut
  }

  /** Begins the stop. */
  begin (lastSendAt: number): void {
    this.#begunAt = this.#clock.now()
    this.#lastSendAt = lastSendAt
  }

  /** Ends what waits, if the time for sending is over. */
  endWaits (): void {
    if (!this.hasEndedSending) return
    for (const end of [...this.#listeners]) end()
  }

  /** Records that the remaining requests are cut. */
  cut (): void {
    this.#hasCut = true
  }

  /**
   * Calls a function when sending ends.
   *
   * @returns a function that takes it back
   */
  onEnd (end: () => void): () => void {
    this.#listeners.add(end)
    return () => this.#listeners.delete(end)
  }

  /** The value of a promise, or undefined if sending ends before. */
  orEnd <Value>(promise: Promise<Value>): Promise<Value | undefined> {
    return new Promise((resolve, reject) => {
      const forget = this.onEnd(() => resolve(undefined))
      promise.then(resolve, reject).finally(forget)
    })
  }
}
