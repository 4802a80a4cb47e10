/**
 * Virtual time for a run of many daemons. Sleepers wait in a heap, and all that are due at the same time
 * wake together. One turn of the event loop then lets everything that became ready run to its next wait.
 */
import type { Clock } from '../../src/contract/index.ts'

interface Sleeper {
  readonly wakeAt: number
  readonly order: number
  wake: (() => void) | undefined
}

/** A clock that moves only when `advance` is called. */
export class VirtualClock implements Clock {
  readonly #heap: Sleeper[] = []
  #now = 1_000_000
  #nextOrder = 0

  now (): number {
    return this.#now
  }

  sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const sleeper: Sleeper = { wakeAt: this.#now + Math.max(0, milliseconds), order: this.#nextOrder++, wake: undefined }
      const wake = () => {
        sleeper.wake = undefined
        signal?.removeEventListener('abort', wake)
        resolve()
      }
      sleeper.wake = wake
      signal?.addEventListener('abort', wake, { once: true })
      this.#push(sleeper)
    })
  }

  schedule (milliseconds: number, callback: () => void): () => void {
    const sleeper: Sleeper = { wakeAt: this.#now + Math.max(0, milliseconds), order: this.#nextOrder++, wake: callback }
    this.#push(sleeper)
    return () => { sleeper.wake = undefined }
  }

  /** Timers of a simulated time never run before what has arrived. */
  scheduleAfterInput (milliseconds: number, callback: () => void): () => void {
    return this.schedule(milliseconds, callback)
  }

  heldUpMilliseconds (): number {
    return 0
  }

  /** Advances the time and wakes each sleeper when it is due. */
  async advance (milliseconds: number): Promise<void> {
    const end = this.#now + milliseconds
    await runReadyTasks()
    for (let first = this.#heap[0]; first !== undefined && first.wakeAt <= end; first = this.#heap[0]) {
      this.#now = Math.max(this.#now, first.wakeAt)
      if (this.#wakeDue()) await runReadyTasks()
    }
    this.#now = end
  }

  #wakeDue (): boolean {
    let hasWoken = false
    for (let first = this.#heap[0]; first !== undefined && first.wakeAt <= this.#now; first = this.#heap[0]) {
      this.#pop()
      hasWoken ||= first.wake !== undefined
      first.wake?.()
    }
    return hasWoken
  }

  #push (sleeper: Sleeper): void {
    const heap = this.#heap
    let index = heap.push(sleeper) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.#isBefore(index, parent)) return
      this.#swap(index, parent)
      index = parent
    }
  }

  #pop (): void {
    const heap = this.#heap
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return
    heap[0] = last
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      let least = index
      if (left < heap.length && this.#isBefore(left, least)) least = left
      if (right < heap.length && this.#isBefore(right, least)) least = right
      if (least === index) return
      this.#swap(index, least)
      index = least
    }
  }

  #isBefore (left: number, right: number): boolean {
    const first = this.#heap[left]
    const second = this.#heap[right]
    if (first === undefined || second === undefined) return false
    return first.wakeAt < second.wakeAt || (first.wakeAt === second.wakeAt && first.order < second.order)
  }

  #swap (left: number, right: number): void {
    const first = this.#heap[left]
    const second = this.#heap[right]
    if (first === undefined || second === undefined) return
    this.#heap[left] = second
    this.#heap[right] = first
  }
}

async function runReadyTasks (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}
