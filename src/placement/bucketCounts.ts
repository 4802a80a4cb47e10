/** Counts of events in the latest of equally long buckets of time, which are numbered from the process's start. */
export class BucketCounts {
  readonly #counts: number[]
  #latest = 0

  /** @param length number of buckets that are kept */
  constructor (length: number) {
    this.#counts = Array.from({ length }, () => 0)
  }

  /** Counts an event in the latest bucket or a later one. */
  add (bucket: number): void {
    this.#advance(bucket)
    this.#counts[bucket % this.#counts.length]!++
  }

  /** Events in a bucket; 0 if it is not kept any more. */
  at (bucket: number): number {
    const isKept = bucket >= 0 && bucket <= this.#latest && bucket > this.#latest - this.#counts.length
    return isKept ? this.#counts[bucket % this.#counts.length]! : 0
  }

  /** Events from one bucket to another, with both. */
  sum (first: number, last: number): number {
    let sum = 0
    for (let bucket = first; bucket <= last; bucket++) sum += this.at(bucket)
    return sum
  }

  #advance (bucket: number): void {
    const { length } = this.#counts
    for (let skipped = Math.max(this.#latest + 1, bucket - length + 1); skipped <= bucket; skipped++) this.#counts[skipped % length] = 0
    this.#latest = Math.max(this.#latest, bucket)
  }
}
