/**
 * A clock that a test advances. `advance` wakes sleepers in order of time and lets all that became
 * ready run before the next step, so that a simulated hour takes milliseconds.
 */
import type { Clock } from '../../src/contract/index.ts'

interface Sleeper {
  readonly wakeAt: number
  readonly order: number
  /** Whether it wakes only after what has arrived was read. */
  readonly isAfterInput: boolean
  readonly wake: () => void
}

/** Turns of the event loop after each step, enough for chains of promises to settle; a look at what has arrived takes three. */
const settlingTurns = 4

export class ManualClock implements Clock {
  #now: number
  #order = 0
  #heldUpMilliseconds = 0
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
      const sleeper: Sleeper = { wakeAt: this.#now + Math.max(0, milliseconds), order: this.#order++, isAfterInput: false, wake }
      this.#sleepers.add(sleeper)
      signal?.addEventListener('abort', wake, { once: true })
    })
  }

  schedule (milliseconds: number, callback: () => void): () => void {
    return this.#add(milliseconds, callback, false)
  }

  scheduleAfterInput (milliseconds: number, callback: () => void): () => void {
    return this.#add(milliseconds, callback, true)
  }

  heldUpMilliseconds (): number {
    return this.#heldUpMilliseconds
  }

  /**
   * Lets the time pass in which the process runs nothing: whoever was to wake meanwhile wakes late, and timers run before
   * what has arrived is read.
   *
   * @param arrive delivers what arrives meanwhile
   */
  async stall (milliseconds: number, arrive: () => void = () => undefined): Promise<void> {
    this.#now += milliseconds
    this.#heldUpMilliseconds += milliseconds
    const due = [...this.#sleepers].filter(({ isAfterInput, wakeAt }) => !isAfterInput && wakeAt <= this.#now)
    for (const { wake } of due.sort((left, right) => left.wakeAt - right.wakeAt || left.order - right.order)) wake()
    await this.settle()
    arrive()
    await this.advance(0)
  }

  /** Advances the time and wakes each sleeper at its time. */
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

  /** Lets all that is ready run, without advancing the time. */
  async settle (): Promise<void> {
    for (let turn = 0; turn < settlingTurns; turn++) await new Promise(resolve => setImmediate(resolve))
  }

  #add (milliseconds: number, callback: () => void, isAfterInput: boolean): () => void {
    const wake = () => {
      this.#sleepers.delete(sleeper)
      callback()
    }
    const sleeper: Sleeper = { wakeAt: this.#now + Math.max(0, milliseconds), order: this.#order++, isAfterInput, wake }
    this.#sleepers.add(sleeper)
    return () => { this.#sleepers.delete(sleeper) }
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
