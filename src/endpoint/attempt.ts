/**
 * One attempt at an engine, over as many connections as it takes. The attempt's stream lives at the
 * engine under the attempt's id; a connection that is cut, silent or faulty is given up, and the
 * stream is taken up at the first missing token over a connection of its own, never over a pooled
 * one that may be silent too. Taking it up is tried a bounded number of times without a new token
 * between; then the attempt ends with a failure, never without a word.
 */
import { type Clock, invariant } from '../contract/index.ts'
import { Assembly } from './assembly.ts'
import { collect } from './collect.ts'
import type { Connections } from './connections.ts'
import { AttemptFailure, type EngineCall, type EngineEvent, type EngineFinish, Reach } from './contract.ts'
import { EventStreamDecoder } from './eventStream.ts'
import type { Exchange } from './exchange.ts'

/** What an attempt needs besides its call. */
export interface AttemptOptions {
  readonly clock: Clock
  readonly connections: Connections
  readonly address: string
  readonly silenceMilliseconds: number
  /** Tries to take a stream up without a new token between. */
  readonly resumeLimit: number
  /** Milliseconds before the second such try; it doubles with each further one. */
  readonly resumePauseMilliseconds: number
}

/** Why a connection is no longer read. */
type ConnectionEnd =
  | { readonly type: 'finish', readonly finish: EngineFinish }
  | { readonly type: 'failure', readonly failure: AttemptFailure }
  /** Another connection may take the stream up. */
  | { readonly type: 'lost', readonly reason: string }

const okStatus = 200
const firstServerErrorStatus = 500
const refusingServerStatus = 503
const conflictStatus = 409

/** One attempt at an engine. */
export class Attempt {
  readonly #options: AttemptOptions
  readonly #call: EngineCall
  readonly #signal: AbortSignal
  readonly #assembly: Assembly
  #exchange: Exchange | undefined
  #mayHaveSent = false
  #resumes = 0

  constructor (options: AttemptOptions, call: EngineCall, signal: AbortSignal) {
    this.#options = options
    this.#call = call
    this.#signal = signal
    this.#assembly = new Assembly(call.attemptId)
  }

  /** Runs it; the last event is a finish or a failure. A reader that leaves early cancels the stream. */
  async * run (): AsyncGenerator<EngineEvent, void, undefined> {
    const cancel = () => this.#exchange?.giveUp('cancelled')
    this.#signal.addEventListener('abort', cancel)
    let isOver = false
    try {
      const end = yield * this.#follow()
      isOver = end.type === 'finish'
      yield end
    } finally {
      this.#signal.removeEventListener('abort', cancel)
      this.#exchange?.giveUp('left')
      if (!isOver && this.#mayHaveSent) this.#cancelStream()
    }
  }

  async * #follow (): AsyncGenerator<EngineEvent, Exclude<ConnectionEnd, { type: 'lost' }>, undefined> {
    for (;;) {
      if (this.#signal.aborted) return this.#failed('cancelled')
      const isFirst = !this.#mayHaveSent
      const exchange = isFirst ? this.#send() : this.#resume()
      this.#exchange = exchange
      const end = yield * this.#read(exchange, isFirst)
      exchange.giveUp('read to its end')
      this.#mayHaveSent ||= exchange.mayHaveSent
      if (end.type !== 'lost') return end
      const mayResume = this.#mayHaveSent && this.#resumes < this.#options.resumeLimit
      if (!mayResume || this.#signal.aborted) return this.#failed(end.reason)
      await this.#pause()
    }
  }

  async * #read (exchange: Exchange, isFirst: boolean): AsyncGenerator<EngineEvent, ConnectionEnd, undefined> {
    const head = await exchange.next()
    this.#mayHaveSent ||= exchange.mayHaveSent
    if (head.type !== 'head') return this.#lost(head)
    if (head.status !== okStatus) return this.#refused(exchange, head.status, head.headers['retry-after'], isFirst)
    const decoder = new EventStreamDecoder()
    for (;;) {
      const event = await exchange.next()
      if (event.type !== 'data') return this.#lost(event)
      const events = decoder.decode(event.bytes)
      if (events === undefined) return { type: 'lost', reason: 'a line is too long' }
      for (const data of events) {
        const end = yield * this.#accept(data)
        if (end !== undefined) return end
      }
    }
  }

  async * #accept (data: string): AsyncGenerator<EngineEvent, ConnectionEnd | undefined, undefined> {
    const expected = this.#assembly.next
    const assembled = this.#assembly.accept(data)
    if (assembled.type === 'nothing') return undefined
    if (assembled.type === 'finish') return assembled
    if (assembled.type === 'fault') return { type: 'lost', reason: assembled.reason }
    const { attemptId, chunk } = assembled
    invariant(attemptId === this.#call.attemptId, 'chunk belongs to its attempt', () => ({ attemptId, call: this.#call.attemptId }))
    invariant(chunk.offset === expected, 'chunk offsets are contiguous', () => ({ offset: chunk.offset, expected }))
    this.#resumes = 0
    yield { type: 'chunk', chunk }
    return undefined
  }

  #lost (event: { readonly type: string, readonly reason?: string, readonly silent?: boolean }): ConnectionEnd {
    if (event.silent === true) this.#options.connections.retire(this.#options.address)
    return { type: 'lost', reason: event.reason ?? 'the stream ended before the answer' }
  }

