/** A rate of work that forgets exponentially, so that it needs no list of what came when. */
const memoryMilliseconds = 8_000

/** Work a second over the last seconds. */
export class WorkRate {
  #work = 0
  #countedAt: number

  constructor (now: number) {
    this.#countedAt = now
  }

  /** Counts work. */
  add (work: number, now: number): void {
    this.#forget(now)
    this.#work += work
  }

  /** Work a second. */
  perSecond (now: number): number {
    this.#forget(now)
    return WorkRate.of(this.#work)
  }

  /** The rate that one piece of work alone makes. */
  static of (work: number): number {
    return work / memoryMilliseconds * 1_000
  }

  #forget (now: number): void {
    if (now <= this.#countedAt) return
    this.#work *= Math.exp(-(now - this.#countedAt) / memoryMilliseconds)
    this.#countedAt = now
  }
}
