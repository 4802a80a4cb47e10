/**
 * Forwards a request whose answer is a stream of events. Events are passed on whole as they come.
 * Where a run breaks off or falls silent, another one goes on after the last whole event that the
 * caller has; the caller's connection shows nothing of it. Before the caller has got anything, an
 * answer that its model does not trust is dropped for a larger model's.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { within } from '../contract/index.ts'
import type { ExchangeEvent } from '../endpoint/index.ts'
import { type SizePlan, WorkEnd, isLost } from '../placing/index.ts'
import { endWithConnection, isFramed } from './answerFraming.ts'
import type { WholeAnswer } from './callerAnswer.ts'
import { EventSplitter } from './eventSplitter.ts'
import { type ForwardRequest, type OpenAttempt, Unrun } from './forwardRequest.ts'
import { drained } from './plainForwarding.ts'

const successStatus = 200
/** Bytes of a failure's body that are passed on. */
const failureBytes = 64 * 1024
const silentReason = 'silent'
/** How often a silent run is looked at. */
const watchMilliseconds = 200

/** How one run ended, as far as the next is concerned. */
const RunEnd = {
  /** The whole answer was delivered, or the request needs nothing more. */
  Done: 'done',
  /** It did not run. */
  NotRun: 'not_run',
  /** It never left. */
  Unsent: 'unsent',
  /** It may have run and broke off. */
  Broken: 'broken',
  /** The endpoint answered with a failure. */
  Failed: 'failed',
  /** Its answer was not trusted. */
  Dropped: 'dropped'
} as const
type RunEnd = typeof RunEnd[keyof typeof RunEnd]

/** Forwards one streamed request. */
export class StreamForwarding {
  readonly #forward: ForwardRequest
  #plan: SizePlan | undefined
  #model: string | undefined
  #lastEvent: string | undefined
  #isOpened = false
  /** Whether the caller is told the end of its answer. */
  #isFramed = true
  #mayHaveRun = false
  #failure: WholeAnswer | undefined
  #endWait: (hasBegun: boolean, at: number) => void = () => undefined

  constructor (forward: ForwardRequest) {
    this.#forward = forward
    this.#lastEvent = forward.head.lastEvent
    this.#model = forward.head.model
    if (forward.head.anyModel) this.#planSizes()
  }

