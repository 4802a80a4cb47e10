/**
 * State of one forwarded request: its parameters, its deadline, whether its caller is still connected and
 * whether its prompt may be sent. Shared by plain and streamed forwarding, with the choice of its endpoints and
 * its attempts.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BlockedPrompt, SharedPrompt } from '../breaker/index.ts'
import type { LogFields } from '../observe/index.ts'
import { estimateWork } from '../placement/index.ts'
import { type ResponseHead, type RequestHead, RouteType, type Route, type RoutedOrganisation, isRepeatable } from '../routing/index.ts'
import { CallerDeparture } from '../server/index.ts'
import { CallerResponse, type RequestState } from './callerResponse.ts'
import { EndpointSelection } from './endpointSelection.ts'
import type { ForwardingDependencies } from './forwardingDependencies.ts'
import { HeldBackAt } from './openAttempt.ts'
import { RequestAttempts } from './requestAttempts.ts'
import type { RequestHolding } from './requestHolding.ts'
import { type CutRequest, type RequestTimes, stopTimeFields } from './requestTimes.ts'
import type { RoutingSnapshot } from './routingView.ts'
import type { SendWindow } from './sendWindow.ts'
import { sharedPromptOf } from './sharedPrompt.ts'

const timerToleranceMilliseconds = 5

export interface ForwardedRequestOptions {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly head: RequestHead
  readonly body: Buffer
  readonly route: Route
  readonly organisation: RoutedOrganisation | undefined
  readonly service: string
  readonly holding: RequestHolding
  /** Milliseconds of the process's clock. */
  readonly arrivedAt: number
  /** Milliseconds of the process's clock. */
  readonly bodyReadAt: number
  /** The earlier of the caller's and the route's timeout, in milliseconds of the process's clock. */
  readonly deadline: number
  readonly sendWindow: SendWindow
  /** How long it waited for the answers ahead of it; undefined if there were none. */
  readonly waitedMilliseconds: number | undefined
  readonly snapshot: RoutingSnapshot
  readonly dependencies: ForwardingDependencies
}

export class ForwardedRequest implements RequestState, CutRequest {
  readonly incoming: IncomingMessage
  readonly head: RequestHead
  readonly body: Buffer
  readonly route: Route
  readonly organisation: RoutedOrganisation | undefined
  readonly service: string
  /** What the request holds for its caller. */
  readonly holding: RequestHolding
  readonly arrivedAt: number
  /** The earlier of the caller's and the route's timeout, in milliseconds of the process's clock. */
  readonly deadline: number
  /** Until when it may be sent during a planned stop. */
  readonly sendWindow: SendWindow
  readonly dependencies: ForwardingDependencies
  readonly callerResponse: CallerResponse
  readonly prompt: SharedPrompt
  readonly selection: EndpointSelection
  readonly attempts: RequestAttempts
  readonly #waitedMilliseconds: number | undefined
  readonly #snapshot: RoutingSnapshot
  readonly #bodyReadAt: number
  readonly #departure: CallerDeparture
  #block: BlockedPrompt | undefined

  constructor (options: ForwardedRequestOptions) {
    const { request, route, organisation, service, head, body, holding, dependencies, arrivedAt, deadline, sendWindow, response, snapshot } = options
    this.incoming = request
    this.head = head
    this.body = body
    this.route = route
    this.organisation = organisation
    this.service = service
    this.holding = holding
    this.arrivedAt = arrivedAt
    this.deadline = deadline
    this.sendWindow = sendWindow
    this.dependencies = dependencies
    this.prompt = sharedPromptOf(options)
    this.#waitedMilliseconds = options.waitedMilliseconds
    this.#snapshot = snapshot
    this.#bodyReadAt = options.bodyReadAt
    this.#departure = new CallerDeparture(response, () => this.#isKept)
    this.callerResponse = new CallerResponse(response, this, dependencies)
    this.selection = new EndpointSelection(this)
    this.attempts = new RequestAttempts(this)
  }

  get now (): number {
    return this.dependencies.clock.now()
  }

  /** Whether the deadline has passed. Allows a tolerance of a few milliseconds, since a timer may fire slightly early. */
  get isPastDeadline (): boolean {
    return this.now >= this.deadline - timerToleranceMilliseconds
  }

