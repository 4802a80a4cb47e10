/**
 * Demand of one organisation at one daemon, as an exponentially decaying rate, and the choice of the
 * requests that are admitted when its allowance covers only a part of the demand.
 */
import { WorkRate } from './workRate.ts'

const idleTimeoutMilliseconds = 60_000
/** Requests excluded from the demand rate: two requests of a small organisation may arrive together. */
const burstRequests = 2

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

  /** Work per second that the organisation may use. */
  get allowancePerSecond (): number {
    return this.#allowancePerSecond
  }

  /**
   * Sets the work per second that the organisation may use from now on.
   *
   * @param ownPerSecond the organisation's own share, without lent capacity
   */
  setAllowance (workPerSecond: number, ownPerSecond: number): void {
    this.#allowancePerSecond = workPerSecond
    this.#ownPerSecond = ownPerSecond
  }

  /** Counts requested work, whether or not it is admitted. */
  recordDemand (work: number, now: number): void {
    this.#demand.add(work, now)
    this.#lastRequestAt = now
  }

  /** Requested work per second. */
  demandPerSecond (now: number): number {
    return this.#demand.perSecond(now)
  }

  /**
   * Ratio of the demand before a request of `work` to the allowance.
   *
   * @returns 1 or less if the demand is within the allowance
   */
  allowanceRatio (work: number, now: number): number {
    return this.#demandBeyondBurst(work, now) / Math.max(Number.MIN_VALUE, this.#allowancePerSecond)
  }

  /** Ratio of the demand before a request of `work` to the organisation's own share. */
  ownShareRatio (work: number, now: number): number {
    return this.#demandBeyondBurst(work, now) / Math.max(Number.MIN_VALUE, this.#ownPerSecond)
  }

  /** Spreads admissions evenly over requests: admits `fraction / ratio` of them. */
  tryAdmit (ratio: number, fraction: number): boolean {
    this.#credit = Math.min(1 + fraction, this.#credit + fraction / ratio)
    if (this.#credit < 1) return false
    this.#credit -= 1
    return true
  }

  /** Whether no request has arrived within the idle timeout. */
  isIdle (now: number): boolean {
    return now - this.#lastRequestAt > idleTimeoutMilliseconds
  }

  #demandBeyondBurst (work: number, now: number): number {
    return Math.max(0, this.demandPerSecond(now) - WorkRate.rateOf(burstRequests * work))
  }
}
