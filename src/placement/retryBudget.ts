/**
 * How many attempts beyond the first a daemon may make for a service. The operators allow a share
 * of all requests over all daemons together; each daemon keeps to that share of the requests that
 * it was itself sent, so the sum keeps to it without a word between them.
 */
import { knownOrMade } from '../contract/index.ts'

const windowMilliseconds = 10_000
const bucketCount = 20
const bucketMilliseconds = windowMilliseconds / bucketCount
/** Of the allowed share, what is used, so that moments in which requests fall away break nothing. */
const budgetUtilisation = 0.8
/** Attempts that a daemon has in each window without any request. */
const minimumRetriesPerWindow = 3

class SlidingWindowCounter {
  readonly #counts = new Map<number, number>()

  add (now: number): void {
    const bucket = Math.floor(now / bucketMilliseconds)
    this.#counts.set(bucket, (this.#counts.get(bucket) ?? 0) + 1)
    for (const old of this.#counts.keys()) {
      if (old <= bucket - bucketCount) this.#counts.delete(old)
    }
  }

  total (now: number): number {
    const oldest = Math.floor(now / bucketMilliseconds) - bucketCount
    let sum = 0
    for (const [bucket, count] of this.#counts) if (bucket > oldest) sum += count
    return sum
  }
}

interface ServiceCounts {
  readonly requests: SlidingWindowCounter
  readonly retries: SlidingWindowCounter
}

/**
 * The allowance of one daemon.
 *
 * @example
 * allowance.recordRequest('ledger', now)
 * if (allowance.spend('ledger', now)) tryAgain()
 */
export class RetryBudget {
  readonly #retryRatio: number
  readonly #countsByService = new Map<string, ServiceCounts>()

  /** @param retryRatio attempts beyond the first that operators allow for each request */
  constructor (retryRatio: number) {
    this.#retryRatio = retryRatio
  }

  recordRequest (service: string, now: number): void {
    this.#countsOf(service).requests.add(now)
  }

  /** Whether one more attempt is allowed, without making it. */
  allows (service: string, now: number): boolean {
    const { requests, retries: repeats } = this.#countsOf(service)
    return repeats.total(now) + 1 <= requests.total(now) * this.#retryRatio * budgetUtilisation + minimumRetriesPerWindow
  }

  /** Counts one more attempt where it is allowed. */
  tryConsume (service: string, now: number): boolean {
    if (!this.allows(service, now)) return false
    this.#countsOf(service).retries.add(now)
    return true
  }

  #countsOf (service: string): ServiceCounts {
    return knownOrMade(this.#countsByService, service, () => ({ requests: new SlidingWindowCounter(), retries: new SlidingWindowCounter() }))
  }
}
