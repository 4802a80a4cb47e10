/**
 * How many attempts beyond the first a daemon may make for a service. The operators allow a share
 * of all requests over all daemons together; each daemon keeps to that share of the requests that
 * it was itself sent, so the sum keeps to it without a word between them.
 */
import { knownOrMade } from '../contract/index.ts'

const windowMilliseconds = 10_000
const buckets = 20
const bucketMilliseconds = windowMilliseconds / buckets
/** Of the allowed share, what is used, so that moments in which requests fall away break nothing. */
const usedShare = 0.8
/** Attempts that a daemon has in each window without any request. */
const freeAttempts = 3

class WindowCount {
  readonly #counts = new Map<number, number>()

  add (now: number): void {
    const bucket = Math.floor(now / bucketMilliseconds)
    this.#counts.set(bucket, (this.#counts.get(bucket) ?? 0) + 1)
    for (const old of this.#counts.keys()) {
      if (old <= bucket - buckets) this.#counts.delete(old)
    }
  }

  total (now: number): number {
    const oldest = Math.floor(now / bucketMilliseconds) - buckets
    let sum = 0
    for (const [bucket, count] of this.#counts) if (bucket > oldest) sum += count
    return sum
  }
}

interface ServiceCounts {
  readonly requests: WindowCount
  readonly repeats: WindowCount
}

/**
 * The allowance of one daemon.
 *
 * @example
 * allowance.observeRequest('ledger', now)
 * if (allowance.spend('ledger', now)) tryAgain()
 */
export class RepeatAllowance {
  readonly #ratio: number
  readonly #services = new Map<string, ServiceCounts>()

  /** @param ratio attempts beyond the first that operators allow for each request */
  constructor (ratio: number) {
    this.#ratio = ratio
  }

  observeRequest (service: string, now: number): void {
    this.#countsOf(service).requests.add(now)
  }

  /** Whether one more attempt is allowed, without making it. */
  allows (service: string, now: number): boolean {
    const { requests, repeats } = this.#countsOf(service)
    return repeats.total(now) + 1 <= requests.total(now) * this.#ratio * usedShare + freeAttempts
  }

  /** Counts one more attempt where it is allowed. */
  spend (service: string, now: number): boolean {
    if (!this.allows(service, now)) return false
    this.#countsOf(service).repeats.add(now)
    return true
  }

  #countsOf (service: string): ServiceCounts {
    return knownOrMade(this.#services, service, () => ({ requests: new WindowCount(), repeats: new WindowCount() }))
  }
}
