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
import { AttemptFailure, type EngineCall, type EngineEvent, Reach } from './contract.ts'
import type { Exchange } from './exchange.ts'
import { type StreamEvent, StreamReader } from './streamReader.ts'

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

/** One attempt at an engine. */
export class Attempt {
  readonly #options: AttemptOptions
  readonly #call: EngineCall
  readonly #signal: AbortSignal
  readonly #assembly: Assembly
  #reader: StreamReader | undefined
  #mayHaveSent = false
  /** The number of the first token that was not passed on yet. */
  #passed = 0
  #resumes = 0
  #isResumed = false
  #isFinished = false

  constructor (options: AttemptOptions, call: EngineCall, signal: AbortSignal) {
    this.#options = options
    this.#call = call
    this.#signal = signal
    this.#assembly = new Assembly(call.attemptId)
  }

  /** Runs it; the last event is a finish or a failure. A reader that leaves early cancels the stream. */
  async * run (): AsyncGenerator<EngineEvent, void, undefined> {
    const cancel = () => this.#reader?.giveUp('cancelled')
    this.#signal.addEventListener('abort', cancel)
    let isOver = false
    try {
      while (!isOver) {
        const event = await this.#next()
        isOver = event.type !== 'chunk'
        yield event
      }
    } finally {
      this.#signal.removeEventListener('abort', cancel)
      this.#reader?.giveUp('left')
      if (!this.#isFinished && this.#mayHaveSent) this.#cancelStream()
    }
  }

  /** The next event, from whichever connection brings it. */
  async #next (): Promise<EngineEvent> {
    for (;;) {
      if (this.#signal.aborted) return this.#failed('cancelled')
      const reader = this.#reader ??= this.#connect()
      const event = await reader.next()
      this.#mayHaveSent ||= reader.mayHaveSent
      if (event.type === 'chunk') return this.#pass(event)
      if (event.type === 'finish') return this.#finish(event, reader)
      if (event.type === 'refused') return this.#refused(event.failure)
      reader.giveUp('not trusted any more')
      this.#reader = undefined
      if (event.silent) this.#options.connections.retire(this.#options.address)
      const mayResume = this.#mayHaveSent && this.#resumes < this.#options.resumeLimit
      if (!mayResume) return this.#failed(event.reason)
      await this.#pause()
    }
  }

  #connect (): StreamReader {
    const exchange = this.#mayHaveSent ? this.#resume() : this.#send()
    return new StreamReader(exchange, this.#assembly)
  }

  #pass ({ attemptId, chunk }: Extract<StreamEvent, { type: 'chunk' }>): EngineEvent {
    invariant(attemptId === this.#call.attemptId, 'chunk belongs to its attempt', () => ({ attemptId, call: this.#call.attemptId }))
    invariant(chunk.offset === this.#passed, 'chunk offsets are contiguous', () => ({ offset: chunk.offset, expected: this.#passed }))
    this.#passed += chunk.tokens
    this.#resumes = 0
    return { type: 'chunk', chunk }
  }

  #finish ({ finish }: Extract<StreamEvent, { type: 'finish' }>, reader: StreamReader): EngineEvent {
    invariant(finish.usage.completionTokens === this.#passed, 'a finished answer is whole', () => ({ finish, passed: this.#passed }))
    this.#isFinished = true
    this.#reader = undefined
    reader.letEnd()
    return { type: 'finish', finish }
  }

  /** What a stream's resumption is refused for says nothing of the attempt's first send. */
  #refused (failure: AttemptFailure): EngineEvent {
    if (!this.#isResumed) return { type: 'failure', failure }
    return this.#failed(failure.reason)
  }

  #failed (reason: string): EngineEvent {
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
    this.#isResumed = true
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
