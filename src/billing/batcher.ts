/**
 * Group commit: items that arrive while a batch is being processed form the next batch, and batches start
 * at least an interval apart. A single item is processed at once, so the interval adds latency only under load.
 */
import type { Clock } from '../contract/index.ts'

export interface BatcherOptions<Item, Outcome> {
  readonly clock: Clock
  /** Returns the minimum milliseconds between the starts of two batches; called before each batch. */
  readonly minimumIntervalMilliseconds: () => number
  /** Maximum number of items in a batch; items added together are never split. */
  readonly maximumItems: number
  /** Processes a batch. Every item in the batch gets its outcome. */
  readonly processBatch: (items: readonly Item[]) => Promise<Outcome>
}

interface PendingAddition<Item, Outcome> {
  readonly items: readonly Item[]
  readonly resolve: (outcome: Outcome) => void
}

/** Collects items into batches. */
export class Batcher<Item, Outcome> {
  readonly #options: BatcherOptions<Item, Outcome>
  #pending: PendingAddition<Item, Outcome>[] = []
  #isRunning = false
  #lastStartedAt = Number.NEGATIVE_INFINITY

  constructor (options: BatcherOptions<Item, Outcome>) {
    this.#options = options
  }

  /**
   * Adds items, which stay in one batch.
   *
   * @returns the outcome of their batch
   * @example
   * const durable = await batcher.add([entry])
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
