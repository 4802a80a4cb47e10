/**
 * The attempts of one forwarded request: whether another one may be made, and how each ended, which every component
 * that follows attempts is told.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { promisesNotRun, statesNotRun } from '../contract/index.ts'
import { AttemptEnd, isSilenceHeard } from '../placement/index.ts'
import type { ResponseHead, RoutedEndpoint } from '../routing/index.ts'
import { type OpeningRequest, AttemptOpener } from './attemptOpener.ts'
import type { ForwardingDependencies } from './forwardingDependencies.ts'
import { type GivenUpRequest, GiveUpReason, recordGivenUp } from './givenUpRun.ts'
import { type AttemptOptions, type OpenAttempt, HeldBackAt, NotExecutedReason, RunProgress } from './openAttempt.ts'
import { isRequestAtFault } from './rejectedRequest.ts'
import { RequestSends } from './requestSends.ts'
import { isSelfDelimited } from './responseFraming.ts'

const misdirectedStatus = 421
/** After such an end, its endpoint is not asked again for the same request. */
const finalEnds: ReadonlySet<AttemptEnd> = new Set([AttemptEnd.Answered, AttemptEnd.Failed, AttemptEnd.Cancelled])
/** Endpoints that may reject a request for what its caller sent before it is given up; one of them may just not be at its address. */
const maximumRequestRejections = 2

/** The request that attempts are to answer. */
export interface AttemptingRequest extends Omit<OpeningRequest, 'dependencies'>, Omit<GivenUpRequest, 'dependencies' | 'head' | 'selection'> {
  readonly dependencies: OpeningRequest['dependencies'] & GivenUpRequest['dependencies'] & Pick<ForwardingDependencies, 'announcements' | 'liveness' | 'registry' | 'retryBudget'>
  /** Whether the time that the caller allows is over. */
  readonly isPastDeadline: boolean
  /** Whether the prompt may be sent, after a number of runs at endpoints that have crashed. */
  isAdmitted (crashedRuns: number): boolean
}

/**
 * @example
 * if (attempts.tryStart()) {
 *   const attempt = attempts.send(endpoint, { model: undefined, lastEventId: undefined, usesOwnConnection: true })
 * }
 */
export class RequestAttempts {
  readonly #request: AttemptingRequest
  readonly #sends: RequestSends
  readonly #opener: AttemptOpener
  readonly #summaries: string[] = []
  readonly #open = new Set<OpenAttempt>()
  #runCount = 0
  #hasBrokenOff = false
  #crashedRuns = 0
  #requestRejections = 0

  constructor (request: AttemptingRequest) {
    this.#request = request
    this.#sends = new RequestSends({ service: request.service, ...request.dependencies })
    this.#opener = new AttemptOpener(request, this.#sends)
  }

  /** One line for each attempt that has ended. */
  get summaries (): readonly string[] {
    return this.#summaries
  }

  /** When the first attempt was written to a connection, in milliseconds of the process's clock; undefined before. */
  get firstSentAt (): number | undefined {
    return this.#sends.firstAt
  }

  /** When the last attempt was written to a connection, in milliseconds of the process's clock; undefined before. */
  get lastSentAt (): number | undefined {
    return this.#sends.lastAt
  }

