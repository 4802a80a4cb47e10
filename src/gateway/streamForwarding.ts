/**
 * Forwards requests whose response is a stream of events. Only complete events are relayed, as they
 * arrive. If a run breaks off or falls silent, another run resumes after the last complete event that
 * the caller received, on the same caller connection. Before anything was sent to the caller, a
 * response in which its model has low confidence is discarded in favour of a larger model's.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { Wait } from '../contract/index.ts'
import { DeadlineReader, type ExchangeEvent, isOverdue } from '../endpoint/index.ts'
import { AttemptEnd, millisecondsToAbandonment } from '../placement/index.ts'
import { ResponseFrame, maximumHeldBytes, takesChunks } from './responseFraming.ts'
import type { CompleteResponse } from './callerResponse.ts'
import { EventSplitter } from './eventSplitter.ts'
import { EventStreamResponse } from './eventStreamResponse.ts'
import type { ForwardedRequest } from './forwardedRequest.ts'
import { GiveUpReason, recordGivenUp } from './givenUpRun.ts'
import { ModelChoice } from './modelChoice.ts'
import { type OpenAttempt, NotExecutedReason, endpointEndedReason, isServerError } from './openAttempt.ts'
import type { RoutedEndpoint } from '../routing/index.ts'
import { failureReasonOf, silentReason } from './runFailure.ts'
import { RunBounds } from './runBounds.ts'
import { type PlannedHandover, RunHandover, silenceCheckIntervalMilliseconds } from './runHandover.ts'
import { waitForDrain } from './responseDrain.ts'
import { RunOutcome } from './runOutcome.ts'
import { startRun } from './runStart.ts'
import { silenceOf } from './streamSilence.ts'

const successStatus = 200
/** A longer event is taken for bytes without end. */
const maximumEventBytes = 1024 * 1024
/** Largest error body that is relayed to the caller. */
const maximumFailureBodyBytes = 64 * 1024
/** Says nothing of the endpoint, since others may hold the memory. */
const noMemoryReason = 'no memory is left to hold what has arrived'
/** Share of the route's maximum event gap within which an endpoint is to show that it is alive. */
const livenessGapShare = 0.3

export class StreamForwarding {
  readonly #request: ForwardedRequest
  readonly #events: EventStreamResponse
  readonly #choice: ModelChoice
  readonly #handover: RunHandover
  /** ID of the last event that was passed on; undefined before. */
  #lastRelayedId: string | undefined
  #hasResponseStarted = false
  #mayHaveRun = false
  #failedResponse: CompleteResponse | undefined

  constructor (request: ForwardedRequest) {
    this.#request = request
    this.#events = new EventStreamResponse(request.callerResponse.response)
    this.#choice = new ModelChoice(request)
    this.#handover = new RunHandover(request)
  }

  async run (): Promise<void> {
    const request = this.#request
    let isFull = false
    for (let attempt = await this.#start(); attempt !== undefined; attempt = this.#handover.takeNext() ?? await this.#start()) {
      this.#choice.recordRunStart(attempt.model)
      const reader = new DeadlineReader(attempt.exchange, request.dependencies.clock)
      const outcome = await this.#readResponse(attempt, reader)
      reader.close()
      this.#choice.recordRunEnd()
      if (outcome === RunOutcome.Done) return
      if (outcome === RunOutcome.NotExecuted) {
        isFull = true
        this.#choice.recordRefusal()
      }
      if (outcome === RunOutcome.Broken || outcome === RunOutcome.Failed || outcome === RunOutcome.Discarded) this.#mayHaveRun = true
      if (this.#mayHaveRun && !request.route.isResumable) break
    }
    this.#endUnanswered(isFull)
  }

  /** ID of the last event that the caller has received. */
  get #lastEventId (): string | undefined {
    return this.#lastRelayedId ?? this.#request.head.lastEventId
  }

