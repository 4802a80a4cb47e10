/** Counts what a service gets from a fleet of gateways, and compares it with what operators allow. */
import type { RetryLimits } from '../../src/contract/index.ts'

/** Events happen at whole multiples of this time. */
export const tickMilliseconds = 50

/** The worst window of a run. */
export interface WorstWindow {
  readonly repeats: number
  readonly allowed: number
}

export class ServiceCount {
  readonly #requests: number[] = []
  readonly #repeats: number[] = []

  addRequest (tick: number): void {
    this.#requests[tick] = (this.#requests[tick] ?? 0) + 1
  }

  addRepeat (tick: number): void {
    this.#repeats[tick] = (this.#repeats[tick] ?? 0) + 1
  }

  /** The window with the largest share of what is allowed in it. */
  worstWindow (limits: RetryLimits): WorstWindow {
    return this.#windows(limits, 0).reduce((worst, window) => window.repeats * worst.allowed > worst.repeats * window.allowed ? window : worst, { repeats: 0, allowed: 1 })
  }

  /** Share of the allowed repeats that were sent, over all windows from a tick on. */
  usedShare (limits: RetryLimits, from: number): number {
    const windows = this.#windows(limits, from)
    const sum = (valueOf: (window: WorstWindow) => number) => windows.reduce((total, window) => total + valueOf(window), 0)
    return sum(({ repeats }) => repeats) / sum(({ allowed }) => allowed)
  }

  #windows ({ ratio, slack, windowMilliseconds }: RetryLimits, from: number): readonly WorstWindow[] {
    const length = windowMilliseconds / tickMilliseconds
    const [requests, repeats] = [sumsOf(this.#requests), sumsOf(this.#repeats)]
    const starts = Math.max(1, Math.min(this.#requests.length, this.#repeats.length) - length - from)
    return Array.from({ length: starts }, (_, index) => {
      const start = from + index
      const most = Math.max(...[0, length / 2, length].map(earlier => requests(start - earlier, start - earlier + length)))
      return { repeats: repeats(start, start + length), allowed: ratio * most + slack }
    })
  }
}

/** The sum of counts from one index up to another without it. */
function sumsOf (counts: readonly number[]): (from: number, to: number) => number {
  const sums = [0]
  for (let index = 0; index < counts.length; index++) sums.push(sums[index]! + (counts[index] ?? 0))
  const until = (index: number) => sums[Math.max(0, Math.min(index, sums.length - 1))]!
  return (from, to) => until(to) - until(from)
}
