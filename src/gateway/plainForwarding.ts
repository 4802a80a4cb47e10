/**
 * Forwards non-streamed requests. A short response is buffered completely before any byte is sent to
 * the caller, so a truncated response never looks complete and an idempotent request can be retried
 * at another endpoint. An at-most-once request is sent on a dedicated connection, and is retried only
 * if it was certainly not executed.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { Wait } from '../contract/index.ts'
import { DeadlineReader, type ExchangeEvent, isOverdue } from '../endpoint/index.ts'
import { AttemptEnd } from '../placement/index.ts'
import { RouteType } from '../routing/index.ts'
import { ResponseFrame, maximumHeldBytes, takesChunks } from './responseFraming.ts'
import type { CompleteResponse } from './callerResponse.ts'
import type { ForwardedRequest } from './forwardedRequest.ts'
import { GiveUpReason, recordGivenUp } from './givenUpRun.ts'
import { type OpenAttempt, NotExecutedReason, endpointEndedReason, isServerError } from './openAttempt.ts'
import { type PlannedHandover, RunHandover, silenceCheckIntervalMilliseconds } from './runHandover.ts'
import { waitForDrain } from './responseDrain.ts'
import { failureReasonOf, silentReason } from './runFailure.ts'
import { startRun } from './runStart.ts'

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
  readonly #handover: RunHandover
  #mayHaveRun = false

  constructor (request: ForwardedRequest) {
    this.#request = request
    this.#handover = new RunHandover(request)
    this.#isIdempotent = request.route.type === RouteType.Idempotent
  }

  async run (): Promise<void> {
    const request = this.#request
    let isFull = false
    let lastFailure: CompleteResponse | undefined
    for (let attempt = await this.#start(true); attempt !== undefined; attempt = this.#handover.takeNext() ?? await this.#start(lastFailure === undefined)) {
      const outcome = await this.#attempt(attempt)
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

  /** Starts an attempt at an endpoint; undefined if none is possible. */
  async #start (mayWait: boolean): Promise<OpenAttempt | undefined> {
    return await startRun(this.#request, { options: () => this.#attemptOptions, isResumed: false, mayWait })
  }

  get #attemptOptions () {
    return { model: undefined, lastEventId: undefined, usesOwnConnection: !this.#isIdempotent }
  }

  async #attempt (attempt: OpenAttempt): Promise<PlainOutcome> {
    const reader = new DeadlineReader(attempt.exchange, this.#request.dependencies.clock)
    const outcome = await this.#readResponse(attempt, reader)
    reader.close()
    const mayHaveRun = outcome.type === 'lost' || outcome.type === 'answer' || outcome.type === 'relayed'
    this.#mayHaveRun ||= mayHaveRun
    return outcome
  }

  async #readResponse (attempt: OpenAttempt, reader: DeadlineReader): Promise<PlainOutcome> {
    const request = this.#request
    const head = await this.#nextEvent(attempt, reader)
    if (head.type === 'failure') return this.#failAttempt(attempt, failureReasonOf(head))
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
    return this.#readBody(attempt, reader, head.status, head.headers)
  }

  async #readBody (attempt: OpenAttempt, reader: DeadlineReader, status: number, headers: IncomingHttpHeaders): Promise<PlainOutcome> {
    const request = this.#request
    const chunks: Buffer[] = []
    let bytes = 0
    for (;;) {
      const event = await this.#nextEvent(attempt, reader)
      if (event.type === 'failure') return this.#failAttempt(attempt, failureReasonOf(event))
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
    let isCallerLate = false
    const cancelDeadline = request.dependencies.clock.scheduleAfterInput(request.deadline - request.now, () => {
      isCallerLate = response.writableNeedDrain
    })
    for (;;) {
      const event = await attempt.exchange.next()
      if (event.type === 'data') {
        request.callerResponse.recordBytes(event.bytes.length)
        if (!response.write(event.bytes)) await request.holding.whileUnread(waitForDrain(response, request.callerAbort.signal))
        continue
      }
      cancelDeadline()
      if (event.type === 'end' && await request.attempts.isWhole(attempt, headers)) {
        request.attempts.recordAnswer(attempt, headers)
        request.attempts.finish(attempt, AttemptEnd.Answered, String(status))
        response.end()
        request.callerResponse.recordDelivery(status)
      } else {
        if (isOverdue(event)) recordGivenUp(request, attempt, GiveUpReason.Deadline)
        attempt.exchange.abort('response broke off')
        request.attempts.finish(attempt, isCallerLate ? AttemptEnd.Cancelled : this.#endOfBrokenRelay(attempt, event), 'broke off')
        request.callerResponse.abort('answer_broke_off')
      }
      return { type: 'relayed' }
    }
  }

  #endOfBrokenRelay (attempt: OpenAttempt, event: ExchangeEvent): AttemptEnd {
    const end = this.#request.attempts.endWithoutResponse(attempt, isOverdue(event))
    return end === AttemptEnd.Failed ? AttemptEnd.Lost : end
  }

  /** Returns the next event. A silent idempotent run may be given up meanwhile. */
  async #nextEvent (attempt: OpenAttempt, reader: DeadlineReader): Promise<ExchangeEvent> {
    const request = this.#request
    const { dependencies: { clock }, route } = request
    const allowedMilliseconds = this.#isIdempotent ? route.latencyTargetMilliseconds * silenceTargetShare : Number.POSITIVE_INFINITY
    const wait = new Wait(clock)
    for (let lookMilliseconds = allowedMilliseconds; ;) {
      const event = await reader.next(request.now + Math.ceil(lookMilliseconds))
      if (event !== undefined) {
        this.#handover.cancel()
        return event
      }
      const millisecondsLeft = allowedMilliseconds - wait.heardMilliseconds
      const arrived = millisecondsLeft > 0 ? undefined : await this.#handover.beginUnlessReceived(this.#plannedHandover(attempt))
      if (arrived !== undefined) return arrived
      lookMilliseconds = millisecondsLeft > 0 ? millisecondsLeft : silenceCheckIntervalMilliseconds
    }
  }

  #plannedHandover (attempt: OpenAttempt): PlannedHandover {
    return {
      present: attempt,
      next: { ...this.#attemptOptions, usesOwnConnection: true },
      isResumed: false,
      endsWithOutput: true,
      closePresent: nextEndpoint => this.#request.attempts.giveUpSilent(attempt, silentReason, nextEndpoint)
    }
  }

  #failAttempt (attempt: OpenAttempt, reason: string): PlainOutcome {
    this.#request.holding.trySetAnswer(0)
    if (this.#handover.hasReplaced(attempt)) return { type: 'lost' }
    const request = this.#request
    const isSilent = reason === silentReason
    if (isSilent) recordGivenUp(request, attempt, GiveUpReason.Deadline)
    const end = request.attempts.endWithoutResponse(attempt, isSilent)
    attempt.exchange.abort(reason)
    request.attempts.finishBroken(attempt, end, reason)
    return { type: attempt.exchange.mayHaveSent ? 'lost' : 'unsent' }
  }

  /** Rejects a response to another request; nothing on this connection can be trusted any more. */
  #rejectForeignResponse (attempt: OpenAttempt, responseOwner: string | undefined): PlainOutcome {
    attempt.exchange.abort('response belongs to another request')
    this.#request.attempts.finish(attempt, AttemptEnd.Cancelled, `response to another attempt: ${responseOwner ?? 'unnamed'}`)
    return { type: 'lost' }
  }
}
