/**
 * Starts, sends and closes the attempts of one forwarded request, and tells every component that follows attempts
 * how each ended.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Exchange, ExchangeOptions } from '../endpoint/index.ts'
import { promisesNotRun, statesNotRun } from '../contract/index.ts'
import { AttemptEnd } from '../placement/index.ts'
import { type ResponseHead, RouteType, type RoutedEndpoint, instanceKey, ratedEndpoint } from '../routing/index.ts'
import type { ForwardedRequest } from './forwardedRequest.ts'
import { type AttemptOptions, type OpenAttempt, HeldBackAt, NotExecutedReason, RunProgress } from './openAttempt.ts'
import { RequestArrivals } from './requestArrivals.ts'
import { isSelfDelimited } from './responseFraming.ts'

const misdirectedStatus = 421

/**
 * @example
 * if (attempts.tryStart()) {
 *   const attempt = attempts.send(endpoint, { model: undefined, lastEventId: undefined, usesOwnConnection: true })
 * }
 */
export class RequestAttempts {
  readonly #request: ForwardedRequest
  readonly #arrivals: RequestArrivals
  readonly #summaries: string[] = []
  #runCount = 0
  #hasBrokenOff = false
  #crashedRuns = 0

  constructor (request: ForwardedRequest) {
    this.#request = request
    this.#arrivals = new RequestArrivals({ service: request.service, ...request.dependencies })
  }

  /** One line for each attempt that has ended. */
  get summaries (): readonly string[] {
    return this.#summaries
  }

  /** Whether a run of the request broke off. */
  get hasBrokenOff (): boolean {
    return this.#hasBrokenOff
  }

  /** Further attempts that may be made; none at the end of a planned stop. */
  get left (): number {
    return this.#dependencies.plannedStop.hasEndedSending ? 0 : this.#request.route.maximumAttempts - this.#runCount
  }

  /** Whether the retry budget allows a run after the present or the planned one. */
  get allowsRepeat (): boolean {
    return this.#arrivals.allowsRepeat(this.#request.now)
  }

  /** Whether the retry budget held back the request's last attempt, or one that was to follow it. */
  get isHeldBackByBudget (): boolean {
    return this.#arrivals.isHeldBack
  }

