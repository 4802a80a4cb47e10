/**
 * Acts on what endpoints announce in the heads of their responses: that they are draining or warming up, that they
 * want no requests for some time, that they take only so many a second from all gateways together, or that they are
 * not the endpoint that a request was meant for. All of it is known here before the store tells, and also while it
 * is out.
 */
import { type Clock, type Randomness, dropOldest } from '../contract/index.ts'
import type { MisdirectedEndpoints } from '../misdirection/index.ts'
import type { Log } from '../observe/index.ts'
import { type EndpointLoads, type EndpointRegistry, overloadBackoff } from '../placement/index.ts'
import type { AnnouncedLimits, RateAnnouncement, WarmUps } from '../rateLimit/index.ts'
import { type ResponseHead, type RoutedEndpoint, instanceKey } from '../routing/index.ts'

const serviceUnavailableStatus = 503
const firstErrorStatus = 400
/** An invalid header is logged at most this often for each endpoint. */
const invalidHeaderLogIntervalMilliseconds = 1_000
/** Number of endpoints whose last invalid header is remembered. */
const maximumLoggedEndpoints = 500

export interface EndpointAnnouncementsOptions {
  readonly registry: EndpointRegistry
  readonly loads: EndpointLoads
  readonly announcedLimits: AnnouncedLimits
  readonly warmUps: Pick<WarmUps, 'recordResponse'>
  readonly misdirected: Pick<MisdirectedEndpoints, 'recordAnswer' | 'recordRejection'>
  /** Called when other gateways should be told of a limit or of an endpoint's address. */
  readonly onNews: () => void
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
}

/**
 * @example
 * announcements.record(endpoint, 503, codec.readResponseHead(headers), sentAt)
 */
export class EndpointAnnouncements {
  readonly #options: EndpointAnnouncementsOptions
  readonly #invalidHeaderLoggedAt = new Map<string, number>()

  constructor (options: EndpointAnnouncementsOptions) {
    this.#options = options
  }

  /**
   * Records the announcements in a response that is known to come from this incarnation of the endpoint.
   *
   * @param sentAt when its request was sent
   */
  record (endpoint: RoutedEndpoint, status: number, head: ResponseHead, sentAt: number): void {
    if (head.error !== undefined) this.#logInvalidHeader(endpoint, head.error)
    if (head.isDraining) this.#recordDraining(endpoint)
    if (head.isSealed && !head.wasNotExecuted) this.#recordAnswer(endpoint, sentAt)
    if (head.warmUpMilliseconds !== undefined) this.#recordWarmUp(endpoint, head.warmUpMilliseconds)
    this.#recordRateLimit(endpoint, status, head.rateLimit, sentAt)
    if (status === serviceUnavailableStatus && head.retryAfterMilliseconds !== undefined) this.#recordOverload(endpoint, head.retryAfterMilliseconds)
  }

  /**
   * Records that the address of an endpoint answers for another one.
   *
   * @param sentAt when the rejected request was sent
   */
  recordRejection (endpoint: RoutedEndpoint, sentAt: number): void {
    const { clock, misdirected, onNews } = this.#options
    if (misdirected.recordRejection(endpoint, sentAt, clock.now())) onNews()
  }

  #recordAnswer (endpoint: RoutedEndpoint, sentAt: number): void {
    const { clock, misdirected, onNews } = this.#options
    if (misdirected.recordAnswer(endpoint, sentAt, clock.now())) onNews()
  }

  #recordRateLimit (endpoint: RoutedEndpoint, status: number, announcement: RateAnnouncement, sentAt: number): void {
    const { clock, announcedLimits, onNews } = this.#options
    const isServed = status < firstErrorStatus
    const isNews = announcedLimits.observe({ instance: instanceKey(endpoint), announcement, sentAt, isServed }, clock.now())
    if (isNews) onNews()
  }

  #recordWarmUp (endpoint: RoutedEndpoint, milliseconds: number): void {
    const { clock, log, warmUps } = this.#options
    const isNew = warmUps.recordResponse(instanceKey(endpoint), milliseconds, clock.now())
    if (isNew) log.info('endpoint_warming_up', { endpoint: endpoint.identity, service: endpoint.service, milliseconds, source: 'response' })
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
