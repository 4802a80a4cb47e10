/**
 * Counts how often one request is written to endpoints. The first time belongs to the request; every further
 * one, whatever the cause and however the endpoint responds, is a repeat that draws on the retry budget of the
 * service. It draws in the event-loop turn that writes, so that what is never written costs nothing.
 */
import type { RetryBudget } from '../placement/index.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'

/** Which arrival of a request one is. */
const ArrivalKind = {
  First: 'first',
  Repeat: 'repeat'
} as const

export interface RequestArrivalsOptions {
  readonly service: string
  readonly retryBudget: RetryBudget
  readonly metrics: Pick<GatewayMetrics, 'arrivals' | 'heldBackRepeats'>
}

/**
 * @example
 * if (arrivals.mayFollow(now)) arrivals.record(now)
 */
export class RequestArrivals {
  readonly #options: RequestArrivalsOptions
  #count = 0
  #isHeldBack = false

  constructor (options: RequestArrivalsOptions) {
    this.#options = options
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
    const kind = this.#count === 0 ? ArrivalKind.First : ArrivalKind.Repeat
    if (kind === ArrivalKind.Repeat) retryBudget.tryConsume(service, now)
    metrics.arrivals.inc({ service, kind })
    this.#count++
  }
}
