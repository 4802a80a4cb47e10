/**
 * Forwards a request whose answer is short. The answer is taken whole before a byte of it is
 * released, so one that breaks off never looks complete and an idempotent request can be tried
 * elsewhere. A request that may run only once is sent once, on a connection of its own; it is sent
 * again only where it certainly did not run.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { within } from '../contract/index.ts'
import { AttemptEnd } from '../placement/index.ts'
import { RouteType, type RoutedEndpoint } from '../routing/index.ts'
import { delimitByConnectionClose, isSelfDelimited } from './responseFraming.ts'
import type { CompleteResponse } from './callerResponse.ts'
import { type ForwardedRequest, type OpenAttempt, NotExecutedReason } from './forwardedRequest.ts'

/** Beyond this an answer is passed on as it comes. */
const maximumBufferedBytes = 256 * 1024
/** An idempotent attempt may be silent for this share of the objective before another is tried. */
const silenceTargetShare = 0.9

/** How one attempt ended. */
type PlainOutcome =
  | { readonly type: 'answer' } & CompleteResponse
  /** It was passed on while it came. */
  | { readonly type: 'relayed' }
  /** It certainly did not run. */
  | { readonly type: 'not_run', readonly reason: NotExecutedReason }
  | { readonly type: 'unsent' }
  /** It may have run. */
  | { readonly type: 'lost' }

/** Forwards one request. */
export class PlainForwarding {
  readonly #request: ForwardedRequest
  readonly #isIdempotent: boolean
  #mayHaveRun = false

  constructor (request: ForwardedRequest) {
    this.#request = request
    this.#isIdempotent = request.route.type === RouteType.Idempotent
  }

  async run (): Promise<void> {
    const request = this.#request
    let isFull = false
    let lastFailure: CompleteResponse | undefined
    while (!request.hasCallerLeft && request.now < request.deadline && request.attemptsLeft > 0) {
      if (request.sentAttempts > 0 && !request.dependencies.retryBudget.tryConsume(request.service, request.now)) break
      const endpoint = request.chooseEndpoint(undefined)
      if (endpoint === undefined) break
      const outcome = await this.#attempt(endpoint)
      if (outcome.type === 'relayed') return
      if (outcome.type === 'answer') {
        lastFailure = outcome
        if (!request.isServerError(outcome.status) || !this.#isIdempotent) return this.#deliver(outcome)
      }
      if (outcome.type === 'not_run' && outcome.reason === NotExecutedReason.Refused) isFull = true
      if (outcome.type === 'lost' && !this.#isIdempotent) break
    }
    if (lastFailure !== undefined) return this.#deliver(lastFailure)
    request.callerResponse.refuseUnanswered({ mayHaveRun: this.#mayHaveRun, isFull })
  }

  #deliver (answer: CompleteResponse): void {
    this.#request.callerResponse.markFirstByte()
    this.#request.callerResponse.deliver(answer)
  }

  async #attempt (endpoint: RoutedEndpoint): Promise<PlainOutcome> {
    const attempt = this.#request.send(endpoint, { model: undefined, lastEventId: undefined, usesOwnConnection: !this.#isIdempotent })
    const outcome = await this.#readResponse(attempt)
    const mayHaveRun = outcome.type === 'lost' || outcome.type === 'answer' || outcome.type === 'relayed'
    this.#mayHaveRun ||= mayHaveRun
    return outcome
  }

  async #readResponse (attempt: OpenAttempt): Promise<PlainOutcome> {
    const request = this.#request
    const head = await this.#nextEvent(attempt)
    if (head === undefined || head.type === 'failure') return this.#failAttempt(attempt, head?.reason)
    if (head.type !== 'head') return this.#failAttempt(attempt, 'an answer without a head')
    const responseHead = request.dependencies.codec.readResponseHead(head.headers)
    if (!request.isOwnResponse(responseHead)) return this.#rejectForeignResponse(attempt, responseHead.attemptId)
    const notExecutedReason = request.finishIfNotExecuted(attempt, head.status, responseHead)
    if (notExecutedReason !== undefined) return { type: 'not_run', reason: notExecutedReason }
    if (!responseHead.isSealed || responseHead.isEncoded) return this.#rejectForeignResponse(attempt, 'unsealed')
    attempt.tracker.recordBytes(request.now)
    return this.#readBody(attempt, head.status, head.headers)
  }

  async #readBody (attempt: OpenAttempt, status: number, headers: IncomingHttpHeaders): Promise<PlainOutcome> {
    const request = this.#request
    const chunks: Buffer[] = []
    let bytes = 0
    for (;;) {
      const event = await this.#nextEvent(attempt)
      if (event === undefined || event.type === 'failure') return this.#failAttempt(attempt, event?.reason)
      if (event.type === 'end') break
      if (event.type !== 'data') continue
      chunks.push(event.bytes)
      bytes += event.bytes.length
      if (bytes > maximumBufferedBytes) return this.#relay(attempt, status, headers, chunks)
    }
    const isFailed = request.isServerError(status)
    request.recordResponse(attempt, isFailed)
    attempt.tracker.recordResponseStart(request.now)
    request.finishAttempt(attempt, isFailed ? AttemptEnd.Failed : AttemptEnd.Answered, String(status))
    return { type: 'answer', status, headers, body: Buffer.concat(chunks) }
  }

