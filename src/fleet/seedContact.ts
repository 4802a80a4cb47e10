/**
 * When this gateway last exchanged lists with most of the seeds. Two gateways that both did so have a seed in
 * common, which lists each to the other; no half of a fleet that is cut in two can do so beside the other half.
 */
import { maximumListAgeMilliseconds } from './fleetTimes.ts'

export interface SeedContactOptions {
  /** The gateway's own address, which may be that of a seed. */
  readonly address: string
  /** Addresses of the seeds in the settings. */
  readonly seeds: () => readonly string[]
  readonly startedAt: number
  readonly now: () => number
}

/**
 * @example
 * contact.record('10.1.0.4:8229', now, askedAt)
 * if (contact.isCurrent) divide()
 */
export class SeedContact {
  readonly #options: SeedContactOptions
  readonly #heardAt = new Map<string, number>()
  #since: number

  constructor (options: SeedContactOptions) {
    this.#options = options
    this.#since = options.startedAt
  }

  /** Whether most seeds have answered lately. */
  get isCurrent (): boolean {
    const { now } = this.#options
    return now() - this.#mostHeardAt <= maximumListAgeMilliseconds
  }

  /** Since when most seeds have answered without a break, if they do. */
  get since (): number {
    return this.#since
  }

  /** Records that a seed took this gateway's report and sent its list, which is as old as the question. */
  record (seed: string, now: number, askedAt: number): void {
    const wasCurrent = this.isCurrent
    this.#heardAt.set(seed, askedAt)
    if (!wasCurrent) this.#since = now
  }

  /** Since this time most seeds have answered; a seed hears itself at any time. */
  get #mostHeardAt (): number {
    const { address, now, seeds } = this.#options
    const known = new Set(seeds())
    if (known.size === 0) return now()
    const times = [...known].map(seed => seed === address ? now() : this.#heardAt.get(seed) ?? Number.NEGATIVE_INFINITY)
    return times.sort((a, b) => b - a)[Math.floor(known.size / 2)]!
  }
}