  /** Whether another attempt may be made; reserves it in the retry budget. */
  tryStart (): boolean {
    const { hasCallerLeft, now, deadline } = this.#request
    if (hasCallerLeft || now >= deadline || this.left <= 0) return false
    if (!this.#request.isAdmitted(this.#crashedRuns)) return false
    return this.#arrivals.tryPrepare(now)
  }

  /** Gives back what is reserved for an attempt that was not sent. */
  close (): void {
    this.#arrivals.close()
  }

  /** Starts an attempt at an endpoint. */
  send (endpoint: RoutedEndpoint, options: AttemptOptions): OpenAttempt {
    const request = this.#request
    const { connections, limits, plannedStop, loads, rollOuts, runs } = this.#dependencies
    const { model, usesOwnConnection } = options
    const startedAt = request.now
    const permit = limits.open(ratedEndpoint(endpoint), startedAt)
    request.selection.markTried(endpoint)
    const mayStillSend = () => {
      const isSending = !request.hasCallerLeft && !plannedStop.hasEndedSending && request.now < request.deadline && request.selection.isEligible(endpoint) && !loads.isOverloaded(endpoint, request.now) && this.#arrivals.mayWrite(request.now) && permit.trySend(request.now)
      if (isSending) this.#arrivals.recordWrite(request.now)
      if (isSending) run.recordSent(request.now)
      return isSending
    }
    const exchangeOptions = this.#exchangeOptions(endpoint, options, startedAt, mayStillSend)
    const work = request.estimateWork(model)
    const tracker = loads.track(endpoint, work, startedAt)
    let isBlocked = false
    const cancelBlocked = () => {
      isBlocked = true
      exchange.abort('its prompt is blocked')
    }
    const run = runs.open({ instance: instanceKey(endpoint), address: endpoint.address, prompt: request.prompt, cancel: cancelBlocked })
    const evidence = rollOuts.openRun(request.service, endpoint.version, { kind: request.route.name, requestClass: `${request.route.name}/${model ?? ''}`, sentAt: startedAt })
    const exchange = usesOwnConnection ? connections.startDedicated(endpoint.address, exchangeOptions) : connections.startPooled(endpoint.address, exchangeOptions)
    const unfollowCaller = this.#abortWithCaller(exchange)
    const forgetStop = plannedStop.onEnd(() => { if (!exchange.mayHaveSent) exchange.abort('stopping') })
    return { endpoint, model, exchange, startedAt, forgetStop, unfollowCaller, promptMilliseconds: work.prefillMilliseconds, tracker, run, permit, evidence, isBlocked: () => isBlocked }
  }

  #exchangeOptions (endpoint: RoutedEndpoint, { model, lastEventId }: AttemptOptions, startedAt: number, mayStillSend: () => boolean): ExchangeOptions {
    const { body, deadline, incoming, organisation, priority, route } = this.#request
    const { clock, codec } = this.#dependencies
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
      inactivityTimeoutMilliseconds: Math.max(1, deadline - startedAt),
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
   * Closes an attempt: releases its tracked load, counts its outcome and adds it to the request's log line.
   *
   * @param countsAsRun whether the attempt counts against the route's maximum number of attempts
   */
  finish (attempt: OpenAttempt, end: AttemptEnd, outcome: string, countsAsRun = attempt.exchange.mayHaveSent): void {
    const { now, service } = this.#request
    attempt.unfollowCaller()
    if (countsAsRun) this.#runCount++
    this.#countLimited(attempt)
    attempt.forgetStop()
    attempt.run.close()
    attempt.permit.close()
    attempt.evidence?.abandon(now)
    attempt.tracker.close(end, now)
    this.#dependencies.metrics.attempts.inc({ service, end })
    const { identity, version } = attempt.endpoint
    this.#summaries.push(`${identity} ${version} ${attempt.model ?? '-'} ${Math.round(now - attempt.startedAt)}ms ${outcome}`)
  }

  #countLimited ({ permit }: OpenAttempt): void {
    const { limitedAttempts, warmUpAttempts } = this.#dependencies.metrics
    if (!permit.wasLimited) return
    const counter = permit.wasWarmingUp ? warmUpAttempts : limitedAttempts
    counter.inc({ service: this.#request.service })
  }

  /** Closes an attempt whose run broke off or was never sent. What its prompt shares with others is logged, since it may be the cause. */
  finishBroken (attempt: OpenAttempt, end: AttemptEnd, reason: string): void {
    const { now, service } = this.#request
    const { begunAt } = attempt.run
    const wasSent = attempt.exchange.mayHaveSent
    if (attempt.permit.wasHeldBack) this.#recordHeldBack(attempt)
    if (wasSent) this.#dependencies.metrics.brokenRuns.inc({ service, end, progress: begunAt === undefined ? RunProgress.Waiting : RunProgress.Begun })
    this.#hasBrokenOff ||= wasSent
    if (wasSent && end === AttemptEnd.Failed) this.#recordBreak(attempt)
    if (!wasSent && end === AttemptEnd.Lost) attempt.run.recordRefusal(now)
    const begun = begunAt === undefined ? '' : `, begun ${Math.round(now - begunAt)}ms before`
    this.finish(attempt, end, `${wasSent ? 'broke off' : 'unsent'}${begun}: ${reason}`)
  }

  #recordHeldBack ({ endpoint }: OpenAttempt): void {
    this.#dependencies.metrics.heldBack.inc({ service: this.#request.service, at: HeldBackAt.Send })
    this.#request.selection.allowRetryAt(endpoint)
  }

  /** An endpoint that was leaving anyway did not crash. */
  #recordBreak ({ endpoint, run }: OpenAttempt): void {
    const { now } = this.#request
    const mayBeCause = this.#dependencies.registry.isServing(endpoint, now) && run.recordBreak(now)
    if (mayBeCause) this.#crashedRuns++
  }

