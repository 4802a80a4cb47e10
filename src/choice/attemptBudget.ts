/**
 * Limits extra attempts (retries and hedges) to a share of first attempts. In an outage every request
 * fails, and a fixed number of retries per request would multiply the load at the worst time. A small
 * minimum rate lets a daemon with little traffic retry at all.
 */
import type { AttemptBudget } from './contract.ts'

export interface RatioAttemptBudgetOptions {
  /** Extra attempts added to the balance for each first attempt. */
  readonly ratio: number
  /** Extra attempts per second that are added even without traffic. */
  readonly minimumPerSecond: number
  /** The largest balance of extra attempts. */
  readonly capacity: number
}

const defaultOptions: RatioAttemptBudgetOptions = { ratio: 0.1, minimumPerSecond: 0.2, capacity: 10 }

/**
 * A token bucket of extra attempts, refilled by first attempts and by time.
 *
 * @example
 * const budget = new RatioAttemptBudget()
 * budget.recordFirstAttempt(clock.now())
 * if (budget.tryAcquire(clock.now())) retry()
 */
export class RatioAttemptBudget implements AttemptBudget {
  readonly #options: RatioAttemptBudgetOptions
  #balance: number
  #refilledAt: number | undefined

  constructor (options: Partial<RatioAttemptBudgetOptions> = {}) {
    this.#options = { ...defaultOptions, ...options }
    this.#balance = Math.min(1, this.#options.capacity)
  }

  recordFirstAttempt (now: number): void {
    this.#refill(now)
    this.#balance = Math.min(this.#options.capacity, this.#balance + this.#options.ratio)
  }

  tryAcquire (now: number): boolean {
    this.#refill(now)
    if (this.#balance < 1) return false
    this.#balance -= 1
    return true
  }

  #refill (now: number): void {
    const seconds = Math.max(0, now - (this.#refilledAt ?? now)) / 1_000
    this.#balance = Math.min(this.#options.capacity, this.#balance + seconds * this.#options.minimumPerSecond)
    this.#refilledAt = now
  }
}
