/**
 * Virtual time: what is due is kept in a binary heap and run in order of its moment, so that an hour
 * costs only its events. Two things due at one moment run in the order in which they were set.
 */

interface Due {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

/** A run's time. */
export class VirtualTime {
  readonly #heap: Due[] = []
  #order = 0
  #now = 0

  /** Milliseconds since the run's start. */
  now (): number {
    return this.#now
  }

  /** Runs something at a moment. */
  at (moment: number, run: () => void): void {
    this.#push({ at: Math.max(moment, this.#now), order: this.#order++, run })
  }

  /** Runs something after so many milliseconds. */
  after (milliseconds: number, run: () => void): void {
    this.at(this.#now + milliseconds, run)
  }

  /** Runs everything that is due until a moment. */
  runUntil (end: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= end) {
      const due = this.#pop()
      this.#now = due.at
      due.run()
    }
    this.#now = Math.max(this.#now, end)
  }

  #push (due: Due): void {
    const heap = this.#heap
    let index = heap.length
    heap.push(due)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!sooner(due, heap[parent]!)) break
      heap[index] = heap[parent]!
      index = parent
    }
    heap[index] = due
  }

  #pop (): Due {
    const heap = this.#heap
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && sooner(heap[child + 1]!, heap[child]!)) child++
      if (!sooner(heap[child]!, last)) break
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = last
    return first
  }
}

function sooner (left: Due, right: Due): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order)
}
