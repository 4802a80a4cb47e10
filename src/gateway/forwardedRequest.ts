/**
 * One request while it is forwarded: what it asks for, how long it has, whether its caller is still
 * there, and what was tried. Plain and streamed forwarding share it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LogFields } from '../observe/index.ts'
import { type AttemptTracker, AttemptEnd, estimateWork } from '../placement/index.ts'
import { type ResponseHead, type RequestHead, RouteType, type Route, type RoutedEndpoint, type RoutedOrganisation, instanceKey } from '../routing/index.ts'
import type { Exchange } from '../endpoint/index.ts'
import { CallerResponse, type RequestState } from './callerResponse.ts'
import type { ForwardingDependencies } from './forwarding.ts'
import type { RoutingSnapshot } from './routingView.ts'

const misdirectedStatus = 421
const firstServerErrorStatus = 500
const timerToleranceMilliseconds = 5

/** What a request is made of. */
export interface ForwardedRequestOptions {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly head: RequestHead
  readonly body: Buffer
  readonly route: Route
  readonly organisation: RoutedOrganisation | undefined
  readonly service: string
  /** Milliseconds of the process's clock. */
  readonly arrivedAt: number
  readonly snapshot: RoutingSnapshot
  readonly dependencies: ForwardingDependencies
}

/** An attempt at an endpoint that is under way. */
export interface OpenAttempt {
  readonly endpoint: RoutedEndpoint
  readonly model: string | undefined
  readonly exchange: Exchange
  readonly startedAt: number
  readonly tracker: AttemptTracker
}

/** What an endpoint says that did not run a request. */
export const NotExecutedReason = {
  /** It has no room, or the time is over. */
  Refused: 'refused',
  /** Another endpoint has its address. */
  Misdirected: 'misdirected'
} as const
export type NotExecutedReason = typeof NotExecutedReason[keyof typeof NotExecutedReason]

/** What is asked of an endpoint. */
export interface AttemptOptions {
  readonly model: string | undefined
  readonly lastEventId: string | undefined
  /** On a connection of its own. */
  readonly usesOwnConnection: boolean
}

/** A request that is being forwarded. */
export class ForwardedRequest implements RequestState {
  readonly route: Route
  readonly service: string
  readonly head: RequestHead
  readonly dependencies: ForwardingDependencies
  readonly callerResponse: CallerResponse
  readonly arrivedAt: number
  /** The caller or the operators wait no longer than this, in milliseconds of the process's clock. */
  readonly deadline: number
  /** Aborted when the caller leaves. */
  readonly callerAbort = new AbortController()
  readonly #options: ForwardedRequestOptions
  readonly #attemptSummaries: string[] = []
  readonly #triedInstances = new Set<string>()
  #sentAttempts = 0

  constructor (options: ForwardedRequestOptions) {
    const { route, service, head, dependencies: parts, arrivedAt, response } = options
    this.#options = options
    this.route = route
    this.service = service
    this.head = head
    this.dependencies = parts
    this.arrivedAt = arrivedAt
    this.deadline = arrivedAt + Math.min(route.timeoutMilliseconds, head.timeoutMilliseconds ?? route.timeoutMilliseconds)
    response.once('close', () => {
      if (!response.writableFinished) this.callerAbort.abort('the caller left')
    })
    if (response.destroyed) this.callerAbort.abort('the caller left')
    this.callerResponse = new CallerResponse(response, this, parts)
  }

  get now (): number {
    return this.dependencies.clock.now()
  }

  /** Whether the time is over; a timer may fire a little before its moment. */
  get isPastDeadline (): boolean {
    return this.now >= this.deadline - timerToleranceMilliseconds
  }

  get hasCallerLeft (): boolean {
    return this.callerAbort.signal.aborted
  }

  /** Attempts that may have reached an endpoint. */
  get sentAttempts (): number {
    return this.#sentAttempts
  }

  get attemptsLeft (): number {
    return this.route.maximumAttempts - this.#sentAttempts
  }

  /** Part of the time to the objective that is left, 0 to 1. */
  get latencyTargetShareLeft (): number {
    const usedShare = (this.now - this.arrivedAt) / this.route.latencyTargetMilliseconds
    return Math.min(1, Math.max(0, 1 - usedShare))
  }

