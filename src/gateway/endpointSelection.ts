/**
 * Chooses the endpoints of one forwarded request: those that it may reach and has not tried yet. While the rate
 * limits of all are used up, the request waits here for its turn.
 */
import { type EligibilityRequest, type Ineligibility, type PlacementRequest, type RequestWork, allowedByBoth } from '../placement/index.ts'
import { latestTurn, type WaitingRequest } from '../rateLimit/index.ts'
import { RouteType, type AllowedRegions, type RequestHead, type Route, type RoutedEndpoint, type RoutedOrganisation, instanceKey, ratedEndpoint } from '../routing/index.ts'
import type { ForwardingDependencies } from './forwardingDependencies.ts'
import { HeldBackAt } from './openAttempt.ts'
import type { SendWindow } from './sendWindow.ts'

/** The request for which endpoints are chosen. All times are milliseconds of the process's clock. */
export interface SelectingRequest {
  readonly head: RequestHead
  readonly route: Route
  readonly organisation: RoutedOrganisation | undefined
  readonly service: string
  readonly priority: number
  readonly arrivedAt: number
  readonly deadline: number
  readonly now: number
  readonly sendWindow: SendWindow
  /** Aborted when the caller disconnects. */
  readonly callerAbort: AbortController
  readonly hasCallerLeft: boolean
  readonly dependencies: Pick<ForwardingDependencies, 'eligibility' | 'limits' | 'loads' | 'metrics' | 'placeQueues' | 'placement' | 'rollOuts' | 'versionSelector'>
  wasBlockedMeanwhile (): boolean
  estimateWork (model: string | undefined): RequestWork
}

/**
 * @example
 * const endpoint = await selection.awaitEndpoint(undefined)
 * if (endpoint === undefined) refuse()
 */
export class EndpointSelection {
  readonly #request: SelectingRequest
  readonly #eligibilityRequest: EligibilityRequest
  readonly #triedInstances = new Set<string>()
  /** Those of the tried ones that may be tried again once no other is left. */
  readonly #retriableInstances = new Set<string>()
  #isEndedByStop = false
  #placeMilliseconds: number | undefined

  constructor (request: SelectingRequest) {
    this.#request = request
    const { organisation, route, service } = request
    this.#eligibilityRequest = { service, allowedRegions: allowedByBoth(route.allowedRegions, organisation?.allowedRegions) }
  }

  /** The regions in which the request may be served. */
  get allowedRegions (): AllowedRegions {
    return this.#eligibilityRequest.allowedRegions
  }

  /** Whether a planned stop ended the wait for a place. */
  get isEndedByStop (): boolean {
    return this.#isEndedByStop
  }

  /** When an endpoint's rate limit is likely to have a place, in milliseconds from then; undefined if no limit stood in the way. */
  get placeMilliseconds (): number | undefined {
    return this.#placeMilliseconds
  }

  /** Whether a wait for a place has ended without one. */
  get hasWaitedInVain (): boolean {
    return this.#isEndedByStop || this.#placeMilliseconds !== undefined
  }

  /** Why no endpoint may be reached now; undefined if one may. */
  get ineligibility (): Ineligibility | undefined {
    return this.#dependencies.eligibility.ineligibilityOf(this.#eligibilityRequest, this.#request.now)
  }

  /** Number of endpoints that the request may reach and has not tried. */
  get untriedCount (): number {
    return this.#reachableUntried().length
  }

  /** Number of those whose rate limit has a place. */
  get untriedWithPlaceCount (): number {
    const { limits } = this.#dependencies
    return this.#reachableUntried().filter(endpoint => limits.hasPlace(ratedEndpoint(endpoint), this.#request.now)).length
  }

