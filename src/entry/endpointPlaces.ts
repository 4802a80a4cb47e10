/**
 * The places that the rate limits of endpoints leave to this daemon: which endpoints have one, the wait for one,
 * and the gate through which each request to an endpoint goes.
 */
import type { Clock, Result } from '../contract/index.ts'
import type { EndpointView } from '../choice/index.ts'
import type { SendGate } from '../endpoint/index.ts'
import type { Log } from '../observe/index.ts'
import {
  type AnnouncedLimits, type EndpointLimits, type NoPlaceInTime, type PlaceQueues, type RatedEndpoint, type ReadRateAnnouncement, type SendPermit, latestTurn
} from '../rateLimit/index.ts'

const millisecondsPerSecond = 1_000
/** While this daemon can't tell when a place comes, another one may have some. */
const unknownPlaceSeconds = 1

export interface EndpointPlacesDependencies {
  readonly clock: Clock
  readonly announcedLimits: AnnouncedLimits
  readonly limits: EndpointLimits
  readonly placeQueues: PlaceQueues
  /** Called when other daemons should be told of a limit. */
  readonly onNews: () => void
  readonly log: Log
}

/** A request that may wait for a place. */
export interface PlaceRequest {
  readonly organisation: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly arrivedAt: number
  readonly deadline: number
  readonly signal: AbortSignal
}

/** The gate of one attempt at an endpoint. */
export class AttemptGate implements SendGate {
  readonly #places: EndpointPlaces
  readonly #endpoint: RatedEndpoint
  readonly #permit: SendPermit
  readonly #openedAt: number
  readonly #onSend: () => void

  constructor (places: EndpointPlaces, endpoint: RatedEndpoint, permit: SendPermit, openedAt: number, onSend: () => void) {
    this.#places = places
    this.#endpoint = endpoint
    this.#permit = permit
    this.#openedAt = openedAt
    this.#onSend = onSend
  }

  /** Whether the request was held back for the endpoint's limit. */
  get wasHeldBack (): boolean {
    return this.#permit.wasHeldBack
  }

  trySend (): boolean {
    const isSending = this.#permit.trySend(this.#places.now)
    if (isSending) this.#onSend()
    return isSending
  }

  charge (): void {
    this.#places.charge(this.#endpoint)
  }

  recordResponse (read: ReadRateAnnouncement, isServed: boolean): void {
    this.#places.record(this.#endpoint, read, this.#openedAt, isServed)
  }

  /** To be called when the attempt has ended. */
  close (): void {
    this.#permit.close()
  }
}

export class EndpointPlaces {
  readonly #dependencies: EndpointPlacesDependencies

  constructor (dependencies: EndpointPlacesDependencies) {
    this.#dependencies = dependencies
  }

  get now (): number {
    return this.#dependencies.clock.now()
  }

  /** The names of the endpoints that have no place now. */
  withoutPlace (service: string, views: readonly EndpointView[]): readonly string[] {
    const { limits } = this.#dependencies
    return views.filter(view => !limits.hasPlace(rated(service, view), this.now)).map(({ endpoint }) => endpoint.name)
  }

  /**
   * Waits for the request's turn at an endpoint that has no place now.
   *
   * @param views the endpoints that can serve the request
   * @returns an error if the turn would come too late
   */
  async wait (service: string, views: () => readonly EndpointView[], { deadline, ...request }: PlaceRequest): Promise<Result<void, NoPlaceInTime>> {
    const { limits, placeQueues } = this.#dependencies
    return await placeQueues.of(service).wait({
      ...request,
      giveUpAt: latestTurn(this.now, deadline),
      forecast: () => {
        const endpoints = views().map(view => rated(service, view))
        return { millisecondsToPlace: limits.millisecondsToPlace(endpoints, this.now), placesPerSecond: limits.requestsPerSecondAt(endpoints, this.now) }
      }
    })
  }

  /**
   * Opens the gate for an attempt at an endpoint.
   *
   * @param onSend called when the request is sent
   */
  open (service: string, view: EndpointView, onSend: () => void): AttemptGate {
    const endpoint = rated(service, view)
    return new AttemptGate(this, endpoint, this.#dependencies.limits.open(endpoint, this.now), this.now, onSend)
  }

  charge (endpoint: RatedEndpoint): void {
    this.#dependencies.limits.charge(endpoint, this.now)
  }

  record ({ instance }: RatedEndpoint, { announcement, error }: ReadRateAnnouncement, sentAt: number, isServed: boolean): void {
    const { announcedLimits, log, onNews } = this.#dependencies
    if (error !== undefined) log.warn('endpoint_header_invalid', { endpoint: instance, reason: error })
    if (announcedLimits.observe({ instance, announcement, sentAt, isServed }, this.now)) onNews()
  }
}

/**
 * When a caller that got no place may come back, in seconds.
 *
 * @example
 * new Refusal(RefusalCode.Overloaded, RunState.NotRun, message, placeRetrySeconds(turn.val))
 */
export function placeRetrySeconds ({ retryAfterMilliseconds }: NoPlaceInTime): number {
  return Number.isFinite(retryAfterMilliseconds) ? Math.max(1, retryAfterMilliseconds / millisecondsPerSecond) : unknownPlaceSeconds
}

function rated (service: string, { endpoint, report }: EndpointView): RatedEndpoint {
  return { instance: `${endpoint.name}@${report?.incarnation ?? 0}`, service, region: endpoint.place.region }
}