  /** Whether an attempt was written to an endpoint and has not ended. */
  get isUnderWay (): boolean {
    return [...this.#open].some(({ exchange }) => exchange.mayHaveSent)
  }

  /** Whether a run of the request broke off. */
  get hasBrokenOff (): boolean {
    return this.#hasBrokenOff
  }

  /** Further attempts that may be made; none that a planned stop would cut, or once two endpoints have rejected what the caller sent. */
  get left (): number {
    if (this.#request.sendWindow.isClosed || this.#requestRejections >= maximumRequestRejections) return 0
    return this.#request.route.maximumAttempts - this.#runCount
  }

  /** Whether the retry budget allows a run after the present or the planned one. */
  get allowsRetry (): boolean {
    return this.#sends.allowsRetry(this.#request.now)
  }

  /** Whether the retry budget held back the request's last attempt, or one that was to follow it. */
  get isHeldBackByBudget (): boolean {
    return this.#sends.isHeldBack
  }

  /** Whether another attempt may be made; reserves it in the retry budget. */
  tryStart (): boolean {
    const { hasCallerLeft, now, deadline } = this.#request
    if (hasCallerLeft || now >= deadline || this.left <= 0) return false
    if (!this.#request.isAdmitted(this.#crashedRuns)) return false
    return this.#sends.tryPrepare(now)
  }

  /** Gives back what is reserved for an attempt that was not sent. */
  close (): void {
    this.#sends.close()
  }

  /** Starts an attempt at an endpoint. */
  send (endpoint: RoutedEndpoint, options: AttemptOptions): OpenAttempt {
    const attempt = this.#opener.open(endpoint, options)
    this.#open.add(attempt)
    return attempt
  }

  /**
   * Closes an attempt: releases its tracked load, counts its outcome and adds it to the request's log line.
   *
   * @param countsAsRun whether the attempt counts against the route's maximum number of attempts
   */
  finish (attempt: OpenAttempt, end: AttemptEnd, outcome: string, countsAsRun = attempt.exchange.mayHaveSent): void {
    const { now, service } = this.#request
    this.#open.delete(attempt)
    attempt.unfollowCaller()
    if (countsAsRun) this.#runCount++
    if (attempt.exchange.mayHaveSent && !finalEnds.has(end)) this.#request.selection.allowRetryLaterAt(attempt.endpoint)
    this.#countLimited(attempt)
    attempt.forgetStop()
    attempt.run.close()
    attempt.permit.close()
    attempt.evidence?.abandon(now)
    attempt.tracker.close(this.#endAtEndpoint(attempt, end), now)
    attempt.duration.close(end === AttemptEnd.Answered, now)
    this.#dependencies.metrics.attempts.inc({ service, end })
    const { identity, version } = attempt.endpoint
    this.#summaries.push(`${identity} ${version} ${attempt.model ?? '-'} ${Math.round(now - attempt.startedAt)}ms ${outcome}`)
  }

  /** How an attempt ended as far as its endpoint is concerned. */
  #endAtEndpoint ({ exchange }: OpenAttempt, end: AttemptEnd): AttemptEnd {
    if (end !== AttemptEnd.Silent) return end
    const { heldUpMilliseconds, heardSilenceMilliseconds } = exchange
    const { latencyTargetMilliseconds, maximumEventGapMilliseconds } = this.#request.route
    const isHeard = isSilenceHeard({ heldUpMilliseconds, heardMilliseconds: heardSilenceMilliseconds, latencyTargetMilliseconds, maximumEventGapMilliseconds })
    return isHeard ? end : AttemptEnd.Cancelled
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
    if (wasSent && this.#endAtEndpoint(attempt, end) === AttemptEnd.Silent && this.#hasEndpointBeenSilent(attempt)) this.#dependencies.connections.retire(attempt.endpoint.address)
    if (!wasSent && end === AttemptEnd.Lost) attempt.run.recordRefusal(now)
    const begun = begunAt === undefined ? '' : `, begun ${Math.round(now - begunAt)}ms before`
    this.finish(attempt, end, `${wasSent ? 'broke off' : 'unsent'}${begun}: ${reason}`)
  }

  /**
   * Gives up a run that was silent for too long, in the event-loop turn that writes another one. All connections to its
   * endpoint that are open may have fallen silent for good, while new ones work.
   */
  giveUpSilent (attempt: OpenAttempt, description: string, nextEndpoint: RoutedEndpoint): void {
    recordGivenUp(this.#request, attempt, GiveUpReason.Silence, nextEndpoint)
    this.#dependencies.connections.retire(attempt.endpoint.address)
    attempt.exchange.abort('silent')
    this.finishBroken(attempt, this.endWithoutResponse(attempt, true), description)
  }

  /** Whether no run has received anything from the endpoint since this one last did, or was sent. */
  #hasEndpointBeenSilent ({ exchange, tracker }: OpenAttempt): boolean {
    const { now } = this.#request
    return tracker.silentMilliseconds(now) >= exchange.heardSilenceMilliseconds
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
   * accepting it is reachable, and so may one be that stayed silent; one that refused the connection is not. An
   * attempt that was still connecting when the time for it was over tells nothing.
   */
  endWithoutResponse (attempt: OpenAttempt, isSilent: boolean): AttemptEnd {
    if (this.#request.callerAbort.signal.aborted || attempt.isBlocked() || attempt.wasWithheld() || this.#dependencies.plannedStop.hasCut) return AttemptEnd.Cancelled
    const wasLeftAlone = !attempt.exchange.mayHaveSent && this.#isLeftAlone(attempt.endpoint)
    const hadNoTime = !attempt.exchange.mayHaveSent && (this.#request.isPastDeadline || this.#request.sendWindow.isClosed)
    if (wasLeftAlone || hadNoTime || attempt.permit.wasHeldBack) return AttemptEnd.Cancelled
    if (!attempt.exchange.mayHaveSent) return AttemptEnd.Lost
    return isSilent ? AttemptEnd.Silent : AttemptEnd.Failed
  }

  /** Whether the request may not be sent to an endpoint now. That says nothing of whether the endpoint can be reached. */
  #isLeftAlone (endpoint: RoutedEndpoint): boolean {
    const { loads, misdirected } = this.#dependencies
    const { now } = this.#request
    return loads.isOverloaded(endpoint, now) || misdirected.isMisdirected(endpoint, now) || this.#sends.isHeldBack
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
  finishIfNotExecuted (attempt: OpenAttempt, status: number, response: ResponseHead): NotExecutedReason | undefined {
    if (!statesNotRun(status, response.wasNotExecuted)) return undefined
    const isMisdirected = status === misdirectedStatus
    const isRequestAtFault = isMisdirected && this.#isRequestAtFault(attempt, response)
    if (isRequestAtFault) this.#requestRejections++
    else if (isMisdirected) this.#dependencies.announcements.recordRejection(attempt.endpoint, attempt.startedAt)
    if (isMisdirected) this.#logMisdirected(attempt, isRequestAtFault)
    attempt.exchange.discardRest()
    attempt.run.recordOver()
    this.finish(attempt, notExecutedEnd(isMisdirected, isRequestAtFault), `not executed, status ${status}`, !isMisdirected)
    return isMisdirected ? NotExecutedReason.Misdirected : NotExecutedReason.Refused
  }

  #logMisdirected ({ endpoint: { address, identity }, model }: OpenAttempt, isRequestAtFault: boolean): void {
    const { head, service } = this.#request
    this.#dependencies.metrics.misdirected.inc({ service })
    this.#dependencies.log.warn('request_misdirected', { endpoint: identity, address, service, request: head.attemptId, model, isRequestAtFault })
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

  #isRequestAtFault ({ endpoint, model }: OpenAttempt, response: ResponseHead): boolean {
    const { head, now, route } = this.#request
    const hasJustAnswered = this.#dependencies.misdirected.hasJustAnswered(endpoint, now)
    return isRequestAtFault({ head, route, endpoint, model, response, hasJustAnswered })
  }

  get #dependencies () {
    return this.#request.dependencies
  }
}

function notExecutedEnd (isMisdirected: boolean, isRequestAtFault: boolean): AttemptEnd {
  if (isRequestAtFault) return AttemptEnd.Cancelled
  return isMisdirected ? AttemptEnd.Lost : AttemptEnd.Full
}
