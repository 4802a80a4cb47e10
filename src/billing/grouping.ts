/**
 * Group commit: items that come while one group is under way make up the next one, and groups begin
 * at least an interval apart. A lone item goes at once, so the interval costs latency only under load.
 */
import type { Clock } from '../contract/index.ts'

/** How items are grouped. */
export interface GroupingOptions<Item, Outcome> {
  readonly clock: Clock
  /** Milliseconds between the beginnings of two groups, asked before each. */
  readonly intervalMilliseconds: () => number
  /** Items in a group, at most. */
  readonly mostItems: number
  /** What is done with a group; its outcome is that of each item. */
  readonly work: (items: readonly Item[]) => Promise<Outcome>
}

interface Waiting<Item, Outcome> {
  readonly items: readonly Item[]
  readonly resolve: (outcome: Outcome) => void
}

/** Collects items into groups. */
export class Grouping<Item, Outcome> {
  readonly #options: GroupingOptions<Item, Outcome>
  #waiting: Waiting<Item, Outcome>[] = []
  #isRunning = false
  #lastBegan = Number.NEGATIVE_INFINITY

  constructor (options: GroupingOptions<Item, Outcome>) {
    this.#options = options
  }

  /**
   * Adds items, which stay in one group.
   *
   * @returns the outcome of their group
   * @example
   * const durable = await grouping.add([entry])
   */
  add (items: readonly Item[]): Promise<Outcome> {
    return new Promise(resolve => {
      this.#waiting.push({ items, resolve })
      if (!this.#isRunning) this.#run()
    })
  }

  async #run (): Promise<void> {
    this.#isRunning = true
    while (this.#waiting.length > 0) {
      const pause = this.#lastBegan + this.#options.intervalMilliseconds() - this.#options.clock.now()
      if (pause > 0) await this.#options.clock.sleep(pause)
      const group = this.#takeGroup()
      this.#lastBegan = this.#options.clock.now()
      const outcome = await this.#options.work(group.flatMap(waiting => waiting.items))
      for (const waiting of group) waiting.resolve(outcome)
    }
    this.#isRunning = false
  }

  #takeGroup (): Waiting<Item, Outcome>[] {
    let count = 0
    let end = 0
    for (const waiting of this.#waiting) {
      if (end > 0 && count + waiting.items.length > this.#options.mostItems) break
      count += waiting.items.length
      end += 1
    }
    return this.#waiting.splice(0, end)
  }
}