  /** Starts a run at an endpoint; undefined if none is possible. */
  async #start (): Promise<OpenAttempt | undefined> {
    return await startRun(this.#request, {
      options: () => this.#attemptOptions(this.#choice.modelInTime),
      isResumed: this.#hasResponseStarted,
      mayWait: this.#hasResponseStarted || this.#failedResponse === undefined
    })
  }

  #attemptOptions (model: string | undefined) {
    // On a kept connection an earlier refusal, written once more, could be taken for that of a repeated request.
    return { model, lastEventId: this.#lastEventId, usesOwnConnection: !this.#request.route.isResumable }
  }

  #endUnanswered (isFull: boolean): void {
    const request = this.#request
    this.#choice.recordAnswerEnd(false)
    if (request.callerResponse.response.headersSent) return request.callerResponse.abort(request.isPastDeadline ? 'timed_out' : 'stream_lost')
    if (this.#failedResponse !== undefined) return request.callerResponse.deliver(this.#failedResponse)
    request.refuseUnanswered(this.#mayHaveRun, isFull)
  }

  async #readResponse (attempt: OpenAttempt, reader: DeadlineReader): Promise<RunOutcome> {
    const request = this.#request
    const head = await this.#nextEvent(attempt, reader, false)
    if (isOverdue(head) || this.#handover.hasReplaced(attempt)) this.#choice.recordWaitEnd()
    if (head.type !== 'head') return this.#failRun(attempt, failureReasonOf(head))
    const responseHead = request.dependencies.codec.readResponseHead(head.headers)
    if (!request.isOwnResponse(responseHead)) return this.#failRun(attempt, `response to another attempt: ${responseHead.attemptId ?? 'unnamed'}`, AttemptEnd.Cancelled)
    request.attempts.recordAnnouncements(attempt, head.status, responseHead)
    const notExecutedReason = request.attempts.finishIfNotExecuted(attempt, head.status, responseHead)
    if (notExecutedReason !== undefined) return notExecutedReason === NotExecutedReason.Misdirected ? RunOutcome.Unsent : RunOutcome.NotExecuted
    if (!responseHead.isSealed || responseHead.isEncoded) return this.#failRun(attempt, 'unsealed', AttemptEnd.Cancelled)
    if (request.attempts.finishIfFalselyPromised(attempt, head.status)) return RunOutcome.Failed
    attempt.tracker.recordBytes(request.now)
    attempt.run.recordOutput(request.now)
    if (head.status !== successStatus) return this.#readFailure(attempt, reader, head.status, head.headers)
    this.#choice.recordWaitEnd()
    const isTrusted = this.#choice.isTrusted(responseHead.confidence, this.#hasResponseStarted)
    if (!isTrusted && await this.#isReplacedByLargerModel(attempt, responseHead.confidence)) return RunOutcome.Discarded
    return this.#relay(attempt, reader, head.headers)
  }

  /** Begins a larger model's run, and waits until it is written in the place of the present one or can't be. */
  async #isReplacedByLargerModel (attempt: OpenAttempt, confidence: number | undefined): Promise<boolean> {
    const { selection } = this.#request
    const model = this.#choice.largerInTime
    if (model === undefined) return false
    const planned: PlannedHandover = {
      present: attempt,
      next: this.#attemptOptions(model),
      isResumed: false,
      endsWithOutput: false,
      closePresent: nextEndpoint => this.#discard(attempt, confidence, nextEndpoint)
    }
    selection.allowRetryAt(attempt.endpoint)
    if (this.#handover.tryBegin(planned)) await this.#handover.untilDecided()
    const isReplaced = this.#handover.hasReplaced(attempt)
    if (!isReplaced) selection.markTried(attempt.endpoint)
    return isReplaced
  }

  #discard (attempt: OpenAttempt, confidence: number | undefined, nextEndpoint: RoutedEndpoint): void {
    const request = this.#request
    attempt.evidence?.recordBegin(request.now)
    recordGivenUp(request, attempt, GiveUpReason.LargerModel, nextEndpoint)
    attempt.exchange.abort('discarded in favour of a larger model')
    request.attempts.finish(attempt, AttemptEnd.Answered, `dropped at confidence ${confidence}`)
    request.dependencies.metrics.escalations.inc({ service: request.service })
  }

  async #relay (attempt: OpenAttempt, reader: DeadlineReader, headers: IncomingHttpHeaders): Promise<RunOutcome> {
    const request = this.#request
    const splitter = new EventSplitter()
    // After which event a caller resumes is its own statement, and nothing against an endpoint.
    const bounds = new RunBounds(request.head, this.#lastRelayedId)
    request.callerResponse.recordFrames(headers, takesChunks(request.callerResponse.response) ? ResponseFrame.Chunks : ResponseFrame.Length)
    let hasRunStarted = false
    for (const wait = new Wait(request.dependencies.clock); ;) {
      const event = await this.#nextEvent(attempt, reader, hasRunStarted)
      if (event.type === 'end' && splitter.pendingBytes === 0) return await this.#finishResponse(attempt, headers)
      if (hasRunStarted && (isOverdue(event) || this.#handover.hasReplaced(attempt))) this.#choice.recordEvents(0, wait.heardMilliseconds)
      if (event.type !== 'data') return this.#failRun(attempt, failureReasonOf(event))
      const events = splitter.push(event.bytes)
      if (splitter.pendingBytes > maximumEventBytes) return this.#failRun(attempt, 'event too large')
      if (!request.holding.trySetAnswer(splitter.pendingBytes + this.#events.heldBytes)) return this.#failRun(attempt, noMemoryReason, AttemptEnd.Cancelled)
      if (events === undefined) continue
      const fault = bounds.faultOf(events)
      if (fault !== undefined) return this.#rejectRun(attempt, fault)
      const now = request.now
      if (hasRunStarted) this.#recordEvents(attempt, events.count, wait.heardMilliseconds)
      else this.#recordResponseStart(attempt, events.count)
      hasRunStarted = true
      attempt.tracker.recordBytes(now)
      attempt.run.recordOutput(now)
      request.sendWindow.recordStreamStart(attempt.startedAt)
      this.#startResponse(headers)
      this.#lastRelayedId = events.ids.at(-1) ?? this.#lastRelayedId
      request.callerResponse.recordEvents(events.count)
      request.callerResponse.recordBytes(events.text.length)
      const isTaken = this.#events.write(events.text)
      if (this.#events.heldBytes > maximumHeldBytes) return this.#failRun(attempt, 'stream too large to be held for an HTTP/1.0 caller')
      if (!isTaken) await request.holding.whileUnread(waitForDrain(request.callerResponse.response, request.callerAbort.signal))
      wait.restart()
    }
  }

  #recordEvents (attempt: OpenAttempt, count: number, milliseconds: number): void {
    attempt.evidence?.recordEvents(count, this.#request.now)
    this.#choice.recordEvents(count, milliseconds)
  }

  #recordResponseStart (attempt: OpenAttempt, count: number): void {
    const request = this.#request
    attempt.evidence?.recordBegin(request.now)
    attempt.tracker.recordResponseStart(request.now)
    this.#choice.recordFirstEvents(count)
  }

  #startResponse (headers: IncomingHttpHeaders): void {
    if (this.#hasResponseStarted) return
    this.#hasResponseStarted = true
    this.#request.callerResponse.markFirstByte()
    this.#events.begin(successStatus, this.#request.callerResponse.toCallerHeaders(headers))
  }

  async #finishResponse (attempt: OpenAttempt, headers: IncomingHttpHeaders): Promise<RunOutcome> {
    if (!(await this.#request.attempts.isWhole(attempt, headers))) return this.#failRun(attempt, endpointEndedReason)
    this.#startResponse(headers)
    this.#choice.recordAnswerEnd(true)
    this.#request.attempts.recordAnswer(attempt, headers)
    this.#request.attempts.finish(attempt, AttemptEnd.Answered, 'whole')
    this.#events.end()
    this.#request.callerResponse.recordDelivery(successStatus)
    return RunOutcome.Done
  }

  async #readFailure (attempt: OpenAttempt, reader: DeadlineReader, status: number, headers: IncomingHttpHeaders): Promise<RunOutcome> {
    const request = this.#request
    const chunks: Buffer[] = []
    let bytes = 0
    for (;;) {
      const event = await this.#nextEvent(attempt, reader, true)
      if (event.type === 'end') break
      if (event.type !== 'data') return this.#failRun(attempt, failureReasonOf(event))
      bytes += event.bytes.length
      if (bytes > maximumFailureBodyBytes) return this.#failRun(attempt, 'error body too large')
      if (!request.holding.trySetAnswer(bytes)) return this.#failRun(attempt, noMemoryReason, AttemptEnd.Cancelled)
      chunks.push(event.bytes)
    }
    if (!(await request.attempts.isWhole(attempt, headers))) return this.#failRun(attempt, endpointEndedReason)
    const isFailed = isServerError(status)
    if (isFailed) request.attempts.recordFailure(attempt)
    else attempt.evidence?.recordBegin(request.now)
    attempt.run.recordOver()
    request.attempts.finish(attempt, isFailed ? AttemptEnd.Failed : AttemptEnd.Answered, String(status))
    const failure = { status, headers, body: Buffer.concat(chunks) }
    if (!isFailed && !this.#hasResponseStarted) {
      request.callerResponse.deliver(failure)
      return RunOutcome.Done
    }
    this.#failedResponse = failure
    return RunOutcome.Failed
  }

  /** Returns the next event. A silent run may be given up for another meanwhile. */
  async #nextEvent (attempt: OpenAttempt, reader: DeadlineReader, hasRunStarted: boolean): Promise<ExchangeEvent> {
    const request = this.#request
    const { liveness } = request.dependencies
    const livenessMilliseconds = Math.min(liveness.checkMilliseconds, request.route.maximumEventGapMilliseconds * livenessGapShare)
    const wait = new Wait(request.dependencies.clock)
    const millisecondsToGiveUp = () => millisecondsToAbandonment(silenceOf(request, attempt, { hasStarted: hasRunStarted, wait, now: request.now }))
    for (;;) {
      const isSilent = millisecondsToGiveUp() <= 0
      const arrived = isSilent ? await this.#handover.beginUnlessReceived(this.#plannedHandover(attempt), () => millisecondsToGiveUp() <= 0) : undefined
      if (arrived !== undefined) return arrived
      const millisecondsLeft = millisecondsToGiveUp()
      const millisecondsToCheck = millisecondsLeft - livenessMilliseconds
      if (hasRunStarted && millisecondsToCheck <= 0 && this.#handover.mayBegin(this.#plannedHandover(attempt))) liveness.check(attempt.endpoint)
      const nextLookMilliseconds = [millisecondsToCheck, millisecondsLeft].find(milliseconds => milliseconds > 0) ?? silenceCheckIntervalMilliseconds
      const event = await reader.next(request.now + Math.ceil(nextLookMilliseconds))
      if (event === undefined) continue
      this.#handover.cancel()
      return event
    }
  }

  #plannedHandover (attempt: OpenAttempt): PlannedHandover {
    return {
      present: attempt,
      next: { ...this.#attemptOptions(this.#choice.modelInTime), usesOwnConnection: true },
      isResumed: this.#hasResponseStarted,
      endsWithOutput: true,
      closePresent: nextEndpoint => this.#request.attempts.giveUpSilent(attempt, this.#describe(silentReason), nextEndpoint)
    }
  }

  #failRun (attempt: OpenAttempt, reason: string, end: AttemptEnd = this.#request.attempts.endWithoutResponse(attempt, reason === silentReason)): RunOutcome {
    this.#request.holding.trySetAnswer(this.#events.heldBytes)
    if (this.#handover.hasReplaced(attempt)) return RunOutcome.Broken
    const { attempts } = this.#request
    if (reason === silentReason) recordGivenUp(this.#request, attempt, GiveUpReason.Deadline)
    attempt.exchange.abort(reason)
    attempts.finishBroken(attempt, end, this.#describe(reason))
    return attempt.exchange.mayHaveSent ? RunOutcome.Broken : RunOutcome.Unsent
  }

  #rejectRun (attempt: OpenAttempt, reason: string): RunOutcome {
    const { dependencies, head, service } = this.#request
    const { address, identity } = attempt.endpoint
    dependencies.log.warn('stream_is_no_answer', { endpoint: identity, address, service, request: head.attemptId, reason, after: this.#lastEventId })
    return this.#failRun(attempt, reason)
  }

  #describe (reason: string): string {
    return `${reason}, after ${this.#lastEventId ?? 'nothing'}`
  }
}
