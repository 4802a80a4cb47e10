/**
 * Counts how often one request is written to endpoints. The first time belongs to the request; every further
 * one, whatever the cause and however the endpoint responds, is a repeat that draws on the retry budget of the
 * service. It draws in the event-loop turn that writes, so that what is never written costs nothing.
 */
import type { RetryBudget } from '../placement/index.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'
import { SendKind } from './openAttempt.ts'

export interface RequestArrivalsOptions {
  readonly service: string
  readonly retryBudget: RetryBudget
  readonly metrics: Pick<GatewayMetrics, 'sends' | 'heldBackRepeats'>
}

/**
 * @example
 * if (arrivals.mayFollow(now)) arrivals.record(now)
 */
export class RequestArrivals {
  readonly #options: RequestArrivalsOptions
  #count = 0
  #firstAt: number | undefined
  #lastAt: number | undefined
  #isHeldBack = false

  constructor (options: RequestArrivalsOptions) {
    this.#options = options
  }

  /** When it was first written, in milliseconds of the process's clock; undefined before. */
  get firstAt (): number | undefined {
    return this.#firstAt
  }

  /** When it was last written, in milliseconds of the process's clock; undefined before. */
  get lastAt (): number | undefined {
    return this.#lastAt
  }

  /** Whether the budget held the request back when it was last to be written. */
  get isHeldBack (): boolean {
    return this.#isHeldBack
  }

  /** Whether the request may be written now; the first time it always may. */
  mayFollow (now: number): boolean {
    const { metrics, service } = this.#options
    const wasHeldBack = this.#isHeldBack
    this.#isHeldBack = this.#count > 0 && !this.allowsRepeat(now)
    if (this.#isHeldBack && !wasHeldBack) metrics.heldBackRepeats.inc({ service })
    return !this.#isHeldBack
  }

  /** Whether the budget allows a repeat, for a decision to give up a run or to plan a second one. */
  allowsRepeat (now: number): boolean {
    const { retryBudget, service } = this.#options
    return retryBudget.allows(service, now)
  }

  /** Records that the request is written now. */
  record (now: number): void {
    const { metrics, retryBudget, service } = this.#options
    const kind = this.#count === 0 ? SendKind.First : SendKind.Repeat
    if (kind === SendKind.Repeat) retryBudget.tryConsume(service, now)
    metrics.sends.inc({ service, kind })
    this.#count++
    this.#firstAt ??= now
    this.#lastAt = now
  }
}
