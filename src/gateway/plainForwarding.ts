/**
 * Forwards a request whose answer is short. The answer is taken whole before a byte of it is
 * released, so one that breaks off never looks complete and an idempotent request can be tried
 * elsewhere. A request that may run only once is sent once, on a connection of its own; it is sent
 * again only where it certainly did not run.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { within } from '../contract/index.ts'
import { WorkEnd } from '../placing/index.ts'
import { Repetition, type RoutedEndpoint } from '../routing/index.ts'
import { endWithConnection, isFramed } from './answerFraming.ts'
import type { WholeAnswer } from './callerAnswer.ts'
import { type ForwardRequest, type OpenAttempt, Unrun } from './forwardRequest.ts'

/** Beyond this an answer is passed on as it comes. */
const heldBytes = 256 * 1024
/** An idempotent attempt may be silent for this share of the objective before another is tried. */
const silentShare = 0.9

/** How one attempt ended. */
type PlainOutcome =
  | { readonly type: 'answer' } & WholeAnswer
  /** It was passed on while it came. */
  | { readonly type: 'relayed' }
  /** It certainly did not run. */
  | { readonly type: 'not_run', readonly unrun: Unrun }
  | { readonly type: 'unsent' }
  /** It may have run. */
  | { readonly type: 'lost' }

/** Forwards one request. */
export class PlainForwarding {
  readonly #forward: ForwardRequest
  readonly #isIdempotent: boolean
  #mayHaveRun = false

  constructor (forward: ForwardRequest) {
    this.#forward = forward
    this.#isIdempotent = forward.route.repetition === Repetition.Idempotent
  }

  async run (): Promise<void> {
    const forward = this.#forward
    let isFull = false
    let failure: WholeAnswer | undefined
    while (!forward.hasLeft && forward.now < forward.limit && forward.attemptsLeft > 0) {
      if (forward.sends > 0 && !forward.parts.allowance.spend(forward.service, forward.now)) break
      const endpoint = forward.place(undefined)
      if (endpoint === undefined) break
      const outcome = await this.#attempt(endpoint)
      if (outcome.type === 'relayed') return
      if (outcome.type === 'answer') {
        failure = outcome
        if (!forward.isFailure(outcome.status) || !this.#isIdempotent) return this.#deliver(outcome)
      }
      if (outcome.type === 'not_run' && outcome.unrun === Unrun.Refused) isFull = true
      if (outcome.type === 'lost' && !this.#isIdempotent) break
    }
    if (failure !== undefined) return this.#deliver(failure)
    forward.answer.giveUp({ mayHaveRun: this.#mayHaveRun, isFull })
  }

  #deliver (answer: WholeAnswer): void {
    this.#forward.answer.markFirstByte()
    this.#forward.answer.deliver(answer)
  }

  async #attempt (endpoint: RoutedEndpoint): Promise<PlainOutcome> {
    const attempt = this.#forward.send(endpoint, { model: undefined, lastEvent: undefined, isAlone: !this.#isIdempotent })
    const outcome = await this.#read(attempt)
    const mayHaveRun = outcome.type === 'lost' || outcome.type === 'answer' || outcome.type === 'relayed'
    this.#mayHaveRun ||= mayHaveRun
    return outcome
  }

  async #read (attempt: OpenAttempt): Promise<PlainOutcome> {
    const forward = this.#forward
    const head = await this.#next(attempt)
    if (head === undefined || head.type === 'failure') return this.#failed(attempt, head?.reason)
    if (head.type !== 'head') return this.#failed(attempt, 'an answer without a head')
    const answer = forward.parts.codec.readAnswer(head.headers)
    if (!forward.isOwn(answer)) return this.#foreign(attempt, answer.identity)
    const unrun = forward.finishUnrun(attempt, head.status, answer)
    if (unrun !== undefined) return { type: 'not_run', unrun }
    if (!answer.isSealed || answer.isEncoded) return this.#foreign(attempt, 'unsealed')
    attempt.work.heard(forward.now)
    return this.#readBody(attempt, head.status, head.headers)
  }

  async #readBody (attempt: OpenAttempt, status: number, headers: IncomingHttpHeaders): Promise<PlainOutcome> {
    const forward = this.#forward
    const chunks: Buffer[] = []
    let bytes = 0
    for (;;) {
      const event = await this.#next(attempt)
      if (event === undefined || event.type === 'failure') return this.#failed(attempt, event?.reason)
      if (event.type === 'end') break
      if (event.type !== 'data') continue
      chunks.push(event.bytes)
      bytes += event.bytes.length
      if (bytes > heldBytes) return this.#relay(attempt, status, headers, chunks)
    }
    const failed = forward.isFailure(status)
    forward.observeAnswer(attempt, failed)
    attempt.work.begun(forward.now)
    forward.finish(attempt, failed ? WorkEnd.Failed : WorkEnd.Answered, String(status))
    return { type: 'answer', status, headers, body: Buffer.concat(chunks) }
  }

  /** Passes a long answer on as it comes; one that breaks off cuts the caller's connection. */
  async #relay (attempt: OpenAttempt, status: number, headers: IncomingHttpHeaders, held: readonly Buffer[]): Promise<PlainOutcome> {
    const forward = this.#forward
    const { response } = forward.answer
    forward.answer.markFirstByte()
    if (!isFramed(headers)) endWithConnection(response)
    response.writeHead(status, forward.answer.headers(headers))
    for (const chunk of held) response.write(chunk)
    for (;;) {
      const event = await within(forward.parts.clock, forward.limit, attempt.exchange.next())
      if (event?.type === 'data') {
        if (!response.write(event.bytes)) await drained(response, forward.left.signal)
        continue
      }
      if (event?.type === 'end') {
        forward.finish(attempt, WorkEnd.Answered, String(status))
        response.end()
        forward.answer.delivered(status)
      } else {
        attempt.exchange.abort('the answer broke off')
        forward.finish(attempt, WorkEnd.Lost, 'broke off')
        forward.answer.cut('answer_broke_off')
      }
      return { type: 'relayed' }
    }
  }

  /** The next event; undefined where the attempt was silent for too long. */
  #next (attempt: OpenAttempt) {
    const { clock } = this.#forward.parts
    const { limit, route } = this.#forward
    const patience = this.#isIdempotent && this.#forward.attemptsLeft > 1 ? clock.now() + route.objectiveMilliseconds * silentShare : limit
    return within(clock, Math.min(limit, patience), attempt.exchange.next())
  }

  /** @param reason undefined where the attempt was silent for too long */
  #failed (attempt: OpenAttempt, reason: string | undefined): PlainOutcome {
    const forward = this.#forward
    const end = forward.lossOf(attempt, reason === undefined)
    attempt.exchange.abort(reason ?? 'silent')
    const wasSent = attempt.exchange.mayHaveSent
    forward.finish(attempt, end, `${wasSent ? 'lost' : 'unsent'}: ${reason ?? 'silent'}`)
    return { type: wasSent ? 'lost' : 'unsent' }
  }

  /** An answer that is another's: nothing on this connection can be trusted. */
  #foreign (attempt: OpenAttempt, whose: string | undefined): PlainOutcome {
    attempt.exchange.abort('an answer to another request')
    this.#forward.finish(attempt, WorkEnd.Cancelled, `foreign answer: ${whose ?? 'unnamed'}`)
    return { type: 'lost' }
  }
}

/** Waits until a response takes more, or its caller has left. */
export function drained (response: NodeJS.WritableStream, left: AbortSignal): Promise<void> {
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
