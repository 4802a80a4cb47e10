/**
 * Retry budget per service, which keeps all gateways together within what operators allow, though each counts only
 * its own requests and retries.
 *
 * A retry at time s is allowed if for every begin b of a window that may hold it the retries since b, with this
 * one, are no more than `ratio` times half the requests since b - window, and the gateway's part of the slack. Half
 * the requests of two successive windows are never more than those of the larger one. Unlike the larger one, they
 * can be summed over gateways, however requests move between these and whichever of them start or end.
 */
import { type RetryLimits, getOrCreate } from '../contract/index.ts'
import { BucketCounts } from './bucketCounts.ts'

const bucketsPerWindow = 40
/** Retries take some time from here to the endpoint, so a window holds some that were sent before it began. */
const bucketsOfRetries = bucketsPerWindow + 2
const bucketsOfRequests = bucketsOfRetries + bucketsPerWindow

interface ServiceCounts {
  readonly requests: BucketCounts
  readonly retries: BucketCounts
  /** Retries that are being prepared. */
  reserved: number
}

/**
 * Retry budget of one gateway.
 *
 * @example
 * retryBudget.recordRequest('ledger', now)
 * if (retryBudget.tryConsume('ledger', now)) tryAgain()
 */
export class RetryBudget {
  readonly #limits: RetryLimits
  readonly #slackShare: (now: number) => number
  readonly #countsByService = new Map<string, ServiceCounts>()

  /** @param slackShare this gateway's part of the slack, from 0 to 1; the parts of all gateways are 1 at most */
  constructor (limits: RetryLimits, slackShare: (now: number) => number) {
    this.#limits = limits
    this.#slackShare = slackShare
  }

  recordRequest (service: string, now: number): void {
    this.#countsOf(service).requests.add(this.#bucketAt(now))
  }

  /** Whether a retry is allowed beside those that are being prepared, without consuming the budget. */
  allows (service: string, now: number): boolean {
    const { requests, retries, reserved } = this.#countsOf(service)
    const { ratio, slack } = this.#limits
    const present = this.#bucketAt(now)
    const ownSlack = slack * this.#slackShare(now)
    let requestCount = requests.sum(present - bucketsPerWindow + 1, present)
    let retryCount = reserved + 1
    // Of the bucket in which a window begins all retries count, and no requests of one window before.
    for (let begin = present; begin > present - bucketsOfRetries; begin--) {
      retryCount += retries.at(begin)
      if (retryCount > ratio * requestCount / 2 + ownSlack) return false
      requestCount += requests.at(begin - bucketsPerWindow)
    }
    return true
  }

  /** Keeps budget for a retry that is being prepared, if that is allowed; returns whether it was. */
  tryReserve (service: string, now: number): boolean {
    if (!this.allows(service, now)) return false
    this.#countsOf(service).reserved++
    return true
  }

  /** Gives a reservation back. */
  release (service: string): void {
    this.#countsOf(service).reserved--
  }

  /** Consumes budget for one retry, whether or not that is allowed. */
  recordRetry (service: string, now: number): void {
    this.#countsOf(service).retries.add(this.#bucketAt(now))
  }

  /** Consumes budget for one retry if that is allowed; returns whether it was. */
  tryConsume (service: string, now: number): boolean {
    if (!this.allows(service, now)) return false
    this.recordRetry(service, now)
    return true
  }

  #bucketAt (now: number): number {
    return Math.floor(now / this.#limits.windowMilliseconds * bucketsPerWindow)
  }

  #countsOf (service: string): ServiceCounts {
    return getOrCreate(this.#countsByService, service, () => ({ requests: new BucketCounts(bucketsOfRequests), retries: new BucketCounts(bucketsOfRetries), reserved: 0 }))
  }
}