  /**
   * Classifies an attempt that ended without a response. An endpoint that broke off a request after
   * accepting it is reachable; one that refused the connection or stayed silent may not be.
   */
  endWithoutResponse (attempt: OpenAttempt, isSilent: boolean): AttemptEnd {
    if (this.#request.hasCallerLeft || attempt.isBlocked()) return AttemptEnd.Cancelled
    const isOverloaded = !attempt.exchange.mayHaveSent && this.#dependencies.loads.isOverloaded(attempt.endpoint, this.#request.now)
    if (isOverloaded || attempt.permit.wasHeldBack || this.#wasHeldBack(attempt)) return AttemptEnd.Cancelled
    return isSilent || !attempt.exchange.mayHaveSent ? AttemptEnd.Lost : AttemptEnd.Failed
  }

  #wasHeldBack ({ exchange }: OpenAttempt): boolean {
    return !exchange.mayHaveSent && this.#arrivals.isHeldBack
  }

  /**
   * Whether an orderly end shows that a response is whole. A killed endpoint's connections end in order too, so
   * the end of a response without a frame proves that only of an endpoint that has outlived it.
   */
  async isWhole ({ endpoint }: OpenAttempt, headers: IncomingHttpHeaders): Promise<boolean> {
    return isSelfDelimited(headers) || !(await this.#dependencies.liveness.hasEnded(endpoint, this.#request.deadline))
  }

  /** Records that a response is whole. Where only the end of the connection tells so, it proves nothing of the endpoint's health. */
  recordAnswer ({ run, evidence }: OpenAttempt, headers: IncomingHttpHeaders): void {
    const { now } = this.#request
    if (isSelfDelimited(headers)) run.recordAnswer(now)
    evidence?.recordBegin(now)
    evidence?.finish(now)
  }

  /** Records that a whole response tells of a failure; its endpoint has outlived the run. */
  recordFailure ({ run, evidence }: OpenAttempt): void {
    run.recordOver()
    evidence?.recordFailure()
  }

  /** Acts on what an endpoint announces in its response; one that rejects the request as misdirected is not the attempt's endpoint. */
  recordAnnouncements (attempt: OpenAttempt, status: number, responseHead: ResponseHead): void {
    if (status !== misdirectedStatus) this.#dependencies.announcements.record(attempt.endpoint, status, responseHead, attempt.startedAt)
  }

  /** Closes an attempt that the endpoint reports as not executed; undefined if it makes no such statement. */
  finishIfNotExecuted (attempt: OpenAttempt, status: number, { wasNotExecuted }: ResponseHead): NotExecutedReason | undefined {
    if (!statesNotRun(status, wasNotExecuted)) return undefined
    const isMisdirected = status === misdirectedStatus
    attempt.exchange.discardRest()
    attempt.run.recordOver()
    this.finish(attempt, isMisdirected ? AttemptEnd.Lost : AttemptEnd.Full, `not executed, status ${status}`, !isMisdirected)
    return isMisdirected ? NotExecutedReason.Misdirected : NotExecutedReason.Refused
  }

  /**
   * Closes an attempt that the endpoint may have run and failed, under a status that would promise the caller
   * that it was not run. Another status must not bear the endpoint's seal, so nothing of its response is passed on.
   *
   * @returns false if the status promises nothing
   */
  finishIfFalselyPromised (attempt: OpenAttempt, status: number): boolean {
    if (!promisesNotRun(status)) return false
    attempt.exchange.discardRest()
    this.recordFailure(attempt)
    this.finish(attempt, AttemptEnd.Failed, `status ${status} without a statement that it was not run`)
    return true
  }

  get #dependencies () {
    return this.#request.dependencies
  }
}
