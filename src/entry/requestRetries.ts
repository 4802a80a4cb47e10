/** The retries of one request, however many versions answer it one after the other. */
import type { AttemptBudget } from '../choice/index.ts'

/** Retries per request, regardless of the attempt budget. */
const maximumRetries = 2

/**
 * @example
 * const retries = new RequestRetries(budget, clock.now())
 * if (retries.tryTake(clock.now())) sendAgain()
 */
export class RequestRetries {
  readonly #budget: AttemptBudget
  #left = maximumRetries

  /** @param now when the request's first attempt is made */
  constructor (budget: AttemptBudget, now: number) {
    this.#budget = budget
    budget.recordFirstAttempt(now)
  }

  /** Takes one retry from the request and from the attempt budget; false if either has none left. */
  tryTake (now: number): boolean {
    if (this.#left === 0 || !this.#budget.tryAcquire(now)) return false
    this.#left--
    return true
  }
}
