/**
 * One request while it is forwarded: what it asks for, how long it has, whether its caller is still
 * there, and what was tried. Plain and streamed forwarding share it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LogFields } from '../observe/index.ts'
import { type EndpointWork, WorkEnd, usualWork } from '../placing/index.ts'
import { type AnswerHead, type CallerHead, Repetition, type Route, type RoutedEndpoint, type RoutedOrganisation, instanceKey } from '../routing/index.ts'
import type { Exchange } from '../endpoint/index.ts'
import { CallerAnswer, type RequestState } from './callerAnswer.ts'
import type { ForwardingParts } from './forwarding.ts'
import type { RoutingSnapshot } from './routingView.ts'

const misdirectedStatus = 421
const firstServerFailure = 500
const timerSlackMilliseconds = 5

/** What a request is made of. */
export interface ForwardRequestOptions {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly head: CallerHead
  readonly body: Buffer
  readonly route: Route
  readonly organisation: RoutedOrganisation | undefined
  readonly service: string
  /** Milliseconds of the process's clock. */
  readonly arrivedAt: number
  readonly snapshot: RoutingSnapshot
  readonly parts: ForwardingParts
}

/** An attempt at an endpoint that is under way. */
export interface OpenAttempt {
  readonly endpoint: RoutedEndpoint
  readonly model: string | undefined
  readonly exchange: Exchange
  readonly startedAt: number
  readonly work: EndpointWork
}

/** What an endpoint says that did not run a request. */
export const Unrun = {
  /** It has no room, or the time is over. */
  Refused: 'refused',
  /** Another endpoint has its address. */
  Misdirected: 'misdirected'
} as const
export type Unrun = typeof Unrun[keyof typeof Unrun]

/** What is asked of an endpoint. */
export interface AttemptOptions {
  readonly model: string | undefined
  readonly lastEvent: string | undefined
  /** On a connection of its own. */
  readonly isAlone: boolean
}

/** A request that is being forwarded. */
export class ForwardRequest implements RequestState {
  readonly route: Route
  readonly service: string
  readonly head: CallerHead
  readonly parts: ForwardingParts
  readonly answer: CallerAnswer
  readonly arrivedAt: number
  /** The caller or the operators wait no longer than this, in milliseconds of the process's clock. */
  readonly limit: number
  /** Aborted when the caller leaves. */
  readonly left = new AbortController()
  readonly #options: ForwardRequestOptions
  readonly #trail: string[] = []
  readonly #tried = new Set<string>()
  #sends = 0

  constructor (options: ForwardRequestOptions) {
    const { route, service, head, parts, arrivedAt, response } = options
    this.#options = options
    this.route = route
    this.service = service
    this.head = head
    this.parts = parts
    this.arrivedAt = arrivedAt
    this.limit = arrivedAt + Math.min(route.timeoutMilliseconds, head.patienceMilliseconds ?? route.timeoutMilliseconds)
    response.once('close', () => {
      if (!response.writableFinished) this.left.abort('the caller left')
    })
    if (response.destroyed) this.left.abort('the caller left')
    this.answer = new CallerAnswer(response, this, parts)
  }

  get now (): number {
    return this.parts.clock.now()
  }

  /** Whether the time is over; a timer may fire a little before its moment. */
  get isOver (): boolean {
    return this.now >= this.limit - timerSlackMilliseconds
  }

  get hasLeft (): boolean {
    return this.left.signal.aborted
  }

  /** Attempts that may have reached an endpoint. */
  get sends (): number {
    return this.#sends
  }

  get attemptsLeft (): number {
    return this.route.attempts - this.#sends
  }

  /** Part of the time to the objective that is left, 0 to 1. */
  get objectiveShareLeft (): number {
    const used = (this.now - this.arrivedAt) / this.route.objectiveMilliseconds
    return Math.min(1, Math.max(0, 1 - used))
  }

