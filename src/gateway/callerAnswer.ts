/**
 * What one caller is given: a whole answer, the head of a stream, a refusal or a cut connection.
 * However it ends, one line is logged with all that decided it.
 */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { endWithConnection, isFramed } from './answerFraming.ts'
import type { LogFields } from '../observe/index.ts'
import type { ForwardingParts } from './forwarding.ts'
import { type ForwardRefusal, ForwardRefusals, sendRefusal } from './forwardRefusal.ts'

const answeredOutcome = 'answered'
const leftOutcome = 'caller_left'
const unendedOutcome = 'unended'

/** An endpoint's answer, whole. */
export interface WholeAnswer {
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
  readonly hasLeft: boolean
  readonly isOver: boolean
  /** What the line in the log says of it besides its end. */
  describe (): LogFields
}

/** The answer to one caller. */
export class CallerAnswer {
  readonly response: ServerResponse
  readonly #state: RequestState
  readonly #parts: Pick<ForwardingParts, 'codec' | 'log' | 'metrics'>
  #isEnded = false
  #firstByteAt: number | undefined

  constructor (response: ServerResponse, state: RequestState, parts: Pick<ForwardingParts, 'codec' | 'log' | 'metrics'>) {
    this.response = response
    this.#state = state
    this.#parts = parts
  }

  /** An endpoint's headers as the caller gets them. */
  headers (headers: IncomingHttpHeaders): Record<string, string | string[]> {
    return this.#parts.codec.writeAnswer(headers)
  }

  /** Marks that the caller is being given an answer. */
  markFirstByte (): void {
    if (this.#firstByteAt !== undefined) return
    this.#firstByteAt = this.#state.now
    this.#parts.metrics.firstByte.observe({ service: this.#state.service }, this.#elapsed / 1_000)
  }

  /** Ends the request with a refusal. */
  refuse (refusal: ForwardRefusal): void {
    this.#end(refusal.code, refusal.status)
    if (!this.#state.hasLeft && !this.response.headersSent) sendRefusal(this.response, refusal, this.#parts.codec)
  }

  /** Ends a request to which no endpoint has given an answer, by what may have become of it. */
  giveUp ({ mayHaveRun, isFull }: { readonly mayHaveRun: boolean, readonly isFull: boolean }): void {
    const { isOver } = this.#state
    if (mayHaveRun) return this.refuse(isOver ? ForwardRefusals.timedOut : ForwardRefusals.attemptLost)
    if (isOver) return this.refuse(ForwardRefusals.tooLate)
    this.refuse(isFull ? ForwardRefusals.endpointsFull : ForwardRefusals.noEndpoint)
  }

  /** Delivers an answer that is here whole; one without a frame is not given one. */
  deliver ({ status, headers, body }: WholeAnswer): void {
    const length = isFramed(headers) ? { 'content-length': body.length } : {}
    if (!isFramed(headers)) endWithConnection(this.response)
    this.response.writeHead(status, { ...this.headers(headers), ...length })
    this.response.end(body)
    this.delivered(status)
  }

  /** Notes that the answer was delivered. */
  delivered (status: number): void {
    this.#parts.metrics.whole.observe({ service: this.#state.service }, this.#elapsed / 1_000)
    this.#end(answeredOutcome, status)
  }

  /** Ends the request by cutting its connection: its answer must not look whole. */
  cut (reason: string): void {
    this.#end(reason, undefined)
    this.response.destroy()
  }

  /** Lets go of the caller's connection. */
  close (): void {
    this.#end(unendedOutcome, undefined)
  }

  get #elapsed (): number {
    return this.#state.now - this.#state.arrivedAt
  }

  #end (end: string, status: number | undefined): void {
    if (this.#isEnded) return
    this.#isEnded = true
    const { arrivedAt, hasLeft, service } = this.#state
    const outcome = hasLeft && end !== answeredOutcome ? leftOutcome : end
    this.#parts.metrics.requests.inc({ service, outcome })
    const { request, route, organisation, ...rest } = this.#state.describe()
    this.#parts.log.info('request_ended', {
      request,
      route,
      organisation,
      outcome,
      status,
      milliseconds: Math.round(this.#elapsed),
      firstByte: this.#firstByteAt === undefined ? undefined : Math.round(this.#firstByteAt - arrivedAt),
      ...rest
    })
  }
}