  /** How long it takes until an endpoint of the service wants requests again, in milliseconds; 0 if one does now. */
  get overloadMilliseconds (): number {
    const { eligibility, loads } = this.#dependencies
    const { now } = this.#request
    return loads.overloadMilliseconds(eligibility.endpointsFor(this.#eligibilityRequest, now), now)
  }

  /** Whether an endpoint that was chosen earlier may still be reached. */
  isEligible (endpoint: RoutedEndpoint): boolean {
    return this.#dependencies.eligibility.isEligible(endpoint, this.allowedRegions, this.#request.now)
  }

  /** Chooses an endpoint that has not been tried yet; undefined if none is eligible. */
  choose (model: string | undefined, isResumed = false): RoutedEndpoint | undefined {
    return this.#dependencies.placement.choose(this.#placementRequest(model, isResumed), this.#untriedEndpoints(), this.#request.now)
  }

  /** Chooses an endpoint that has not just fallen silent and need not be queued for; undefined if there is none. */
  chooseAtOnce (model: string | undefined, isResumed: boolean): RoutedEndpoint | undefined {
    const endpoint = this.choose(model, isResumed)
    if (endpoint === undefined || this.#hasToQueueFor(endpoint)) return undefined
    return this.#dependencies.loads.isSilent(endpoint, this.#request.now) ? undefined : endpoint
  }

  /** Chooses an endpoint; while the rate limits of all are used up, waits for a place. Undefined if none is eligible in time. */
  async awaitEndpoint (model: string | undefined, isResumed = false): Promise<RoutedEndpoint | undefined> {
    const request = this.#request
    const { metrics, placeQueues } = this.#dependencies
    const waiting = this.#waitingRequest(this.#placementRequest(model, isResumed))
    for (let isItsTurn = false; ;) {
      const endpoint = this.choose(model, isResumed)
      if (endpoint !== undefined && (isItsTurn || !this.#hasToQueueFor(endpoint))) return endpoint
      if (endpoint === undefined && !Number.isFinite(waiting.forecast().placesPerSecond)) return undefined
      metrics.heldBack.inc({ service: request.service, at: HeldBackAt.Choice })
      const turn = await placeQueues.of(request.service).wait(waiting)
      if (turn.err) this.#placeMilliseconds = turn.val.retryAfterMilliseconds
      this.#isEndedByStop = turn.err && request.sendWindow.closesAt <= waiting.latestTurn
      if (turn.err || request.hasCallerLeft || request.wasBlockedMeanwhile()) return undefined
      isItsTurn = true
    }
  }

  /** Excludes an endpoint from further attempts of the request. */
  markTried (endpoint: RoutedEndpoint): void {
    this.#triedInstances.add(instanceKey(endpoint))
  }

  /** Makes an endpoint eligible again after its run ended through no fault of its own. */
  allowRetryAt (endpoint: RoutedEndpoint): void {
    this.#triedInstances.delete(instanceKey(endpoint))
  }

  /** Makes an endpoint eligible again once no other is left: it was silent or full, and neither answered nor broke the request off. */
  allowRetryLaterAt (endpoint: RoutedEndpoint): void {
    this.#retriableInstances.add(instanceKey(endpoint))
  }

  /** Makes the endpoints eligible again that may be tried again; returns whether there are any. */
  allowRetries (): boolean {
    const hasAny = this.#retriableInstances.size > 0
    for (const instance of this.#retriableInstances) this.#triedInstances.delete(instance)
    this.#retriableInstances.clear()
    return hasAny
  }

  /** Whether an endpoint that has not been tried yet is full now, and may have room before the deadline. */
  awaitsRoom (model: string | undefined): boolean {
    const { deadline, now } = this.#request
    return this.#dependencies.placement.awaitsRoom(model, this.#untriedEndpoints(), now, deadline)
  }

  get #dependencies () {
    return this.#request.dependencies
  }

  #waitingRequest (placementRequest: PlacementRequest): WaitingRequest & { readonly latestTurn: number } {
    const request = this.#request
    const { placement } = this.#dependencies
    const ownLatestTurn = latestTurn(request.now, request.deadline)
    return {
      organisation: request.organisation?.name ?? '',
      priority: request.priority,
      arrivedAt: request.arrivedAt,
      latestTurn: ownLatestTurn,
      // A stop may begin while the request waits.
      get giveUpAt () { return Math.min(ownLatestTurn, request.sendWindow.closesAt) },
      signal: request.callerAbort.signal,
      forecast: () => placement.forecast(placementRequest, this.#untriedEndpoints(), request.now)
    }
  }

  /** A place that has just come goes to those that wait for one. */
  #hasToQueueFor (endpoint: RoutedEndpoint): boolean {
    const { limits, placeQueues } = this.#dependencies
    return placeQueues.of(this.#request.service).length > 0 && limits.isLimited(ratedEndpoint(endpoint), this.#request.now)
  }

  #untriedEndpoints (): readonly RoutedEndpoint[] {
    const { eligibility, rollOuts, versionSelector } = this.#dependencies
    const { head, now, service } = this.#request
    const serving = eligibility.endpointsFor(this.#eligibilityRequest, now)
    const split = rollOuts.splitOf(service)
    const candidates = versionSelector.chooseEndpoints(serving, split, head.session, head.attemptId ?? '', now)
    return candidates.filter(endpoint => !this.#triedInstances.has(instanceKey(endpoint)))
  }

  #reachableUntried (): readonly RoutedEndpoint[] {
    const serving = this.#dependencies.eligibility.endpointsFor(this.#eligibilityRequest, this.#request.now)
    return serving.filter(endpoint => !this.#triedInstances.has(instanceKey(endpoint)))
  }

  #placementRequest (model: string | undefined, isResumed: boolean): PlacementRequest {
    const { head, route } = this.#request
    return {
      isStream: route.type === RouteType.Stream,
      work: this.#request.estimateWork(model),
      promptTokens: head.promptTokens,
      promptParts: head.promptParts,
      model,
      isResumed
    }
  }
}