  /** Chooses an endpoint that was not tried yet; undefined where none is worth a try. */
  place (model: string | undefined): RoutedEndpoint | undefined {
    const { roster, placement, rollOuts, versions } = this.parts
    const now = this.now
    const serving = roster.serving(this.service, now)
    const split = rollOuts.splitOf(this.service)
    const key = this.head.identity ?? ''
    const able = versions.choose(serving, split, this.head.session, key, now)
    const untried = able.filter(endpoint => !this.#tried.has(instanceKey(endpoint)))
    return placement.choose({
      isStream: this.route.repetition === Repetition.Stream,
      work: this.#workOf(model),
      promptTokens: this.head.promptTokens,
      promptParts: this.head.promptParts,
      model
    }, untried, now)
  }

  /** Sends the request to an endpoint. */
  send (endpoint: RoutedEndpoint, { model, lastEvent, isAlone }: AttemptOptions): OpenAttempt {
    const { clock, codec, connections, roster, loads } = this.parts
    const startedAt = this.now
    this.#tried.add(instanceKey(endpoint))
    const { request, organisation, body } = this.#options
    const exchangeOptions = {
      clock,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: codec.writeAttempt(request.headers, {
        patienceMilliseconds: this.limit - startedAt,
        endpointIdentity: endpoint.identity,
        organisation: organisation?.name,
        model,
        lastEvent,
        urgency: this.route.repetition === Repetition.Stream ? organisation?.priority ?? this.route.priority : undefined
      }),
      body: body.length === 0 ? undefined : body,
      inactivityTimeoutMilliseconds: Math.max(1, this.limit - startedAt),
      mayStillSend: () => !this.hasLeft && this.now < this.limit && roster.mayServe(endpoint, this.now)
    }
    const work = loads.open(endpoint, this.#workOf(model), startedAt)
    const exchange = isAlone ? connections.startDedicated(endpoint.address, exchangeOptions) : connections.startPooled(endpoint.address, exchangeOptions)
    const giveUp = () => exchange.abort('the caller left')
    this.left.signal.addEventListener('abort', giveUp, { once: true })
    if (this.hasLeft) giveUp()
    return { endpoint, model, exchange, startedAt, work }
  }

  /**
   * Ends an attempt: its work, its evidence and its part of the request's log line.
   *
   * @param counts whether it is one of the endpoints that the request was sent to
   */
  finish (attempt: OpenAttempt, end: WorkEnd, outcome: string, counts = attempt.exchange.mayHaveSent): void {
    if (counts) this.#sends++
    attempt.work.close(end, this.now)
    this.parts.metrics.attempts.inc({ service: this.service, end })
    const { identity, version } = attempt.endpoint
    this.#trail.push(`${identity} ${version} ${attempt.model ?? '-'} ${Math.round(this.now - attempt.startedAt)}ms ${outcome}`)
  }

  /** The answer's first byte came, or the endpoint failed it: evidence on its version. */
  observeAnswer (attempt: OpenAttempt, failed: boolean): void {
    const milliseconds = this.now - attempt.startedAt
    this.parts.rollOuts.observe(this.service, attempt.endpoint.version, { likeness: `${this.route.name}/${attempt.model ?? ''}`, failed, milliseconds })
  }

  /**
   * What an attempt without an answer says of its endpoint: one that broke off a request which it
   * had taken is there, one that refused the connection or says nothing may not be.
   */
  lossOf (attempt: OpenAttempt, isSilent: boolean): WorkEnd {
    if (this.hasLeft) return WorkEnd.Cancelled
    return isSilent || !attempt.exchange.mayHaveSent ? WorkEnd.Lost : WorkEnd.Failed
  }

  /** Ends an attempt whose endpoint says that it did not run; undefined where it does not say so. */
  finishUnrun (attempt: OpenAttempt, status: number, { notRun }: AnswerHead): Unrun | undefined {
    const isMisdirected = status === misdirectedStatus
    if (!notRun && !isMisdirected) return undefined
    attempt.exchange.discardRest()
    this.finish(attempt, isMisdirected ? WorkEnd.Lost : WorkEnd.Full, `not run ${status}`, !isMisdirected)
    return isMisdirected ? Unrun.Misdirected : Unrun.Refused
  }

  /** Lets an endpoint be chosen again: its run ended for no fault of its own. */
  mayRetryAt (endpoint: RoutedEndpoint): void {
    this.#tried.delete(instanceKey(endpoint))
  }

  /** Whether an answer's head is this request's own and its endpoint's. */
  isOwn (answer: AnswerHead): boolean {
    return answer.identity === this.head.identity
  }

  /** Whether an endpoint says with a status that it failed. */
  isFailure (status: number): boolean {
    return status >= firstServerFailure
  }

  describe (): LogFields {
    return {
      request: this.head.identity,
      route: this.route.name,
      organisation: this.#options.organisation?.name,
      limit: Math.round(this.limit - this.arrivedAt),
      settings: this.#options.snapshot.settings.version,
      attempts: this.#trail
    }
  }

  #workOf (model: string | undefined) {
    const service = this.#options.snapshot.settings.services.get(this.service)
    return usualWork(this.route, service, model, this.head.promptTokens, this.head.mostOutputTokens)
  }
}
