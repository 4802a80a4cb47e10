/**
 * What one organisation asks for at one daemon, as a rate that forgets over some seconds, and which
 * of its requests are let in when it may have only a part of that.
 */
import { WorkRate } from './limitsRate.ts'

const idleMilliseconds = 60_000
/** So many requests in a row are not yet a rate: a small organisation's two may come together. */
const forgivenRequests = 2

/** One organisation's demand at one daemon. */
export class OrganisationDemand {
  share: number
  readonly #offered: WorkRate
  #allowance = Number.POSITIVE_INFINITY
  #own = Number.POSITIVE_INFINITY
  #credit = 1
  #lastOfferAt: number

  constructor (share: number, now: number) {
    this.share = share
    this.#offered = new WorkRate(now)
    this.#lastOfferAt = now
  }

  /** Work a second that it may use. */
  get allowance (): number {
    return this.#allowance
  }

  /**
   * Sets the work a second that it may use from now on.
   *
   * @param ownPerSecond the part of it that is its own share, with nothing lent
   */
  allow (workPerSecond: number, ownPerSecond: number): void {
    this.#allowance = workPerSecond
    this.#own = ownPerSecond
  }

  /** Counts work that is asked for, whether or not it is let in. */
  offer (work: number, now: number): void {
    this.#offered.add(work, now)
    this.#lastOfferAt = now
  }

  /** Work a second that it asks for. */
  offeredPerSecond (now: number): number {
    return this.#offered.perSecond(now)
  }

  /**
   * How many times its allowance it asks for, before a request of so much work.
   *
   * @returns 1 or less where it keeps within the allowance
   */
  excess (work: number, now: number): number {
    return this.#asked(work, now) / Math.max(Number.MIN_VALUE, this.#allowance)
  }

  /** How many times its own share it asks for, before a request of so much work. */
  excessOfOwn (work: number, now: number): number {
    return this.#asked(work, now) / Math.max(Number.MIN_VALUE, this.#own)
  }

  /** Spreads what is let in evenly over what is asked for: true for one request of `excess`. */
  isNext (excess: number, part: number): boolean {
    this.#credit = Math.min(1 + part, this.#credit + part / excess)
    if (this.#credit < 1) return false
    this.#credit -= 1
    return true
  }

  /** Whether it has asked for nothing for long. */
  idle (now: number): boolean {
    return now - this.#lastOfferAt > idleMilliseconds
  }

  #asked (work: number, now: number): number {
    return Math.max(0, this.offeredPerSecond(now) - WorkRate.of(forgivenRequests * work))
  }
}
