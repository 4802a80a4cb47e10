/**
 * What one gateway may send to one limited endpoint: a token bucket. It starts empty, so that a gateway that
 * starts again and again, or becomes a sender again and again, sends no more than its part. A place is one
 * request.
 */

const millisecondsPerSecond = 1_000

export class SendAllowance {
  #places = 0
  #requestsPerSecond = 0
  #maximumPlaces = 0
  #settledAt: number

  constructor (now: number) {
    this.#settledAt = now
  }

  /** Sets the rate at which places come from now on, and how many are kept. */
  setRate (requestsPerSecond: number, maximumPlaces: number, now: number): void {
    this.#settle(now)
    this.#requestsPerSecond = requestsPerSecond
    this.#maximumPlaces = maximumPlaces
  }

  /** Places that are free; below 1 none is. */
  placesAt (now: number): number {
    const earned = Math.max(0, now - this.#settledAt) * this.#requestsPerSecond / millisecondsPerSecond
    return Math.min(this.#maximumPlaces, this.#places + earned)
  }

  /** Whether further places are lost unless one is taken. */
  isFullAt (now: number): boolean {
    return this.placesAt(now) >= this.#maximumPlaces
  }

  /** Takes a place; returns whether one was free. */
  tryTake (now: number): boolean {
    this.#settle(now)
    if (this.#places < 1) return false
    this.#places -= 1
    return true
  }

  /** Takes a place for a request that can't be held back; later ones wait for it. */
  charge (now: number): void {
    this.#settle(now)
    this.#places -= 1
  }

  /** Milliseconds until so many places are free; infinite if they never are. */
  millisecondsTo (places: number, now: number): number {
    const missing = Math.max(0, places - this.placesAt(now))
    return missing === 0 ? 0 : missing * millisecondsPerSecond / this.#requestsPerSecond
  }

  #settle (now: number): void {
    this.#places = this.placesAt(now)
    this.#settledAt = Math.max(this.#settledAt, now)
  }
}
