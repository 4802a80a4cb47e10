/**
 * Extra attempts (retries and hedges) as a share of first attempts: in an outage each request fails,
 * and a fixed count of retries would multiply the load just then. A small floor lets a daemon with
 * little traffic retry at all.
 */
import type { AttemptBudget } from './contract.ts'

/** The figures of a budget. */
export interface RatioAttemptBudgetOptions {
  /** Extra attempts that one first attempt earns. */
  readonly ratio: number
  /** Extra attempts a second that are there without traffic. */
  readonly minimumPerSecond: number
  /** Extra attempts that can be saved up. */
  readonly capacity: number
}

const defaultOptions: RatioAttemptBudgetOptions = { ratio: 0.1, minimumPerSecond: 0.2, capacity: 10 }

/**
 * A budget of extra attempts as a share of first attempts.
 *
 * @example
 * const budget = new RatioAttemptBudget()
 * budget.earn(clock.now())
 * if (budget.spend(clock.now())) retry()
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
