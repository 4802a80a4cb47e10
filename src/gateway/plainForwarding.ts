/**
 * Forwards non-streamed requests. A short response is buffered completely before any byte is sent to
 * the caller, so a truncated response never looks complete and an idempotent request can be retried
 * at another endpoint. An at-most-once request is sent on a dedicated connection, and is retried only
 * if it was certainly not executed.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { withDeadline } from '../contract/index.ts'
import { AttemptEnd } from '../placement/index.ts'
import { RouteType, type RoutedEndpoint } from '../routing/index.ts'
import { ResponseFrame, maximumHeldBytes, takesChunks } from './responseFraming.ts'
import type { CompleteResponse } from './callerResponse.ts'
import type { ForwardedRequest } from './forwardedRequest.ts'
import { type OpenAttempt, NotExecutedReason, endpointEndedReason, isServerError } from './openAttempt.ts'

/** Responses larger than this are relayed as they arrive. */
const maximumBufferedBytes = 256 * 1024
/** Share of the latency target for which an idempotent attempt may be silent before another endpoint is tried. */
const silenceTargetShare = 0.9

/** Outcome of one attempt. */
type PlainOutcome =
  | { readonly type: 'answer' } & CompleteResponse
  /** The response was relayed to the caller as it arrived. */
  | { readonly type: 'relayed' }
  /** The request was certainly not executed. */
  | { readonly type: 'not_run', readonly reason: NotExecutedReason }
  | { readonly type: 'unsent' }
  /** The request may have been executed. */
  | { readonly type: 'lost' }

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
    while (request.attempts.tryStart()) {
      const endpoint = await request.selection.awaitEndpoint(undefined)
      if (endpoint === undefined) break
      const outcome = await this.#attempt(endpoint)
      if (outcome.type === 'relayed') return
      if (outcome.type === 'answer') {
        lastFailure = outcome
        if (!isServerError(outcome.status) || !this.#isIdempotent) return this.#deliver(outcome)
      }
      if (outcome.type === 'not_run' && outcome.reason === NotExecutedReason.Refused) isFull = true
      if (outcome.type === 'lost' && !this.#isIdempotent) break
    }
    if (lastFailure !== undefined) return this.#deliver(lastFailure)
    request.refuseUnanswered(this.#mayHaveRun, isFull)
  }

  #deliver (answer: CompleteResponse): void {
    this.#request.callerResponse.markFirstByte()
    this.#request.callerResponse.deliver(answer)
  }

  async #attempt (endpoint: RoutedEndpoint): Promise<PlainOutcome> {
    const attempt = this.#request.attempts.send(endpoint, { model: undefined, lastEventId: undefined, usesOwnConnection: !this.#isIdempotent })
    const outcome = await this.#readResponse(attempt)
    const mayHaveRun = outcome.type === 'lost' || outcome.type === 'answer' || outcome.type === 'relayed'
    this.#mayHaveRun ||= mayHaveRun
    return outcome
  }

  async #readResponse (attempt: OpenAttempt): Promise<PlainOutcome> {
    const request = this.#request
    const head = await this.#nextEvent(attempt)
    if (head === undefined || head.type === 'failure') return this.#failAttempt(attempt, head?.reason)
    if (head.type !== 'head') return this.#failAttempt(attempt, 'body data before the response headers')
    const responseHead = request.dependencies.codec.readResponseHead(head.headers)
    if (!request.isOwnResponse(responseHead)) return this.#rejectForeignResponse(attempt, responseHead.attemptId)
    request.attempts.recordAnnouncements(attempt, head.status, responseHead)
    const notExecutedReason = request.attempts.finishIfNotExecuted(attempt, head.status, responseHead)
    if (notExecutedReason !== undefined) return { type: 'not_run', reason: notExecutedReason }
    if (!responseHead.isSealed || responseHead.isEncoded) return this.#rejectForeignResponse(attempt, 'unsealed')
    if (request.attempts.finishIfFalselyPromised(attempt, head.status)) return { type: 'lost' }
    attempt.tracker.recordBytes(request.now)
    attempt.run.recordOutput(request.now)
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
      const hasRoom = request.holding.trySetAnswer(bytes)
      if ((bytes > maximumBufferedBytes || !hasRoom) && this.#canRelay(headers)) return this.#relay(attempt, status, headers, chunks)
      if (!hasRoom || bytes > maximumHeldBytes) return this.#failAttempt(attempt, 'response too large to be held for an HTTP/1.0 caller')
    }
    if (!(await request.attempts.isWhole(attempt, headers))) return this.#failAttempt(attempt, endpointEndedReason)
    const isFailed = isServerError(status)
    if (isFailed) request.attempts.recordFailure(attempt)
    else request.attempts.recordAnswer(attempt, headers)
    attempt.tracker.recordResponseStart(request.now)
    request.attempts.finish(attempt, isFailed ? AttemptEnd.Failed : AttemptEnd.Answered, String(status))
    return { type: 'answer', status, headers, body: Buffer.concat(chunks) }
  }

  /** Whether the caller can tell a response that breaks off from a complete one. */
  #canRelay (headers: IncomingHttpHeaders): boolean {
    return headers['content-length'] !== undefined || takesChunks(this.#request.callerResponse.response)
  }

  /** Relays a long response as it arrives; if it breaks off, the caller's connection is closed. */
  async #relay (attempt: OpenAttempt, status: number, headers: IncomingHttpHeaders, buffered: readonly Buffer[]): Promise<PlainOutcome> {
    const request = this.#request
    const { response } = request.callerResponse
    request.callerResponse.markFirstByte()
    const { 'content-length': length } = headers
    response.writeHead(status, { ...request.callerResponse.toCallerHeaders(headers), ...(length === undefined ? {} : { 'content-length': length }) })
    request.callerResponse.recordFrames(headers, length === undefined ? ResponseFrame.Chunks : ResponseFrame.Length)
    for (const chunk of buffered) {
      request.callerResponse.recordBytes(chunk.length)
      response.write(chunk)
    }
    request.holding.trySetAnswer(0)
    for (;;) {
      const event = await withDeadline(request.dependencies.clock, request.deadline, attempt.exchange.next())
      if (event?.type === 'data') {
        request.callerResponse.recordBytes(event.bytes.length)
        if (!response.write(event.bytes)) await request.holding.whileUnread(waitForDrain(response, request.callerAbort.signal))
        continue
      }
      if (event?.type === 'end' && await request.attempts.isWhole(attempt, headers)) {
        request.attempts.recordAnswer(attempt, headers)
        request.attempts.finish(attempt, AttemptEnd.Answered, String(status))
        response.end()
        request.callerResponse.recordDelivery(status)
      } else {
        attempt.exchange.abort('response broke off')
        request.attempts.finish(attempt, AttemptEnd.Lost, 'broke off')
        request.callerResponse.abort('answer_broke_off')
      }
      return { type: 'relayed' }
    }
  }

  /** Returns the next event; undefined if the attempt was silent for too long. */
  #nextEvent (attempt: OpenAttempt) {
    const { clock } = this.#request.dependencies
    const { deadline, route } = this.#request
    const silenceDeadline = this.#isIdempotent && this.#request.attempts.left > 1 ? clock.now() + route.latencyTargetMilliseconds * silenceTargetShare : deadline
    return withDeadline(clock, Math.min(deadline, silenceDeadline), attempt.exchange.next())
  }

  /** @param reason undefined if the attempt was silent for too long */
  #failAttempt (attempt: OpenAttempt, reason: string | undefined): PlainOutcome {
    const request = this.#request
    const end = request.attempts.endWithoutResponse(attempt, reason === undefined)
    attempt.exchange.abort(reason ?? 'silent')
    request.attempts.finishBroken(attempt, end, reason ?? 'silent')
    return { type: attempt.exchange.mayHaveSent ? 'lost' : 'unsent' }
  }

  /** Rejects a response to another request; nothing on this connection can be trusted any more. */
  #rejectForeignResponse (attempt: OpenAttempt, responseOwner: string | undefined): PlainOutcome {
    attempt.exchange.abort('response belongs to another request')
    this.#request.attempts.finish(attempt, AttemptEnd.Cancelled, `response to another attempt: ${responseOwner ?? 'unnamed'}`)
    return { type: 'lost' }
  }
}

/** Resolves when the response can accept more data or the caller has disconnected. */
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
