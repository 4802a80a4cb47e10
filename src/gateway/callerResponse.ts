/**
 * The response to one caller: a complete response, a stream, a refusal or a closed connection. However
 * it ends, one line is logged with everything that determined the outcome.
 */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { ResponseFrame, breakOffResponse, endWithoutFrame, frameOf, isSelfDelimited, maximumSingleWriteBytes } from './responseFraming.ts'
import type { BlockedPrompt } from '../breaker/index.ts'
import type { LogFields } from '../observe/index.ts'
import type { ForwardingDependencies } from './forwardingDependencies.ts'
import type { Ineligibility } from '../placement/index.ts'
import { CloseCause, closeCauseOf, isFollowed } from '../server/index.ts'
import { type ForwardRefusal, ForwardRefusals, contentBlocked, endpointsLimited, endpointsOverloaded, sendRefusal, unreachable } from './forwardRefusal.ts'

const answeredOutcome = 'answered'
const callerLeftOutcome = 'caller_left'
const cutByStopOutcome = 'cut_by_stop'
const unendedOutcome = 'unended'

/** A buffered response of an endpoint. */
export interface CompleteResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** State of a request that its response reads. */
export interface RequestState {
  readonly service: string
  /** Milliseconds of the process's clock. */
  readonly arrivedAt: number
  readonly now: number
  readonly hasCallerLeft: boolean
  readonly isPastDeadline: boolean
  /** Whether it was written to an endpoint. */
  readonly wasPassedOn: boolean
  /** Fields of the request's log line other than its outcome. */
  logFields (): LogFields
}

/** Why a request got no response from an endpoint. */
export interface UnansweredRequest {
  readonly mayHaveRun: boolean
  /** Whether a planned stop kept it from being sent. */
  readonly isStopping: boolean
  /** Whether an endpoint refused it for lack of capacity. */
  readonly isFull: boolean
  /** Why its prompt is not sent to any endpoint; undefined if it may be. */
  readonly block: BlockedPrompt | undefined
  /** Why no endpoint may be reached; undefined if one may. */
  readonly ineligibility: Ineligibility | undefined
  /** How long it takes until an endpoint wants requests again, in milliseconds; 0 if one does now. */
  readonly overloadMilliseconds: number
  /** How long it takes until the rate limits of the endpoints have a place, in milliseconds, infinite if it is not known; undefined if no limit stood in the way. */
  readonly placeMilliseconds: number | undefined
}

export class CallerResponse {
  readonly response: ServerResponse
  readonly #state: RequestState
  readonly #dependencies: Pick<ForwardingDependencies, 'codec' | 'log' | 'metrics' | 'plannedStop'>
  #isEnded = false
  #firstByteAt: number | undefined
  #relayedEvents = 0
  readonly #endpointFrames: string[] = []
  #callerFrame: ResponseFrame | undefined
  #bodyBytes = 0

  constructor (response: ServerResponse, state: RequestState, dependencies: Pick<ForwardingDependencies, 'codec' | 'log' | 'metrics' | 'plannedStop'>) {
    this.response = response
    this.#state = state
    this.#dependencies = dependencies
    response.once('close', () => this.#recordClose())
  }

  /** Converts an endpoint's response headers to those sent to the caller. */
  toCallerHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]> {
    return this.#dependencies.codec.writeResponseHeaders(headers)
  }

