/** An exponentially decaying rate of work, which needs no list of arrival times. */
const timeConstantMilliseconds = 8_000

/** Work per second over the last seconds. */
export class WorkRate {
  #work = 0
  #decayedAt: number

  constructor (now: number) {
    this.#decayedAt = now
  }

  add (work: number, now: number): void {
    this.#decay(now)
    this.#work += work
  }

  perSecond (now: number): number {
    this.#decay(now)
    return WorkRate.rateOf(this.#work)
  }

  /** Rate in work per second right after one piece of work. */
  static rateOf (work: number): number {
    return work / timeConstantMilliseconds * 1_000
  }

  #decay (now: number): void {
    if (now <= this.#decayedAt) return
    this.#work *= Math.exp(-(now - this.#decayedAt) / timeConstantMilliseconds)
    this.#decayedAt = now
  }
}
