/**
 * Counts how often one request is written to endpoints. The first time belongs to the request; every further
 * one, whatever the cause and however the endpoint responds, is a retry that draws on the retry budget of the
 * service. It draws in the event-loop turn that writes, so that what is never written costs nothing. Until then a
 * retry that is being prepared is reserved: a run that is given up for it could otherwise be given up for nothing.
 */
import type { RetryBudget } from '../placement/index.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'
import { SendKind } from './openAttempt.ts'

export interface RequestSendsOptions {
  readonly service: string
  readonly retryBudget: RetryBudget
  readonly metrics: Pick<GatewayMetrics, 'sends' | 'heldBackRetries'>
}

/**
 * @example
 * if (sends.tryPrepare(now)) connect()
 * if (sends.mayWrite(now)) sends.recordWrite(now)
 */
export class RequestSends {
  readonly #options: RequestSendsOptions
  #count = 0
  #firstAt: number | undefined
  #lastAt: number | undefined
  #isReserved = false
  #isHeldBack = false

  constructor (options: RequestSendsOptions) {
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

  /** Whether the budget allows a retry, for a decision to give up a run or to plan a second one. */
  allowsRetry (now: number): boolean {
    const { retryBudget, service } = this.#options
    return this.#isReserved || retryBudget.allows(service, now)
  }

  /** Whether an attempt may be prepared; the first always may. Reserves a retry until it is written or the request ends. */
  tryPrepare (now: number): boolean {
    const { retryBudget, service } = this.#options
    if (this.#count === 0 || this.#isReserved) return true
    this.#isReserved = retryBudget.tryReserve(service, now)
    this.#recordHeldBack(!this.#isReserved)
    return this.#isReserved
  }

  /** Whether the request may be written now. */
  mayWrite (now: number): boolean {
    const { retryBudget, service } = this.#options
    this.close()
    this.#recordHeldBack(this.#count > 0 && !retryBudget.allows(service, now))
    return !this.#isHeldBack
  }

  /** Records that the request is written now, which `mayWrite` has allowed. */
  recordWrite (now: number): void {
    const { metrics, retryBudget, service } = this.#options
    const kind = this.#count === 0 ? SendKind.First : SendKind.Retry
    if (kind === SendKind.Retry) retryBudget.recordRetry(service, now)
    metrics.sends.inc({ service, kind })
    this.#count++
    this.#firstAt ??= now
    this.#lastAt = now
  }

  /** Gives back what is reserved. */
  close (): void {
    const { retryBudget, service } = this.#options
    if (this.#isReserved) retryBudget.release(service)
    this.#isReserved = false
  }

  #recordHeldBack (isHeldBack: boolean): void {
    const { metrics, service } = this.#options
    if (isHeldBack && !this.#isHeldBack) metrics.heldBackRetries.inc({ service })
    this.#isHeldBack = isHeldBack
  }
}
