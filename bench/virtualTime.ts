/**
 * Virtual time for discrete-event simulation: events are kept in a binary heap and run in order of time,
 * so that the cost of a simulated hour depends only on its number of events. Events at the same time run
 * in the order in which they were scheduled.
 */

interface ScheduledEvent {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

/** The clock and event queue of a run. */
export class VirtualTime {
  readonly #heap: ScheduledEvent[] = []
  #nextOrder = 0
  #now = 0

  /** @returns milliseconds since the run's start */
  now (): number {
    return this.#now
  }

  /** Schedules an event at a time in milliseconds; a time in the past means now. */
  at (moment: number, run: () => void): void {
    this.#push({ at: Math.max(moment, this.#now), order: this.#nextOrder++, run })
  }

  /** Schedules an event after a delay. */
  after (milliseconds: number, run: () => void): void {
    this.at(this.#now + milliseconds, run)
  }

  /** Runs all events up to and including a time, and moves the clock there. */
  runUntil (end: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= end) {
      const event = this.#pop()
      this.#now = event.at
      event.run()
    }
    this.#now = Math.max(this.#now, end)
  }

  #push (event: ScheduledEvent): void {
    const heap = this.#heap
    let index = heap.length
    heap.push(event)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isEarlier(event, heap[parent]!)) break
      heap[index] = heap[parent]!
      index = parent
    }
    heap[index] = event
  }

  #pop (): ScheduledEvent {
    const heap = this.#heap
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isEarlier(heap[child + 1]!, heap[child]!)) child++
      if (!isEarlier(heap[child]!, last)) break
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = last
    return first
  }
}

function isEarlier (left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order)
}
