/**
 * A set of sequence numbers, stored as sorted ranges. Entries of one incarnation are written nearly in order,
 * so the set is usually one range of a few bytes. If copy holders wrote an incarnation's entries, gaps may
 * remain; the ranges show them.
 */

/** The first and the last number of a range, both inclusive. */
export type SequenceRange = readonly [number, number]

/** An immutable set of sequence numbers. */
export class SequenceRanges {
  readonly ranges: readonly SequenceRange[]

  private constructor (ranges: readonly SequenceRange[]) {
    this.ranges = ranges
  }

  static readonly empty = new SequenceRanges([])

  /**
   * Creates a set from ranges, which may be unsorted and overlap.
   *
   * @example
   * SequenceRanges.of([[1, 40], [42, 50]])
   */
  static of (ranges: readonly SequenceRange[]): SequenceRanges {
    const sorted = [...ranges].sort((left, right) => left[0] - right[0])
    const merged: [number, number][] = []
    for (const [from, to] of sorted) {
      const last = merged.at(-1)
      if (last !== undefined && from <= last[1] + 1) last[1] = Math.max(last[1], to)
      else merged.push([from, to])
    }
    return new SequenceRanges(merged)
  }

  /** Count of numbers in the set. */
  get size (): number {
    return this.ranges.reduce((sum, [from, to]) => sum + to - from + 1, 0)
  }

  /** Count of numbers missing between 1 and the largest number in the set. */
  get missingCount (): number {
    return (this.ranges.at(-1)?.[1] ?? 0) - this.size
  }

  has (sequence: number): boolean {
    return this.ranges.some(([from, to]) => from <= sequence && sequence <= to)
  }

  /** Returns a set with the given numbers added. */
  with (sequences: readonly number[]): SequenceRanges {
    return SequenceRanges.of([...this.ranges, ...sequences.map(sequence => [sequence, sequence] as const)])
  }

  /** Whether every number of the other set is in this one. */
  covers (other: SequenceRanges): boolean {
    return other.ranges.every(([from, to]) => this.ranges.some(range => range[0] <= from && to <= range[1]))
  }
}
