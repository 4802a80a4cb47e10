/**
 * A clock that stands still until it is told to go on. `advance` wakes sleepers in order of time and
 * lets everything that became ready run before it goes on, so an hour costs milliseconds.
 */
import type { Clock } from '../../src/contract/index.ts'

interface Sleeper {
  readonly wakeAt: number
  readonly order: number
  readonly wake: () => void
}

/** Turns of the event loop after each step of time, so that chains of promises come to rest. */
const settlingTurns = 3

export class ManualClock implements Clock {
  #now: number
  #order = 0
  readonly #sleepers = new Set<Sleeper>()

  constructor (startMilliseconds = 1_000_000) {
    this.#now = startMilliseconds
  }

  now (): number {
    return this.#now
  }

  sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const wake = () => {
        this.#sleepers.delete(sleeper)
        signal?.removeEventListener('abort', wake)
        resolve()
      }
      const sleeper: Sleeper = { wakeAt: this.#now + Math.max(0, milliseconds), order: this.#order++, wake }
      this.#sleepers.add(sleeper)
      signal?.addEventListener('abort', wake, { once: true })
    })
  }

  /** Moves time on, waking each sleeper at its moment. */
  async advance (milliseconds: number): Promise<void> {
    const end = this.#now + milliseconds
    await this.settle()
    for (let next = this.#earliest(); next !== undefined && next.wakeAt <= end; next = this.#earliest()) {
      this.#now = Math.max(this.#now, next.wakeAt)
      next.wake()
      await this.settle()
    }
    this.#now = end
  }

  /** Lets everything that is ready run, without moving time. */
  async settle (): Promise<void> {
    for (let turn = 0; turn < settlingTurns; turn++) await new Promise(resolve => setImmediate(resolve))
  }

  #earliest (): Sleeper | undefined {
    let earliest: Sleeper | undefined
    for (const sleeper of this.#sleepers) {
      const isEarlier = earliest === undefined || sleeper.wakeAt < earliest.wakeAt || (sleeper.wakeAt === earliest.wakeAt && sleeper.order < earliest.order)
      if (isEarlier) earliest = sleeper
    }
    return earliest
  }
}
