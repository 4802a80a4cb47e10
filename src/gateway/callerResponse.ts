/**
 * What one caller is given: a whole answer, the head of a stream, a refusal or a cut connection.
 * However it ends, one line is logged with all that decided it.
 */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { delimitByConnectionClose, isSelfDelimited } from './responseFraming.ts'
import type { LogFields } from '../observe/index.ts'
import type { ForwardingDependencies } from './forwarding.ts'
import { type ForwardRefusal, ForwardRefusals, sendRefusal } from './forwardRefusal.ts'

const answeredOutcome = 'answered'
const callerLeftOutcome = 'caller_left'
const unendedOutcome = 'unended'

/** An endpoint's answer, whole. */
export interface CompleteResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** What is known of a request when its answer ends. */
export interface RequestState {
  readonly service: string
  /** Milliseconds of the process's clock. */
  readonly arrivedAt: number
  readonly now: number
  readonly hasCallerLeft: boolean
  readonly isPastDeadline: boolean
  /** What the line in the log says of it besides its end. */
  logFields (): LogFields
}

/** The answer to one caller. */
export class CallerResponse {
  readonly response: ServerResponse
  readonly #state: RequestState
  readonly #dependencies: Pick<ForwardingDependencies, 'codec' | 'log' | 'metrics'>
  #isEnded = false
  #firstByteAt: number | undefined

  constructor (response: ServerResponse, state: RequestState, dependencies: Pick<ForwardingDependencies, 'codec' | 'log' | 'metrics'>) {
    this.response = response
    this.#state = state
    this.#dependencies = dependencies
  }

  /** An endpoint's headers as the caller gets them. */
  toCallerHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]> {
    return this.#dependencies.codec.writeResponseHeaders(headers)
  }

  /** Marks that the caller is being given an answer. */
  markFirstByte (): void {
    if (this.#firstByteAt !== undefined) return
    this.#firstByteAt = this.#state.now
    this.#dependencies.metrics.firstByteSeconds.observe({ service: this.#state.service }, this.#elapsedMilliseconds / 1_000)
  }

  /** Ends the request with a refusal. */
  refuse (refusal: ForwardRefusal): void {
    this.#recordEnd(refusal.code, refusal.status)
    if (!this.#state.hasCallerLeft && !this.response.headersSent) sendRefusal(this.response, refusal, this.#dependencies.codec)
  }

  /** Ends a request to which no endpoint has given an answer, by what may have become of it. */
  refuseUnanswered ({ mayHaveRun, isFull }: { readonly mayHaveRun: boolean, readonly isFull: boolean }): void {
    const { isPastDeadline: isOver } = this.#state
    if (mayHaveRun) return this.refuse(isOver ? ForwardRefusals.timedOut : ForwardRefusals.attemptLost)
    if (isOver) return this.refuse(ForwardRefusals.notSentInTime)
    this.refuse(isFull ? ForwardRefusals.endpointsFull : ForwardRefusals.noEndpoint)
  }

  /** Delivers an answer that is here whole; one without a frame is not given one. */
  deliver ({ status, headers, body }: CompleteResponse): void {
    const length = isSelfDelimited(headers) ? { 'content-length': body.length } : {}
    if (!isSelfDelimited(headers)) delimitByConnectionClose(this.response)
    this.response.writeHead(status, { ...this.toCallerHeaders(headers), ...length })
    this.response.end(body)
    this.recordDelivery(status)
  }

  /** Notes that the answer was delivered. */
  recordDelivery (status: number): void {
    this.#dependencies.metrics.responseSeconds.observe({ service: this.#state.service }, this.#elapsedMilliseconds / 1_000)
    this.#recordEnd(answeredOutcome, status)
  }

  /** Ends the request by cutting its connection: its answer must not look whole. */
  abort (reason: string): void {
    this.#recordEnd(reason, undefined)
    this.response.destroy()
  }

  /** Lets go of the caller's connection. */
  endUnfinished (): void {
    this.#recordEnd(unendedOutcome, undefined)
  }

  get #elapsedMilliseconds (): number {
    return this.#state.now - this.#state.arrivedAt
  }

  #recordEnd (end: string, status: number | undefined): void {
    if (this.#isEnded) return
    this.#isEnded = true
    const { arrivedAt, hasCallerLeft: hasLeft, service } = this.#state
    const outcome = hasLeft && end !== answeredOutcome ? callerLeftOutcome : end
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
      ...rest
    })
  }
}
