/**
 * Acts on what endpoints announce in the heads of their responses: that they are draining, or that they
 * want no requests for some time. Both are known here before the store tells, and also while it is out.
 */
import { type Clock, type Randomness, dropOldest } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import { type EndpointLoads, type EndpointRegistry, overloadBackoff } from '../placement/index.ts'
import type { RateAnnouncement } from '../rateLimit/index.ts'
import { type ResponseHead, type RoutedEndpoint, instanceKey } from '../routing/index.ts'

const serviceUnavailableStatus = 503
/** An invalid header is logged at most this often for each endpoint. */
const invalidHeaderLogIntervalMilliseconds = 1_000
/** Number of endpoints whose last invalid header is remembered. */
const maximumLoggedEndpoints = 500
/** Number of endpoints whose rate limit is remembered for the log. */
const maximumLimitedEndpoints = 500

export interface EndpointAnnouncementsOptions {
  readonly registry: EndpointRegistry
  readonly loads: EndpointLoads
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
}

/** A rate limit that an endpoint announced to this gateway. */
interface ObservedLimit {
  readonly requestsPerSecond: number
  readonly since: number
  /** Requests that this gateway has sent to the endpoint since then. */
  sent: number
}

/**
 * @example
 * announcements.record(endpoint, 503, codec.readResponseHead(headers))
 */
export class EndpointAnnouncements {
  readonly #options: EndpointAnnouncementsOptions
  readonly #invalidHeaderLoggedAt = new Map<string, number>()
  readonly #limits = new Map<string, ObservedLimit>()

  constructor (options: EndpointAnnouncementsOptions) {
    this.#options = options
  }

  /** Records the announcements in a response that is known to come from this incarnation of the endpoint. */
  record (endpoint: RoutedEndpoint, status: number, head: ResponseHead): void {
    if (head.error !== undefined) this.#logInvalidHeader(endpoint, head.error)
    if (head.isDraining) this.#recordDraining(endpoint)
    this.#recordRateLimit(endpoint, head.rateLimit)
    if (status === serviceUnavailableStatus && head.retryAfterMilliseconds !== undefined) this.#recordOverload(endpoint, head.retryAfterMilliseconds)
  }

  /** Counts a request that is sent to an endpoint; returns whether the endpoint had announced a rate limit. */
  recordSend (endpoint: RoutedEndpoint): boolean {
    const limit = this.#limits.get(instanceKey(endpoint))
    if (limit !== undefined) limit.sent++
    return limit !== undefined
  }

  #recordRateLimit (endpoint: RoutedEndpoint, announcement: RateAnnouncement): void {
    if (announcement.type === 'unreadable') return
    const now = this.#options.clock.now()
    const known = this.#limits.get(instanceKey(endpoint))
    const requestsPerSecond = announcement.type === 'limited' ? announcement.requestsPerSecond : undefined
    if (known?.requestsPerSecond === requestsPerSecond) return
    const before = known === undefined ? {} : { sent: known.sent, milliseconds: Math.round(now - known.since) }
    const change = { endpoint: endpoint.identity, service: endpoint.service, requestsPerSecond, before: known?.requestsPerSecond, ...before }
    this.#options.log.info(requestsPerSecond === undefined ? 'endpoint_limit_ended' : 'endpoint_limited', change)
    this.#limits.delete(instanceKey(endpoint))
    if (requestsPerSecond !== undefined) this.#limits.set(instanceKey(endpoint), { requestsPerSecond, since: now, sent: 0 })
    dropOldest(this.#limits, maximumLimitedEndpoints)
  }

  #recordDraining (endpoint: RoutedEndpoint): void {
    const { registry, log } = this.#options
    const isNew = registry.markDraining(instanceKey(endpoint))
    if (isNew) log.info('endpoint_draining', { endpoint: endpoint.identity, service: endpoint.service, source: 'response' })
  }

  #recordOverload (endpoint: RoutedEndpoint, requestedMilliseconds: number): void {
    const { clock, loads, log, randomness } = this.#options
    const { milliseconds, wasBounded } = overloadBackoff(requestedMilliseconds, randomness)
    loads.recordOverload(endpoint, clock.now() + milliseconds)
    log.info('endpoint_overloaded', { endpoint: endpoint.identity, service: endpoint.service, requestedMilliseconds, milliseconds: Math.round(milliseconds) })
    if (wasBounded) this.#logInvalidHeader(endpoint, `a retry time of ${requestedMilliseconds} ms is too long`)
  }

  #logInvalidHeader (endpoint: RoutedEndpoint, reason: string): void {
    const now = this.#options.clock.now()
    const key = instanceKey(endpoint)
    if (now - (this.#invalidHeaderLoggedAt.get(key) ?? Number.NEGATIVE_INFINITY) < invalidHeaderLogIntervalMilliseconds) return
    this.#invalidHeaderLoggedAt.delete(key)
    this.#invalidHeaderLoggedAt.set(key, now)
    dropOldest(this.#invalidHeaderLoggedAt, maximumLoggedEndpoints)
    this.#options.log.warn('endpoint_header_invalid', { endpoint: endpoint.identity, service: endpoint.service, reason })
  }
}