  /** Passes a long answer on as it comes; one that breaks off cuts the caller's connection. */
  async #relay (attempt: OpenAttempt, status: number, headers: IncomingHttpHeaders, buffered: readonly Buffer[]): Promise<PlainOutcome> {
    const request = this.#request
    const { response } = request.callerResponse
    request.callerResponse.markFirstByte()
    if (!isSelfDelimited(headers)) delimitByConnectionClose(response)
    response.writeHead(status, request.callerResponse.toCallerHeaders(headers))
    for (const chunk of buffered) response.write(chunk)
    for (;;) {
      const event = await within(request.dependencies.clock, request.deadline, attempt.exchange.next())
      if (event?.type === 'data') {
        if (!response.write(event.bytes)) await waitForDrain(response, request.callerAbort.signal)
        continue
      }
      if (event?.type === 'end') {
        request.finishAttempt(attempt, AttemptEnd.Answered, String(status))
        response.end()
        request.callerResponse.recordDelivery(status)
      } else {
        attempt.exchange.abort('the answer broke off')
        request.finishAttempt(attempt, AttemptEnd.Lost, 'broke off')
        request.callerResponse.abort('answer_broke_off')
      }
      return { type: 'relayed' }
    }
  }

  /** The next event; undefined where the attempt was silent for too long. */
  #nextEvent (attempt: OpenAttempt) {
    const { clock } = this.#request.dependencies
    const { deadline: limit, route } = this.#request
    const silenceDeadline = this.#isIdempotent && this.#request.attemptsLeft > 1 ? clock.now() + route.latencyTargetMilliseconds * silenceTargetShare : limit
    return within(clock, Math.min(limit, silenceDeadline), attempt.exchange.next())
  }

  /** @param reason undefined where the attempt was silent for too long */
  #failAttempt (attempt: OpenAttempt, reason: string | undefined): PlainOutcome {
    const request = this.#request
    const end = request.attemptEndWithoutResponse(attempt, reason === undefined)
    attempt.exchange.abort(reason ?? 'silent')
    const wasSent = attempt.exchange.mayHaveSent
    request.finishAttempt(attempt, end, `${wasSent ? 'lost' : 'unsent'}: ${reason ?? 'silent'}`)
    return { type: wasSent ? 'lost' : 'unsent' }
  }

  /** An answer that is another's: nothing on this connection can be trusted. */
  #rejectForeignResponse (attempt: OpenAttempt, responseOwner: string | undefined): PlainOutcome {
    attempt.exchange.abort('an answer to another request')
    this.#request.finishAttempt(attempt, AttemptEnd.Cancelled, `foreign answer: ${responseOwner ?? 'unnamed'}`)
    return { type: 'lost' }
  }
}

/** Waits until a response takes more, or its caller has left. */
export function waitForDrain (response: NodeJS.WritableStream, left: AbortSignal): Promise<void> {
  if (left.aborted) return Promise.resolve()
  return new Promise(resolve => {
    const done = () => {
      response.removeListener('drain', done)
      left.removeEventListener('abort', done)
      resolve()
    }
    response.once('drain', done)
    left.addEventListener('abort', done, { once: true })
  })
}
