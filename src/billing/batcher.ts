/**
 * Group commit: items that come while one group is under way make up the next one, and groups begin
 * at least an interval apart. A lone item goes at once, so the interval costs latency only under load.
 */
import type { Clock } from '../contract/index.ts'

/** How items are grouped. */
export interface BatcherOptions<Item, Outcome> {
  readonly clock: Clock
  /** Milliseconds between the beginnings of two groups, asked before each. */
  readonly minimumIntervalMilliseconds: () => number
  /** Items in a group, at most. */
  readonly maximumItems: number
  /** What is done with a group; its outcome is that of each item. */
  readonly processBatch: (items: readonly Item[]) => Promise<Outcome>
}

interface PendingAddition<Item, Outcome> {
  readonly items: readonly Item[]
  readonly resolve: (outcome: Outcome) => void
}

/** Collects items into groups. */
export class Batcher<Item, Outcome> {
  readonly #options: BatcherOptions<Item, Outcome>
  #pending: PendingAddition<Item, Outcome>[] = []
  #isRunning = false
  #lastStartedAt = Number.NEGATIVE_INFINITY

  constructor (options: BatcherOptions<Item, Outcome>) {
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
      this.#pending.push({ items, resolve })
      if (!this.#isRunning) this.#run()
    })
  }

  async #run (): Promise<void> {
    this.#isRunning = true
    while (this.#pending.length > 0) {
      const delayMilliseconds = this.#lastStartedAt + this.#options.minimumIntervalMilliseconds() - this.#options.clock.now()
      if (delayMilliseconds > 0) await this.#options.clock.sleep(delayMilliseconds)
      const batch = this.#takeBatch()
      this.#lastStartedAt = this.#options.clock.now()
      const outcome = await this.#options.processBatch(batch.flatMap(addition => addition.items))
      for (const addition of batch) addition.resolve(outcome)
    }
    this.#isRunning = false
  }

  #takeBatch (): PendingAddition<Item, Outcome>[] {
    let count = 0
    let end = 0
    for (const addition of this.#pending) {
      if (end > 0 && count + addition.items.length > this.#options.maximumItems) break
      count += addition.items.length
      end += 1
    }
    return this.#pending.splice(0, end)
  }
}
