/**
 * An engine on virtual time with continuous batching. It runs a bounded number of requests at once, keeps a
 * bounded queue by urgency, and refuses what is beyond it. Each step generates one token for every request whose
 * prompt was read, and reads a chunk of one prompt, so that long prompts and large batches slow all streams. The
 * last part of a request's path is the number of events of its answer, which no gateway knows before.
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
  /** Relative duration of a step, by model. */
  readonly paces: Readonly<Record<string, number>>
}

const stepMilliseconds = 3.79
const stepMillisecondsPerRun = 0.0893
const promptTokensPerMillisecond = 56.6
const chunkTokens = 2_048
export const tokensPerEvent = 6
const connectMilliseconds = 1
export const connectTimeoutMilliseconds = 450
/** Of a request that has no connection. */
const unopenedController: Dispatcher.DispatchController = { aborted: false, paused: false, reason: null, pause: () => undefined, resume: () => undefined, abort: () => undefined }

interface Job {
  readonly headers: IncomingHttpHeaders
  readonly handler: Dispatcher.DispatchHandler
  readonly controller: Dispatcher.DispatchController
  readonly pace: number
  readonly events: number
  unreadTokens: number
  nextEvent: number
  /** Tokens generated of the next event. */
  pendingTokens: number
  hasBegun: boolean
  isOver: boolean
}

export class StreamEngine implements Pick<Dispatcher, 'dispatch'> {
  readonly options: StreamEngineOptions
  readonly #running = new Set<Job>()
  readonly #queue: Job[] = []
  #isStepping = false
  #isGone = false
  #silentUntil = Number.NEGATIVE_INFINITY
  #acceptsConnections = true
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

  /** Falls silent: it takes requests and sends nothing, then goes on where it was. */
  pauseFor (milliseconds: number): void {
    this.#silentUntil = this.options.clock.now() + milliseconds
  }

  /** From now on new connections are neither accepted nor refused; runs go on. */
  stopAccepting (): void {
    this.#acceptsConnections = false
  }

  dispatch ({ path, headers }: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    const { clock } = this.options
    if (this.#acceptsConnections) clock.schedule(connectMilliseconds, () => this.#accept(path, Object.fromEntries(headers as ReadonlyMap<string, string>), handler))
    else clock.schedule(connectTimeoutMilliseconds, () => handler.onResponseError?.(unopenedController, new Error('Connect Timeout Error')))
    return true
  }

  #accept (path: string, headers: IncomingHttpHeaders, handler: Dispatcher.DispatchHandler): void {
    const controller: Dispatcher.DispatchController = { aborted: false, paused: false, reason: null, pause: () => undefined, resume: () => undefined, abort: () => this.#leave(job) }
    const [promptTokens = 0] = String(headers['token-usage']).split(',').map(Number)
    const resumedAfter = Number(headers['last-event-id'] ?? 0)
    const job: Job = {
      headers,
      handler,
      controller,
      pace: this.options.paces[String(headers.model)] ?? 1,
      events: Number(path.split('/').at(-1)),
      unreadTokens: promptTokens + resumedAfter * tokensPerEvent,
      nextEvent: resumedAfter + 1,
      pendingTokens: 0,
      hasBegun: false,
      isOver: false
    }
    if (this.#isGone) return handler.onResponseError?.(controller, new Error('connect ECONNREFUSED'))
    handler.onRequestStart?.(controller, {})
    this.#afterSilence(() => { if (!job.isOver) this.#place(job) })
  }

  #afterSilence (act: () => void): void {
    const milliseconds = this.#silentUntil - this.options.clock.now()
    if (milliseconds > 0) this.options.clock.schedule(milliseconds, () => this.#afterSilence(act))
    else act()
  }

  #place (job: Job): void {
    if (this.#running.size < this.options.slots) {
      this.#running.add(job)
      this.#startStep()
    } else if (this.#queue.length < this.options.queueLimit) {
      this.#enqueue(job)
    } else {
      this.refusals++
      this.#refuse(job)
    }
  }

  #enqueue (job: Job): void {
    const position = this.#queue.findIndex(other => urgencyOf(other) > urgencyOf(job))
    this.#queue.splice(position === -1 ? this.#queue.length : position, 0, job)
    this.options.clock.schedule(Number(job.headers['deadline-ms']), () => {
      if (this.#queue.includes(job)) this.#refuse(job)
    })
  }

  #startStep (): void {
    if (this.#isStepping || this.#running.size === 0) return
    this.#isStepping = true
    const jobs = [...this.#running]
    const generating = jobs.filter(({ unreadTokens }) => unreadTokens === 0)
    const reading = jobs.filter(({ unreadTokens }) => unreadTokens > 0).reduce<Job | undefined>((first, job) => first === undefined || urgencyOf(job) < urgencyOf(first) ? job : first, undefined)
    const chunk = Math.min(chunkTokens, reading?.unreadTokens ?? 0)
    const generationPace = generating.length === 0 ? 0 : generating.reduce((sum, { pace }) => sum + pace, 0) / generating.length
    const generationMilliseconds = (stepMilliseconds + stepMillisecondsPerRun * generating.length) * generationPace
    this.options.clock.schedule(generationMilliseconds + chunk / promptTokensPerMillisecond * (reading?.pace ?? 0), () => this.#afterSilence(() => {
      this.#isStepping = false
      if (reading !== undefined) reading.unreadTokens -= chunk
      for (const job of generating) this.#generate(job)
      this.#startStep()
    }))
  }

  #generate (job: Job): void {
    if (job.isOver) return
    if (!job.hasBegun) this.#beginResponse(job)
    job.pendingTokens++
    if (job.pendingTokens < tokensPerEvent) return
    job.pendingTokens = 0
    job.handler.onResponseData?.(job.controller, Buffer.from(formatEvent(job.nextEvent++)))
    if (job.nextEvent <= job.events) return
    this.#leave(job)
    job.handler.onResponseEnd?.(job.controller, {})
  }

  #beginResponse (job: Job): void {
    job.hasBegun = true
    const headers = { ...ownHeaders(job), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked', 'server-seal': 's', confidence: String(confidenceOf(job)) }
    job.handler.onResponseStart?.(job.controller, 200, headers, '')
  }

  #refuse (job: Job): void {
    this.#leave(job)
    job.handler.onResponseStart?.(job.controller, 503, { ...ownHeaders(job), 'not-executed': '1', 'content-length': '0' }, '')
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
    if (next !== undefined) this.#running.add(next)
    this.#startStep()
  }
}

/** The confidence is even over the requests: many are too hard for a small model. */
function confidenceOf ({ headers }: Job): number {
  return Math.floor(100 * hashFraction(String(headers['attempt-id'])))
}

function urgencyOf ({ headers }: Job): number {
  return Number(headers.urgency ?? 5)
}

function ownHeaders ({ headers }: Job): IncomingHttpHeaders {
  return { 'attempt-id': headers['attempt-id'] }
}
