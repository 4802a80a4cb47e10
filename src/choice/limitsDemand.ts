/**
 * What one organisation asks for at one daemon and what it was given: two rates that forget over a
 * few seconds, and a token bucket that is filled at its allowance.
 */

const memoryMilliseconds = 4_000
const idleMilliseconds = 60_000
/** The bucket may be overdrawn by one request; this bounds how long that can shut the organisation out. */
const deepestDebtSeconds = 2

class Rate {
  #amount = 0
  #at: number

  constructor (now: number) {
    this.#at = now
  }

  add (work: number, now: number): void {
    this.#forget(now)
    this.#amount += work
  }

  perSecond (now: number): number {
    this.#forget(now)
    return this.#amount / memoryMilliseconds * 1_000
  }

  #forget (now: number): void {
    if (now <= this.#at) return
    this.#amount *= Math.exp(-(now - this.#at) / memoryMilliseconds)
    this.#at = now
  }
}

/** One organisation's demand at one daemon. */
export class OrganisationDemand {
  share: number
  readonly #offered: Rate
  readonly #taken: Rate
  #allowance = 0
  #bucket = 0
  #filledAt: number
  #lastOfferAt: number

  constructor (share: number, now: number) {
    this.share = share
    this.#offered = new Rate(now)
    this.#taken = new Rate(now)
    this.#filledAt = now
    this.#lastOfferAt = now
  }

  /** Work a second that it may use. */
  get allowance (): number {
    return this.#allowance
  }

  /** Counts work that is asked for, whether or not it is let in. */
  offer (work: number, now: number): void {
    this.#offered.add(work, now)
    this.#lastOfferAt = now
  }

  /** Counts work that is let in. */
  take (work: number, now: number): void {
    this.#taken.add(work, now)
    this.#bucket = Math.max(-this.#allowance * deepestDebtSeconds - work, this.#bucket - work)
  }

  offeredPerSecond (now: number): number {
    return this.#offered.perSecond(now)
  }

  takenPerSecond (now: number): number {
    return this.#taken.perSecond(now)
  }

  /** Sets the allowance from now on. */
  allow (workPerSecond: number, burstSeconds: number, now: number): void {
    this.#fill(burstSeconds, now)
    this.#allowance = workPerSecond
  }

  /** The work by which the bucket falls short of letting a request in; zero or less where it may go. */
  missing (keptBackShare: number, burstSeconds: number, now: number): number {
    this.#fill(burstSeconds, now)
    return this.#allowance * burstSeconds * keptBackShare - this.#bucket
  }

  /** Whether what it takes is within its share of a level, without anything lent. */
  withinShare (level: number, totalShares: number, now: number): boolean {
    return this.#taken.perSecond(now) <= level * this.share / totalShares
  }

  /** Whether it has asked for nothing for long. */
  idle (now: number): boolean {
    return now - this.#lastOfferAt > idleMilliseconds
  }

  #fill (burstSeconds: number, now: number): void {
    const seconds = Math.max(0, now - this.#filledAt) / 1_000
    this.#bucket = Math.min(this.#allowance * burstSeconds, this.#bucket + seconds * this.#allowance)
    this.#filledAt = now
  }
}
