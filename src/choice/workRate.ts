/** A rate of work that forgets exponentially, so that it needs no list of what came when. */
const timeConstantMilliseconds = 8_000

/** Work a second over the last seconds. */
export class WorkRate {
  #work = 0
  #decayedAt: number

  constructor (now: number) {
    this.#decayedAt = now
  }

  /** Counts work. */
  add (work: number, now: number): void {
    this.#decay(now)
    this.#work += work
  }

  /** Work a second. */
  perSecond (now: number): number {
    this.#decay(now)
    return WorkRate.rateOf(this.#work)
  }

  /** The rate that one piece of work alone makes. */
  static rateOf (work: number): number {
    return work / timeConstantMilliseconds * 1_000
  }

  #decay (now: number): void {
    if (now <= this.#decayedAt) return
    this.#work *= Math.exp(-(now - this.#decayedAt) / timeConstantMilliseconds)
    this.#decayedAt = now
  }
}