  async run (): Promise<void> {
    const forward = this.#forward
    let isFull = false
    while (!forward.hasLeft && forward.now < forward.limit && forward.attemptsLeft > 0) {
      if (forward.sends > 0 && !forward.parts.allowance.spend(forward.service, forward.now)) break
      const endpoint = forward.place(this.#model)
      if (endpoint === undefined) break
      const attempt = forward.send(endpoint, { model: this.#model, lastEvent: this.#lastEvent, isAlone: false })
      this.#beginWait()
      const end = await this.#read(attempt)
      this.#endWait(false, forward.now)
      if (end === RunEnd.Done) return
      if (end === RunEnd.NotRun) isFull = true
      if (end === RunEnd.Broken || end === RunEnd.Failed || end === RunEnd.Dropped) this.#mayHaveRun = true
      if (this.#mayHaveRun && !forward.route.resumable) break
    }
    this.#giveUp(isFull)
  }

  #giveUp (isFull: boolean): void {
    const forward = this.#forward
    if (this.#isOpened) return forward.answer.cut(forward.isOver ? 'timed_out' : 'stream_lost')
    if (this.#failure !== undefined) return forward.answer.deliver(this.#failure)
    forward.answer.giveUp({ mayHaveRun: this.#mayHaveRun, isFull })
  }

  #planSizes (): void {
    const { attemptsLeft, objectiveShareLeft, parts, route, service, now } = this.#forward
    const mayRepeat = route.resumable && this.#lastEvent === undefined && parts.allowance.allows(service, now)
    this.#plan = parts.sizes.plan(route.modelSizes, { attemptsLeft, objectiveShareLeft, mayRepeat })
    this.#model = this.#plan.first
  }

  async #read (attempt: OpenAttempt): Promise<RunEnd> {
    const forward = this.#forward
    const head = await this.#next(attempt, false)
    if (head === undefined || head.type !== 'head') return this.#broken(attempt, reasonOf(head))
    const answer = forward.parts.codec.readAnswer(head.headers)
    if (!forward.isOwn(answer)) return this.#broken(attempt, `foreign answer: ${answer.identity ?? 'unnamed'}`, WorkEnd.Cancelled)
    const unrun = forward.finishUnrun(attempt, head.status, answer)
    if (unrun !== undefined) return unrun === Unrun.Misdirected ? RunEnd.Unsent : RunEnd.NotRun
    attempt.work.heard(forward.now)
    if (head.status !== successStatus) return this.#readFailure(attempt, head.status, head.headers)
    if (!answer.isSealed || answer.isEncoded) return this.#broken(attempt, 'unsealed', WorkEnd.Cancelled)
    if (!this.#isTrusted(answer.confidence)) return this.#drop(attempt, answer.confidence)
    return this.#relay(attempt, head.headers)
  }

  #beginWait (): void {
    const { parts, route, now } = this.#forward
    const isLargest = this.#model !== undefined && this.#model === route.modelSizes.at(-1)
    if (isLargest) this.#endWait = parts.sizes.waitForLargest(now, route.objectiveMilliseconds)
  }

  /** Whether an answer may be released, by its model's own opinion. */
  #isTrusted (confidence: number | undefined): boolean {
    const larger = this.#plan?.larger
    if (larger === undefined || this.#model === larger || this.#isOpened) return true
    const { attemptsLeft, parts, service, now } = this.#forward
    if (attemptsLeft < 2 || !parts.allowance.allows(service, now)) return true
    return parts.sizes.accepts(confidence, now)
  }

  #drop (attempt: OpenAttempt, confidence: number | undefined): RunEnd {
    const forward = this.#forward
    forward.observeAnswer(attempt, false)
    attempt.exchange.abort('a larger model is asked')
    forward.finish(attempt, WorkEnd.Answered, `dropped at confidence ${confidence}`)
    forward.mayRetryAt(attempt.endpoint)
    forward.parts.metrics.escalations.inc({ service: forward.service })
    this.#model = this.#plan?.larger
    return RunEnd.Dropped
  }

  async #relay (attempt: OpenAttempt, headers: IncomingHttpHeaders): Promise<RunEnd> {
    const forward = this.#forward
    const splitter = new EventSplitter()
    let hasBegun = false
    for (;;) {
      const event = await this.#next(attempt, hasBegun)
      const isWhole = event?.type === 'end' && splitter.pendingBytes === 0
      if (isWhole && this.#mayEnd(headers)) return this.#end(attempt, headers)
      if (isWhole) return this.#broken(attempt, 'an end that shows nothing')
      if (event?.type !== 'data') return this.#broken(attempt, reasonOf(event))
      const events = splitter.push(event.bytes)
      if (events === undefined) continue
      if (!hasBegun) this.#observeBegin(attempt)
      hasBegun = true
      attempt.work.heard(forward.now)
      this.#open(headers)
      this.#lastEvent = events.lastIdentity ?? this.#lastEvent
      if (!forward.answer.response.write(events.bytes)) await drained(forward.answer.response, forward.left.signal)
    }
  }

  #observeBegin (attempt: OpenAttempt): void {
    const forward = this.#forward
    forward.observeAnswer(attempt, false)
    attempt.work.begun(forward.now)
    this.#endWait(true, forward.now)
  }

  #open (headers: IncomingHttpHeaders): void {
    if (this.#isOpened) return
    this.#isOpened = true
    this.#isFramed = isFramed(headers)
    this.#forward.answer.markFirstByte()
    if (!this.#isFramed) endWithConnection(this.#forward.answer.response)
    this.#forward.answer.response.writeHead(successStatus, this.#forward.answer.headers(headers))
  }

  /** A run without a frame can't end an answer that vouches for its end. */
  #mayEnd (headers: IncomingHttpHeaders): boolean {
    return !this.#isOpened || !this.#isFramed || isFramed(headers)
  }

  #end (attempt: OpenAttempt, headers: IncomingHttpHeaders): RunEnd {
    this.#open(headers)
    this.#forward.finish(attempt, WorkEnd.Answered, 'whole')
    this.#forward.answer.response.end()
    this.#forward.answer.delivered(successStatus)
    return RunEnd.Done
  }

  async #readFailure (attempt: OpenAttempt, status: number, headers: IncomingHttpHeaders): Promise<RunEnd> {
    const forward = this.#forward
    const chunks: Buffer[] = []
    let bytes = 0
    for (;;) {
      const event = await this.#next(attempt, true)
      if (event?.type === 'end') break
      if (event?.type !== 'data') return this.#broken(attempt, reasonOf(event))
      bytes += event.bytes.length
      if (bytes > failureBytes) return this.#broken(attempt, 'a failure with too long a body')
      chunks.push(event.bytes)
    }
    const failed = forward.isFailure(status)
    forward.observeAnswer(attempt, failed)
    forward.finish(attempt, failed ? WorkEnd.Failed : WorkEnd.Answered, String(status))
    const failure = { status, headers, body: Buffer.concat(chunks) }
    if (!failed && !this.#isOpened) {
      forward.answer.deliver(failure)
      return RunEnd.Done
    }
    this.#failure = failure
    return RunEnd.Failed
  }

  /** The next event; undefined where the run is given up for silent, or the time is over. */
  async #next (attempt: OpenAttempt, hasBegun: boolean): Promise<ExchangeEvent | undefined> {
    const forward = this.#forward
    const { clock, loads } = forward.parts
    const { objectiveMilliseconds, pauseMilliseconds } = forward.route
    const waitingSince = forward.now
    const next = attempt.exchange.next()
    for (;;) {
      const event = await within(clock, Math.min(forward.limit, clock.now() + watchMilliseconds), next)
      if (event !== undefined || clock.now() >= forward.limit || forward.hasLeft) return event
      const silence = {
        waitedMilliseconds: clock.now() - waitingSince,
        endpointSilentMilliseconds: loads.silenceOf(attempt.endpoint, clock.now()),
        hasBegun,
        objectiveMilliseconds,
        pauseMilliseconds
      }
      if (isLost(silence) && this.#canGoOnElsewhere()) return undefined
    }
  }

  /** Whether giving the present run up leaves the caller another; a silent run may still answer. */
  #canGoOnElsewhere (): boolean {
    const { attemptsLeft, parts, route, service, now } = this.#forward
    if (attemptsLeft < 2 || !route.resumable || !parts.allowance.allows(service, now)) return false
    return this.#forward.place(this.#model) !== undefined
  }

  #broken (attempt: OpenAttempt, reason: string, end: WorkEnd = this.#forward.lossOf(attempt, reason === silentReason)): RunEnd {
    const forward = this.#forward
    attempt.exchange.abort(reason)
    const wasSent = attempt.exchange.mayHaveSent
    forward.finish(attempt, end, `${wasSent ? 'broke off' : 'unsent'} after ${this.#lastEvent ?? 'nothing'}: ${reason}`)
    return wasSent ? RunEnd.Broken : RunEnd.Unsent
  }
}

function reasonOf (event: ExchangeEvent | undefined): string {
  if (event === undefined) return silentReason
  if (event.type === 'failure') return event.reason
  return event.type === 'end' ? 'ended in the middle of an event' : `unexpected ${event.type}`
}