  /** Chooses an endpoint that was not tried yet; undefined where none is worth a try. */
  chooseEndpoint (model: string | undefined): RoutedEndpoint | undefined {
    const { registry: roster, placement, rollOuts, versionSelector: versions } = this.dependencies
    const now = this.now
    const serving = roster.servingEndpoints(this.service, now)
    const split = rollOuts.splitOf(this.service)
    const key = this.head.attemptId ?? ''
    const candidates = versions.chooseEndpoints(serving, split, this.head.session, key, now)
    const untried = candidates.filter(endpoint => !this.#triedInstances.has(instanceKey(endpoint)))
    return placement.choose({
      isStream: this.route.type === RouteType.Stream,
      work: this.#estimateWork(model),
      promptTokens: this.head.promptTokens,
      promptParts: this.head.promptParts,
      model
    }, untried, now)
  }

  /** Sends the request to an endpoint. */
  send (endpoint: RoutedEndpoint, { model, lastEventId: lastEvent, usesOwnConnection: isAlone }: AttemptOptions): OpenAttempt {
    const { clock, codec, connections, registry: roster, loads } = this.dependencies
    const startedAt = this.now
    this.#triedInstances.add(instanceKey(endpoint))
    const { request, organisation, body } = this.#options
    const exchangeOptions = {
      clock,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: codec.writeAttemptHeaders(request.headers, {
        timeoutMilliseconds: this.deadline - startedAt,
        endpointIdentity: endpoint.identity,
        organisation: organisation?.name,
        model,
        lastEventId: lastEvent,
        priority: this.route.type === RouteType.Stream ? organisation?.priority ?? this.route.priority : undefined
      }),
      body: body.length === 0 ? undefined : body,
      inactivityTimeoutMilliseconds: Math.max(1, this.deadline - startedAt),
      mayStillSend: () => !this.hasCallerLeft && this.now < this.deadline && roster.isServing(endpoint, this.now)
    }
    const work = loads.track(endpoint, this.#estimateWork(model), startedAt)
    const exchange = isAlone ? connections.startDedicated(endpoint.address, exchangeOptions) : connections.startPooled(endpoint.address, exchangeOptions)
    const abandonExchange = () => exchange.abort('the caller left')
    this.callerAbort.signal.addEventListener('abort', abandonExchange, { once: true })
    if (this.hasCallerLeft) abandonExchange()
    return { endpoint, model, exchange, startedAt, tracker: work }
  }

  /**
   * Ends an attempt: its work, its evidence and its part of the request's log line.
   *
   * @param countsAsSent whether it is one of the endpoints that the request was sent to
   */
  finishAttempt (attempt: OpenAttempt, end: AttemptEnd, outcome: string, countsAsSent = attempt.exchange.mayHaveSent): void {
    if (countsAsSent) this.#sentAttempts++
    attempt.tracker.close(end, this.now)
    this.dependencies.metrics.attempts.inc({ service: this.service, end })
    const { identity, version } = attempt.endpoint
    this.#attemptSummaries.push(`${identity} ${version} ${attempt.model ?? '-'} ${Math.round(this.now - attempt.startedAt)}ms ${outcome}`)
  }

  /** The answer's first byte came, or the endpoint failed it: evidence on its version. */
  recordResponse (attempt: OpenAttempt, failed: boolean): void {
    const milliseconds = this.now - attempt.startedAt
    this.dependencies.rollOuts.recordResponse(this.service, attempt.endpoint.version, { requestClass: `${this.route.name}/${attempt.model ?? ''}`, isFailed: failed, latencyMilliseconds: milliseconds })
  }

  /**
   * What an attempt without an answer says of its endpoint: one that broke off a request which it
   * had taken is there, one that refused the connection or says nothing may not be.
   */
  attemptEndWithoutResponse (attempt: OpenAttempt, isSilent: boolean): AttemptEnd {
    if (this.hasCallerLeft) return AttemptEnd.Cancelled
    return isSilent || !attempt.exchange.mayHaveSent ? AttemptEnd.Lost : AttemptEnd.Failed
  }

  /** Ends an attempt whose endpoint says that it did not run; undefined where it does not say so. */
  finishIfNotExecuted (attempt: OpenAttempt, status: number, { wasNotExecuted: notRun }: ResponseHead): NotExecutedReason | undefined {
    const isMisdirected = status === misdirectedStatus
    if (!notRun && !isMisdirected) return undefined
    attempt.exchange.discardRest()
    this.finishAttempt(attempt, isMisdirected ? AttemptEnd.Lost : AttemptEnd.Full, `not run ${status}`, !isMisdirected)
    return isMisdirected ? NotExecutedReason.Misdirected : NotExecutedReason.Refused
  }

  /** Lets an endpoint be chosen again: its run ended for no fault of its own. */
  allowRetryAt (endpoint: RoutedEndpoint): void {
    this.#triedInstances.delete(instanceKey(endpoint))
  }

  /** Whether an answer's head is this request's own and its endpoint's. */
  isOwnResponse (responseHead: ResponseHead): boolean {
    return responseHead.attemptId === this.head.attemptId
  }

  /** Whether an endpoint says with a status that it failed. */
  isServerError (status: number): boolean {
    return status >= firstServerErrorStatus
  }

  logFields (): LogFields {
    return {
      request: this.head.attemptId,
      route: this.route.name,
      organisation: this.#options.organisation?.name,
      limit: Math.round(this.deadline - this.arrivedAt),
      settings: this.#options.snapshot.settings.version,
      attempts: this.#attemptSummaries
    }
  }

  #estimateWork (model: string | undefined) {
    const service = this.#options.snapshot.settings.services.get(this.service)
    return estimateWork(this.route, service, model, this.head.promptTokens, this.head.maximumOutputTokens)
  }
}
