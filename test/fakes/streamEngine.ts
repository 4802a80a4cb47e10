/**
 * An engine on virtual time that streams events. It runs a bounded number of requests at once, keeps a bounded
 * queue by urgency, and refuses what is beyond it. The more requests run, the more slowly each proceeds.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { type Clock, hashFraction } from '../../src/contract/index.ts'
import type { RoutedEndpoint } from '../../src/routing/index.ts'
import { formatEvent } from './forwarderWorld.ts'

export interface StreamEngineOptions {
  readonly clock: Clock
  readonly endpoint: RoutedEndpoint
  /** Requests that run at once. */
  readonly slots: number
  /** Requests that may wait. */
  readonly queueLimit: number
  /** Time between two events of a request that runs alone, by its model. */
  readonly eventMilliseconds: Readonly<Record<string, number>>
}

/** Each request that runs beside others slows them by this share. */
const slowdownPerRun = 0.0236
const promptTokensPerMillisecond = 56.6
export const tokensPerEvent = 6
const connectMilliseconds = 1

interface Job {
  readonly headers: IncomingHttpHeaders
  readonly handler: Dispatcher.DispatchHandler
  readonly controller: Dispatcher.DispatchController
  readonly events: number
  nextEvent: number
  isOver: boolean
}

export class StreamEngine implements Pick<Dispatcher, 'dispatch'> {
  readonly options: StreamEngineOptions
  readonly #running = new Set<Job>()
  readonly #queue: Job[] = []
  #isGone = false
  refusals = 0

  constructor (options: StreamEngineOptions) {
    this.options = options
  }

  get hasFreeSlot (): boolean {
    return !this.#isGone && this.#running.size < this.options.slots && this.#queue.length === 0
  }

  get runningCount (): number {
    return this.#running.size
  }

  /** Ends all runs in the middle of their streams and refuses connections from now on. */
  stop (): void {
    this.#isGone = true
    for (const job of [...this.#running, ...this.#queue]) this.#break(job, 'read ECONNRESET')
  }

  dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    this.options.clock.schedule(connectMilliseconds, () => this.#accept(options.headers as IncomingHttpHeaders, handler))
    return true
  }

  #accept (headers: IncomingHttpHeaders, handler: Dispatcher.DispatchHandler): void {
    const controller = this.#controllerOf(() => job)
    const job: Job = { headers, handler, controller, events: eventsOf(headers), nextEvent: Number(headers['last-event-id'] ?? 0) + 1, isOver: false }
    if (this.#isGone) return handler.onResponseError?.(controller, new Error('connect ECONNREFUSED'))
    handler.onRequestStart?.(controller, {})
    if (job.isOver) return
    if (this.#running.size < this.options.slots) return this.#begin(job)
    if (this.#queue.length < this.options.queueLimit) return this.#enqueue(job)
    this.refusals++
    this.#respondBriefly(job, 503, { 'not-executed': '1' })
  }

  #controllerOf (job: () => Job): Dispatcher.DispatchController {
    return {
      aborted: false,
      paused: false,
      reason: null,
      pause: () => undefined,
      resume: () => undefined,
      abort: () => this.#leave(job())
    }
  }

  #enqueue (job: Job): void {
    const position = this.#queue.findIndex(other => urgencyOf(other) > urgencyOf(job))
    this.#queue.splice(position === -1 ? this.#queue.length : position, 0, job)
    this.options.clock.schedule(Number(job.headers['deadline-ms']), () => {
      if (this.#queue.includes(job)) this.#respondBriefly(job, 503, { 'not-executed': '1' })
    })
  }

  #begin (job: Job): void {
    this.#running.add(job)
    const promptTokens = Number(String(job.headers['token-usage']).split(',')[0])
    const prefillMilliseconds = promptTokens / promptTokensPerMillisecond * this.#paceOf(job)
    this.options.clock.schedule(prefillMilliseconds + this.#gapOf(job), () => {
      if (job.isOver) return
      job.handler.onResponseStart?.(job.controller, 200, { ...ownHeaders(job), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked', 'server-seal': 's', confidence: String(confidenceOf(job)) }, '')
      this.#produce(job)
    })
  }

  #produce (job: Job): void {
    if (job.isOver) return
    job.handler.onResponseData?.(job.controller, Buffer.from(formatEvent(job.nextEvent++)))
    if (job.nextEvent <= job.events) {
      this.options.clock.schedule(this.#gapOf(job), () => this.#produce(job))
      return
    }
    this.#leave(job)
    job.handler.onResponseEnd?.(job.controller, {})
  }

  #respondBriefly (job: Job, status: number, headers: IncomingHttpHeaders): void {
    this.#leave(job)
    job.handler.onResponseStart?.(job.controller, status, { ...ownHeaders(job), ...headers, 'content-length': '0' }, '')
    job.handler.onResponseEnd?.(job.controller, {})
  }

  #break (job: Job, reason: string): void {
    this.#leave(job)
    job.handler.onResponseError?.(job.controller, new Error(reason))
  }

  #leave (job: Job): void {
    job.isOver = true
    const index = this.#queue.indexOf(job)
    if (index !== -1) this.#queue.splice(index, 1)
    if (!this.#running.delete(job) || this.#isGone) return
    const next = this.#queue.shift()
    if (next !== undefined) this.#begin(next)
  }

  #paceOf (job: Job): number {
    const { eventMilliseconds } = this.options
    return eventMillisecondsOf(eventMilliseconds, job) / Math.max(...Object.values(eventMilliseconds))
  }

  #gapOf (job: Job): number {
    return eventMillisecondsOf(this.options.eventMilliseconds, job) * (1 + slowdownPerRun * this.#running.size)
  }
}

function eventMillisecondsOf (eventMilliseconds: Readonly<Record<string, number>>, { headers }: Job): number {
  return eventMilliseconds[String(headers.model)] ?? 0
}

function eventsOf (headers: IncomingHttpHeaders): number {
  return Math.max(1, Math.round(Number(String(headers['token-usage']).split(',')[1]) / tokensPerEvent))
}

/** Half of the requests are too hard for a small model. */
function confidenceOf ({ headers }: Job): number {
  return Math.floor(100 * hashFraction(String(headers['attempt-id'])))
}

function urgencyOf ({ headers }: Job): number {
  return Number(headers.urgency ?? 5)
}

function ownHeaders ({ headers }: Job): IncomingHttpHeaders {
  return { 'attempt-id': headers['attempt-id'] }
}