  /** Records the first byte sent to the caller; later calls have no effect. */
  markFirstByte (): void {
    if (this.#firstByteAt !== undefined) return
    this.#firstByteAt = this.#state.now
    this.#dependencies.metrics.firstByteSeconds.observe({ service: this.#state.service }, this.#elapsedMilliseconds / 1_000)
  }

  /** Counts events of a stream that were relayed to the caller. */
  recordEvents (count: number): void {
    this.#relayedEvents += count
  }

  /** Records how an answer that is passed on, or a run of a stream, is delimited by its endpoint and to the caller. */
  recordFrames (headers: IncomingHttpHeaders, callerFrame: ResponseFrame): void {
    const frame = frameOf(headers)
    this.#endpointFrames.push(frame === ResponseFrame.Length ? `${frame} ${headers['content-length']}` : frame)
    this.#callerFrame = callerFrame
  }

  /** Counts bytes of a body that were passed on to the caller, without their framing. */
  recordBytes (count: number): void {
    this.#bodyBytes += count
  }

  /** Ends the request with a refusal. */
  refuse (refusal: ForwardRefusal): void {
    this.#recordEnd(refusal.code, refusal.status)
    if (!this.response.headersSent && !this.#isClosed) sendRefusal(this.response, refusal, this.#dependencies.codec)
  }

  /** Refuses a request without a response from any endpoint; the refusal depends on whether it may have been executed. */
  refuseUnanswered ({ mayHaveRun, isStopping, isFull, block, ineligibility, overloadMilliseconds, placeMilliseconds }: UnansweredRequest): void {
    const { isPastDeadline } = this.#state
    if (mayHaveRun) return this.refuse(isPastDeadline ? ForwardRefusals.timedOut : ForwardRefusals.attemptLost)
    if (block !== undefined) return this.refuse(contentBlocked(block))
    if (this.#state.hasCallerLeft) return this.refuse(ForwardRefusals.callerLeft)
    if (isPastDeadline) return this.refuse(ForwardRefusals.notSentInTime)
    if (isStopping) return this.refuse(ForwardRefusals.stopping)
    if (ineligibility !== undefined) return this.refuse(unreachable(ineligibility))
    if (overloadMilliseconds > 0) return this.refuse(endpointsOverloaded(overloadMilliseconds))
    if (placeMilliseconds !== undefined) return this.refuse(endpointsLimited(placeMilliseconds))
    this.refuse(isFull ? ForwardRefusals.endpointsFull : ForwardRefusals.noEndpoint)
  }

  /**
   * Sends a buffered response. Of a short one without a frame no more is claimed than its endpoint did, unless
   * the close of the connection would cut requests that were read after it.
   */
  deliver ({ status, headers, body }: CompleteResponse): void {
    const callerHeaders = this.toCallerHeaders(headers)
    const isDelimited = isSelfDelimited(headers) || body.length > maximumSingleWriteBytes || isFollowed(this.response)
    this.recordFrames(headers, isDelimited ? ResponseFrame.Length : ResponseFrame.Close)
    this.recordBytes(body.length)
    if (isDelimited) this.response.writeHead(status, { ...callerHeaders, 'content-length': body.length }).end(body)
    else endWithoutFrame(this.response, status, callerHeaders, body)
    this.recordDelivery(status)
  }

  /** Records that the response was delivered. */
  recordDelivery (status: number): void {
    this.#dependencies.metrics.responseSeconds.observe({ service: this.#state.service }, this.#elapsedMilliseconds / 1_000)
    this.#recordEnd(answeredOutcome, status)
  }

  /** Ends the request by closing its connection, so that the response does not look complete. */
  abort (reason: string): void {
    this.#recordEnd(reason, undefined)
    breakOffResponse(this.response, CloseCause.AnswerBroken)
  }

  /** Ends the request as unfinished, unless it has ended already. */
  endUnfinished (): void {
    this.#recordEnd(unendedOutcome, undefined)
  }

  /** Whether nothing can reach the caller any more. */
  get #isClosed (): boolean {
    return this.response.destroyed || this.response.req.socket.destroyed
  }

  get #elapsedMilliseconds (): number {
    return this.#state.now - this.#state.arrivedAt
  }

  /** The kernel has not taken all of an answer that had ended, or that an endpoint was at work on. Whose caller left before is logged as such. */
  #recordClose (): void {
    const { writableEnded, writableFinished, headersSent, req } = this.response
    const cause = closeCauseOf(req.socket)
    const wasCut = this.#state.wasPassedOn && cause !== CloseCause.CallerLeft
    if (writableFinished || !(writableEnded || wasCut)) return
    const { request, route } = this.#state.logFields()
    this.#dependencies.log.warn('answer_unsent', { request, route, cause, hasBegun: headersSent, hasEnded: writableEnded, milliseconds: Math.round(this.#elapsedMilliseconds) })
  }

  /** What tells a body apart that has another length than its endpoint's. */
  #bodyFields (): LogFields {
    if (this.#callerFrame === undefined) return {}
    return { endpointFrames: this.#endpointFrames, callerFrame: this.#callerFrame, bytes: this.#bodyBytes }
  }

  /** Once a stop has cut what was left, attempts end since it closes all connections. */
  #outcomeOf (end: string): string {
    if (end === answeredOutcome) return end
    if (this.#dependencies.plannedStop.hasCut) return cutByStopOutcome
    return this.#state.hasCallerLeft ? callerLeftOutcome : end
  }

  #recordEnd (end: string, status: number | undefined): void {
    if (this.#isEnded) return
    this.#isEnded = true
    const { arrivedAt, service } = this.#state
    const outcome = this.#outcomeOf(end)
    this.#dependencies.metrics.requests.inc({ service, outcome })
    const { request, route, organisation, ...rest } = this.#state.logFields()
    this.#dependencies.log.info('request_ended', {
      request,
      route,
      organisation,
      outcome,
      status,
      milliseconds: Math.round(this.#elapsedMilliseconds),
      firstByte: this.#firstByteAt === undefined ? undefined : Math.round(this.#firstByteAt - arrivedAt),
      events: this.#relayedEvents === 0 ? undefined : this.#relayedEvents,
      ...this.#bodyFields(),
      ...rest
    })
  }
}
