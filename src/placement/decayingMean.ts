/** Mean of measurements that counts the latest most. Without new ones it returns to what is usual. */

const halfLifeMilliseconds = 4_000

/**
 * @example
 * const mean = new DecayingMean()
 * mean.record(120, 3, now)
 * mean.meanAt(now, 50, 1) // 42.5
 */
export class DecayingMean {
  #sum = 0
  #weight = 0
  #decayedAt = 0

  /** Records the sum of some measurements and how many they are. */
  record (sum: number, count: number, now: number): void {
    this.#decay(now)
    this.#sum += sum
    this.#weight += count
  }

  /** @param usual mean that counts as so many measurements beside those recorded */
  meanAt (now: number, usual: number, usualWeight: number): number {
    this.#decay(now)
    return (this.#sum + usual * usualWeight) / (this.#weight + usualWeight)
  }

  #decay (now: number): void {
    const factor = 0.5 ** (Math.max(0, now - this.#decayedAt) / halfLifeMilliseconds)
    this.#sum *= factor
    this.#weight *= factor
    this.#decayedAt = now
  }
}