  async #refused (exchange: Exchange, status: number, retryAfter: string | undefined, isFirst: boolean): Promise<ConnectionEnd> {
    const body = await collect(exchange)
    const isRefusal = status < firstServerErrorStatus ? status !== conflictStatus : status === refusingServerStatus
    const reach = isFirst && isRefusal && body.ok ? Reach.Refused : Reach.Maybe
    const seconds = Number(retryAfter)
    const retryAfterSeconds = Number.isFinite(seconds) ? seconds : undefined
    return { type: 'failure', failure: new AttemptFailure(reach, `status ${status}`, retryAfterSeconds) }
  }

  #failed (reason: string): { type: 'failure', failure: AttemptFailure } {
    const reach = this.#mayHaveSent ? Reach.Maybe : Reach.Never
    return { type: 'failure', failure: new AttemptFailure(reach, reason) }
  }

  #send (): Exchange {
    const body = JSON.stringify({
      model: this.#call.version,
      messages: this.#call.messages,
      max_tokens: this.#call.maximumTokens,
      stream: true,
      priority: this.#call.priority,
      prefix_key: this.#call.prefixKey
    })
    return this.#options.connections.pooled(this.#options.address, this.#exchangeOptions('POST', '/v1/chat/completions', body))
  }

  #resume (): Exchange {
    this.#resumes++
    const path = `${this.#streamPath}?offset=${this.#assembly.next}`
    return this.#options.connections.fresh(this.#options.address, this.#exchangeOptions('GET', path, undefined))
  }

  async #pause (): Promise<void> {
    if (this.#resumes === 0) return
    const milliseconds = this.#options.resumePauseMilliseconds * 2 ** (this.#resumes - 1)
    await this.#options.clock.sleep(milliseconds, this.#signal)
  }

  /** Tells the engine that nobody reads any more; it would find out by itself, but later. */
  #cancelStream (): void {
    const exchange = this.#options.connections.fresh(this.#options.address, this.#exchangeOptions('DELETE', this.#streamPath, undefined))
    collect(exchange).catch(() => undefined)
  }

  get #streamPath (): string {
    return `/v1/streams/${encodeURIComponent(this.#call.attemptId)}`
  }

  #exchangeOptions (method: string, path: string, body: string | undefined) {
    const headers: Record<string, string> = { 'x-attempt-id': this.#call.attemptId }
    if (body !== undefined) headers['content-type'] = 'application/json'
    if (this.#call.traceParent !== undefined) headers.traceparent = this.#call.traceParent
    const { clock, silenceMilliseconds } = this.#options
    return { clock, silenceMilliseconds, method, path, body, headers, mayStillSend: () => true }
  }
}
