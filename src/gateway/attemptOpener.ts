/**
 * Opens the attempts of one forwarded request: prepares what follows an attempt, and decides in the event-loop turn
 * that writes the request whether it may still be written.
 */
import type { IncomingMessage } from 'node:http'
import type { EndpointRun, SharedPrompt } from '../breaker/index.ts'
import type { Exchange, ExchangeOptions } from '../endpoint/index.ts'
import type { RequestWork } from '../placement/index.ts'
import type { SendPermit } from '../rateLimit/index.ts'
import { RouteType, type RequestHead, type Route, type RoutedEndpoint, type RoutedOrganisation, instanceKey, ratedEndpoint } from '../routing/index.ts'
import type { EndpointSelection } from './endpointSelection.ts'
import type { ForwardingDependencies } from './forwardingDependencies.ts'
import type { AttemptOptions, OpenAttempt } from './openAttempt.ts'
import type { RequestSends } from './requestSends.ts'
import type { SendWindow } from './sendWindow.ts'

/** Added to the time that is left: the request's deadline ends a silent attempt, and only then the exchange's own timeout. */
const inactivityMarginMilliseconds = 1_000

/** The request whose attempts are opened. All times are milliseconds of the process's clock. */
export interface OpeningRequest {
  readonly incoming: IncomingMessage
  readonly head: RequestHead
  readonly body: Buffer
  readonly prompt: SharedPrompt
  readonly route: Route
  readonly organisation: RoutedOrganisation | undefined
  readonly service: string
  readonly priority: number
  readonly deadline: number
  readonly now: number
  readonly sendWindow: SendWindow
  /** Aborted when the caller disconnects. */
  readonly callerAbort: AbortController
  readonly hasCallerLeft: boolean
  readonly selection: EndpointSelection
  readonly dependencies: Pick<ForwardingDependencies, 'clock' | 'codec' | 'connections' | 'limits' | 'loads' | 'misdirected' | 'plannedStop' | 'rollOuts' | 'runDurations' | 'runs'>
  estimateWork (model: string | undefined): RequestWork
}

interface ExchangeStart {
  /** Milliseconds of the process's clock. */
  readonly startedAt: number
  readonly mayStillSend: () => boolean
}

/**
 * @example
 * const attempt = opener.open(endpoint, { model: undefined, lastEventId: undefined, usesOwnConnection: true })
 * const head = await attempt.exchange.next()
 */
export class AttemptOpener {
  readonly #request: OpeningRequest
  readonly #sends: RequestSends

  constructor (request: OpeningRequest, sends: RequestSends) {
    this.#request = request
    this.#sends = sends
  }

  /** Starts an attempt at an endpoint; the request is written once there is a connection, unless that is no longer allowed. */
  open (endpoint: RoutedEndpoint, options: AttemptOptions): OpenAttempt {
    const request = this.#request
    const { limits, loads, rollOuts, runDurations } = request.dependencies
    const { model, replacement } = options
    const startedAt = request.now
    const permit = limits.open(ratedEndpoint(endpoint), startedAt)
    request.selection.markTried(endpoint)
    const work = request.estimateWork(model)
    const tracker = loads.track(endpoint, work, startedAt)
    const duration = runDurations.open(request.route.name, startedAt)
    const blocked = new AbortController()
    const run = this.#openRun(endpoint, blocked)
    const evidence = rollOuts.openRun(request.service, endpoint.version, { kind: request.route.name, requestClass: `${request.route.name}/${model ?? ''}`, sentAt: startedAt })
    let wasWithheld = false
    const mayStillSend = () => {
      wasWithheld = replacement?.isStillWanted() === false || !this.#mayWrite(endpoint, permit)
      if (wasWithheld) return false
      this.#recordSent(endpoint, run)
      replacement?.onWrite()
      return true
    }
    const exchange = this.#startExchange(endpoint, options, { startedAt, mayStillSend })
    blocked.signal.addEventListener('abort', () => exchange.abort('its prompt is blocked'), { once: true })
    const unfollowCaller = this.#abortWithCaller(exchange)
    const forgetStop = this.#abortWithStop(exchange)
    return { endpoint, model, exchange, startedAt, forgetStop, unfollowCaller, promptMilliseconds: work.prefillMilliseconds, tracker, duration, run, permit, evidence, isBlocked: () => blocked.signal.aborted, wasWithheld: () => wasWithheld }
  }