  /** Whether a run is under way that can't be taken back. */
  get #isKept (): boolean {
    return this.route.type === RouteType.AtMostOnce && this.attempts.isUnderWay
  }

  /** Aborted when the work for a caller who leaves ends. */
  get callerAbort (): AbortController {
    return this.#departure.abort
  }

  /** Whether nothing more is sent to endpoints, since the caller has left. */
  get hasCallerLeft (): boolean {
    return this.#departure.hasLeft
  }

  get times (): RequestTimes {
    const { firstSentAt, lastSentAt } = this.attempts
    return { bodyReadAt: this.#bodyReadAt, firstSentAt, lastSentAt }
  }

  get wasPassedOn (): boolean {
    return this.attempts.firstSentAt !== undefined
  }

  /** Whether it may be sent again once it may have run. */
  get isRepeatable (): boolean {
    return isRepeatable(this.route)
  }

  /** The organisation's priority, or the route's; 0 is the most urgent. */
  get priority (): number {
    return this.organisation?.priority ?? this.route.priority
  }

  /** Remaining share of the latency target, 0 to 1. */
  get latencyTargetShareLeft (): number {
    const usedShare = (this.now - this.arrivedAt) / this.route.latencyTargetMilliseconds
    return Math.min(1, Math.max(0, 1 - usedShare))
  }

  /** Why the request's prompt is not sent to any endpoint; undefined if it may be. */
  get block (): BlockedPrompt | undefined {
    return this.#block
  }

  /** Whether the prompt may be sent, after a number of runs at endpoints that have crashed. */
  isAdmitted (crashedRuns: number): boolean {
    const { breaker } = this.dependencies
    if (!breaker.mayRepeat(this.prompt, crashedRuns)) return false
    return this.#admit()
  }

  /** A prompt may be blocked while its request waits for a place. */
  wasBlockedMeanwhile (): boolean {
    return this.dependencies.breaker.isBlocked(this.prompt, this.now) && !this.#admit()
  }

  #admit (): boolean {
    const admission = this.dependencies.breaker.admit(this.prompt, this.now)
    if (admission.err) this.#block = admission.val
    return admission.ok
  }

  /** Refuses the request, which got no response from any endpoint. */
  refuseUnanswered (mayHaveRun: boolean, isFull: boolean): void {
    const { metrics } = this.dependencies
    const { placeMilliseconds, isEndedByStop, ineligibility, overloadMilliseconds } = this.selection
    if (placeMilliseconds !== undefined) metrics.heldBack.inc({ service: this.service, at: HeldBackAt.Refusal })
    this.callerResponse.refuseUnanswered({ mayHaveRun, isStopping: isEndedByStop || this.sendWindow.isClosed, isFull, block: this.block, ineligibility, overloadMilliseconds, placeMilliseconds })
  }

  /** Whether a response carries the attempt ID of this request. */
  isOwnResponse (responseHead: ResponseHead): boolean {
    return responseHead.attemptId === this.head.attemptId
  }

  /** The work of the request at an endpoint. */
  estimateWork (model: string | undefined) {
    const service = this.#snapshot.settings.services.get(this.service)
    return estimateWork(this.route, service, model, this.head.promptTokens, this.head.maximumOutputTokens)
  }

  logFields (): LogFields {
    const { hasBrokenOff, isHeldBackByBudget, summaries } = this.attempts
    return {
      request: this.head.attemptId,
      route: this.route.name,
      organisation: this.organisation?.name,
      limit: Math.round(this.deadline - this.arrivedAt),
      waitedMilliseconds: this.#waitedMilliseconds,
      allowedRegions: this.#allowedRegionsField(),
      ...this.#sizeFields(),
      settings: this.#snapshot.settings.version,
      content: hasBrokenOff ? this.prompt.request : undefined,
      promptParts: hasBrokenOff ? this.prompt.parts : undefined,
      ...stopTimeFields(this.times, this.dependencies.plannedStop.begunAt),
      isRetryBudgetUsedUp: isHeldBackByBudget ? true : undefined,
      attempts: summaries
    }
  }

  #allowedRegionsField (): readonly string[] | undefined {
    const { allowedRegions } = this.selection
    return allowedRegions === undefined ? undefined : [...allowedRegions]
  }

  /** What makes a streamed request large, and where its caller resumes it; nothing for other requests. */
  #sizeFields (): LogFields {
    if (this.route.type !== RouteType.Stream) return {}
    const { promptTokens, maximumOutputTokens, lastEventId } = this.head
    return { promptTokens, maximumOutputTokens, resumedAfter: lastEventId }
  }
}
