/**
 * Retry budget per service. Operators allow retries as a share of all requests over all daemons. Each
 * daemon keeps to that share of the requests it receives itself, so the total stays within the limit
 * without coordination.
 */
import { getOrCreate } from '../contract/index.ts'

const windowMilliseconds = 10_000
const bucketCount = 20
const bucketMilliseconds = windowMilliseconds / bucketCount
/** Share of the budget that is used; the margin keeps the limit when the request rate drops suddenly. */
const budgetUtilisation = 0.8
/** Retries allowed in each window regardless of the number of requests. */
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
 * Retry budget of one daemon.
 *
 * @example
 * retryBudget.recordRequest('ledger', now)
 * if (retryBudget.tryConsume('ledger', now)) tryAgain()
 */
export class RetryBudget {
  readonly #retryRatio: number
  readonly #countsByService = new Map<string, ServiceCounts>()

  /** @param retryRatio retries that operators allow for each request */
  constructor (retryRatio: number) {
    this.#retryRatio = retryRatio
  }

  recordRequest (service: string, now: number): void {
    this.#countsOf(service).requests.add(now)
  }

  /** Whether a retry is allowed, without consuming the budget. */
  allows (service: string, now: number): boolean {
    const { requests, retries } = this.#countsOf(service)
    return retries.total(now) + 1 <= requests.total(now) * this.#retryRatio * budgetUtilisation + minimumRetriesPerWindow
  }

  /** Consumes budget for one retry if that is allowed; returns whether it was. */
  tryConsume (service: string, now: number): boolean {
    if (!this.allows(service, now)) return false
    this.#countsOf(service).retries.add(now)
    return true
  }

  #countsOf (service: string): ServiceCounts {
    return getOrCreate(this.#countsByService, service, () => ({ requests: new SlidingWindowCounter(), retries: new SlidingWindowCounter() }))
  }
}
