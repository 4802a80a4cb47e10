/**
 * What one organisation asks for at one daemon, as a rate that forgets over some seconds, and which
 * of its requests are let in when it may have only a part of that.
 */
import { WorkRate } from './workRate.ts'

const idleTimeoutMilliseconds = 60_000
/** So many requests in a row are not yet a rate: a small organisation's two may come together. */
const burstRequests = 2

/** One organisation's demand at one daemon. */
export class OrganisationDemand {
  share: number
  readonly #demand: WorkRate
  #allowancePerSecond = Number.POSITIVE_INFINITY
  #ownPerSecond = Number.POSITIVE_INFINITY
  #credit = 1
  #lastRequestAt: number

  constructor (share: number, now: number) {
    this.share = share
    this.#demand = new WorkRate(now)
    this.#lastRequestAt = now
  }

  /** Work a second that it may use. */
  get allowancePerSecond (): number {
    return this.#allowancePerSecond
  }

  /**
   * Sets the work a second that it may use from now on.
   *
   * @param ownPerSecond the part of it that is its own share, with nothing lent
   */
  setAllowance (workPerSecond: number, ownPerSecond: number): void {
    this.#allowancePerSecond = workPerSecond
    this.#ownPerSecond = ownPerSecond
  }

  /** Counts work that is asked for, whether or not it is let in. */
  recordDemand (work: number, now: number): void {
    this.#demand.add(work, now)
    this.#lastRequestAt = now
  }

  /** Work a second that it asks for. */
  demandPerSecond (now: number): number {
    return this.#demand.perSecond(now)
  }

  /**
   * How many times its allowance it asks for, before a request of so much work.
   *
   * @returns 1 or less where it keeps within the allowance
   */
  allowanceRatio (work: number, now: number): number {
    return this.#demandBeyondBurst(work, now) / Math.max(Number.MIN_VALUE, this.#allowancePerSecond)
  }

  /** How many times its own share it asks for, before a request of so much work. */
  ownShareRatio (work: number, now: number): number {
    return this.#demandBeyondBurst(work, now) / Math.max(Number.MIN_VALUE, this.#ownPerSecond)
  }

  /** Spreads what is let in evenly over what is asked for: true for one request of `excess`. */
  tryAdmit (ratio: number, fraction: number): boolean {
    this.#credit = Math.min(1 + fraction, this.#credit + fraction / ratio)
    if (this.#credit < 1) return false
    this.#credit -= 1
    return true
  }

  /** Whether it has asked for nothing for long. */
  isIdle (now: number): boolean {
    return now - this.#lastRequestAt > idleTimeoutMilliseconds
  }

  #demandBeyondBurst (work: number, now: number): number {
    return Math.max(0, this.demandPerSecond(now) - WorkRate.rateOf(burstRequests * work))
  }
}