  #openRun (endpoint: RoutedEndpoint, blocked: AbortController): EndpointRun {
    const { dependencies, prompt } = this.#request
    return dependencies.runs.open({ instance: instanceKey(endpoint), address: endpoint.address, prompt, cancel: () => blocked.abort() })
  }

  /** Whether the request may be written to an endpoint; asked in the event-loop turn that writes it. Takes its place under the endpoint's rate limit. */
  #mayWrite (endpoint: RoutedEndpoint, permit: SendPermit): boolean {
    const { deadline, hasCallerLeft, now, selection, sendWindow } = this.#request
    if (hasCallerLeft || now >= deadline || sendWindow.isClosed) return false
    if (!selection.isEligible(endpoint) || this.#request.dependencies.loads.isOverloaded(endpoint, now)) return false
    return this.#sends.mayWrite(now) && permit.trySend(now)
  }

  /** To be called in the event-loop turn that writes the request. */
  #recordSent (endpoint: RoutedEndpoint, run: EndpointRun): void {
    const { now } = this.#request
    this.#sends.recordWrite(now)
    run.recordSent(now)
    this.#request.dependencies.misdirected.recordSent(endpoint, now)
  }

  #startExchange (endpoint: RoutedEndpoint, options: AttemptOptions, start: ExchangeStart): Exchange {
    const { connections } = this.#request.dependencies
    const exchangeOptions = this.#exchangeOptions(endpoint, options, start)
    return options.usesOwnConnection ? connections.startDedicated(endpoint.address, exchangeOptions) : connections.startPooled(endpoint.address, exchangeOptions)
  }

  #exchangeOptions (endpoint: RoutedEndpoint, { model, lastEventId }: AttemptOptions, { startedAt, mayStillSend }: ExchangeStart): ExchangeOptions {
    const { body, deadline, head, incoming, organisation, priority, route } = this.#request
    const { clock, codec } = this.#request.dependencies
    return {
      clock,
      method: incoming.method ?? 'GET',
      path: incoming.url ?? '/',
      headers: codec.writeAttemptHeaders(incoming.headers, {
        timeoutMilliseconds: deadline - startedAt,
        endpointIdentity: endpoint.identity,
        organisation: organisation?.name,
        model,
        lastEventId,
        priority: route.type === RouteType.Stream ? priority : undefined
      }),
      body: body.length === 0 ? undefined : body,
      responseMark: head.attemptId,
      deadline,
      inactivityTimeoutMilliseconds: Math.max(0, deadline - startedAt) + inactivityMarginMilliseconds,
      mayStillSend
    }
  }

  /**
   * Aborts an exchange when the caller disconnects.
   *
   * @returns a function that takes it back
   */
  #abortWithCaller (exchange: Exchange): () => void {
    const { signal } = this.#request.callerAbort
    const abandon = () => exchange.abort('caller disconnected')
    signal.addEventListener('abort', abandon, { once: true })
    if (signal.aborted) abandon()
    return () => signal.removeEventListener('abort', abandon)
  }

  /**
   * Aborts an exchange when a planned stop cuts it, or ends the time for sending before it was sent.
   *
   * @returns a function that takes it back
   */
  #abortWithStop (exchange: Exchange): () => void {
    const { dependencies: { plannedStop }, sendWindow } = this.#request
    const forgetWait = plannedStop.onEnd(() => { if (!exchange.mayHaveSent) exchange.abort('stopping') }, sendWindow)
    const forgetCut = plannedStop.onCut(() => exchange.abort('cut by the stop'))
    return () => {
      forgetWait()
      forgetCut()
    }
  }
}
