/**
 * Extra attempts (retries and hedges) as a share of first attempts: in an outage each request fails,
 * and a fixed count of retries would multiply the load just then. A small floor lets a daemon with
 * little traffic retry at all.
 */
import type { AttemptBudget } from './contract.ts'

/** The figures of a budget. */
export interface RatioAttemptBudgetFigures {
  /** Extra attempts that one first attempt earns. */
  readonly ratio: number
  /** Extra attempts a second that are there without traffic. */
  readonly floorPerSecond: number
  /** Extra attempts that can be saved up. */
  readonly most: number
}

const defaultFigures: RatioAttemptBudgetFigures = { ratio: 0.1, floorPerSecond: 0.2, most: 10 }

/**
 * A budget of extra attempts as a share of first attempts.
 *
 * @example
 * const budget = new RatioAttemptBudget()
 * budget.earn(clock.now())
 * if (budget.spend(clock.now())) retry()
 */
export class RatioAttemptBudget implements AttemptBudget {
  readonly #figures: RatioAttemptBudgetFigures
  #saved: number
  #filledAt: number | undefined

  constructor (figures: Partial<RatioAttemptBudgetFigures> = {}) {
    this.#figures = { ...defaultFigures, ...figures }
    this.#saved = Math.min(1, this.#figures.most)
  }

  earn (now: number): void {
    this.#fill(now)
    this.#saved = Math.min(this.#figures.most, this.#saved + this.#figures.ratio)
  }

  spend (now: number): boolean {
    this.#fill(now)
    if (this.#saved < 1) return false
    this.#saved -= 1
    return true
  }

  #fill (now: number): void {
    const seconds = Math.max(0, now - (this.#filledAt ?? now)) / 1_000
    this.#saved = Math.min(this.#figures.most, this.#saved + seconds * this.#figures.floorPerSecond)
    this.#filledAt = now
  }
}
