/**
 * A single attempt at an engine, which may span several connections. The engine keeps the stream
 * under the attempt's id. If a connection breaks, times out or delivers faulty frames, the attempt
 * drops it and resumes the stream at the first missing token. Resumes use a dedicated connection,
 * because pooled connections to the same address may have stopped responding too. After
 * `maximumResumes` resumes without a new token the attempt ends with a failure event.
 */
import { type Clock, invariant } from '../contract/index.ts'
import { StreamAssembler } from './streamAssembler.ts'
import type { Connections } from './connections.ts'
import { AttemptFailure, type EngineCall, type EngineEvent, DeliveryState } from './contract.ts'
import type { Exchange } from './exchange.ts'
import type { ResponseHeadEvent } from './exchangeContract.ts'
import { announcementIn } from './rateHeader.ts'
import { type StreamEvent, StreamReader } from './streamReader.ts'

export interface EngineAttemptOptions {
  readonly clock: Clock
  readonly connections: Connections
  readonly address: string
  readonly inactivityTimeoutMilliseconds: number
  /** Consecutive resumes without a new token after which the attempt fails. */
  readonly maximumResumes: number
  /** Milliseconds before the second consecutive resume; doubles with each further one. */
  readonly initialResumeDelayMilliseconds: number
}

const okStatus = 200

/** Runs an attempt and resumes its stream after connection failures. */
export class EngineAttempt {
  readonly #options: EngineAttemptOptions
  readonly #call: EngineCall
  readonly #signal: AbortSignal
  readonly #assembler: StreamAssembler
  #reader: StreamReader | undefined
  #mayHaveSent = false
  /** Position of the first token that has not been emitted. */
  #nextOffset = 0
  #consecutiveResumes = 0
  #isResumed = false
  #isFinished = false

  constructor (options: EngineAttemptOptions, call: EngineCall, signal: AbortSignal) {
    this.#options = options
    this.#call = call
    this.#signal = signal
    this.#assembler = new StreamAssembler(call.attemptId)
  }

  /** Yields the attempt's events; the last is a finish or a failure. Returning early cancels the stream at the engine. */
  async * run (): AsyncGenerator<EngineEvent, void, undefined> {
    const cancel = () => this.#reader?.abort('cancelled')
    this.#signal.addEventListener('abort', cancel)
    let isOver = false
    try {
      while (!isOver) {
        const event = await this.#nextEvent()
        isOver = event.type !== 'chunk'
        yield event
      }
    } finally {
      this.#signal.removeEventListener('abort', cancel)
      this.#reader?.abort('left')
      if (!this.#isFinished && this.#mayHaveSent) this.#cancelStream()
    }
  }

  /** Reads the next event, resuming over new connections as needed. */
  async #nextEvent (): Promise<EngineEvent> {
    for (;;) {
      if (this.#signal.aborted) return this.#failure('cancelled')
      const reader = this.#reader ??= this.#connect()
      const event = await reader.next()
      this.#mayHaveSent ||= reader.mayHaveSent
      if (event.type === 'chunk') return this.#emitChunk(event)
      if (event.type === 'finish') return this.#finish(event, reader)
      if (event.type === 'refused') return this.#rejected(event.failure)
      reader.abort('connection dropped after a failure')
      this.#reader = undefined
      if (event.timedOut) this.#options.connections.retire(this.#options.address)
      const mayResume = this.#mayHaveSent && this.#consecutiveResumes < this.#options.maximumResumes
      if (!mayResume) return this.#failure(event.reason)
      await this.#delayResume()
    }
  }

  #connect (): StreamReader {
    const exchange = this.#mayHaveSent ? this.#resume() : this.#send()
    return new StreamReader(exchange, this.#assembler, head => this.#recordHead(head))
  }

  #recordHead ({ status, headers }: ResponseHeadEvent): void {
    this.#call.gate?.recordResponse(announcementIn(headers), status === okStatus)
  }

  #emitChunk ({ attemptId, chunk }: Extract<StreamEvent, { type: 'chunk' }>): EngineEvent {
    invariant(attemptId === this.#call.attemptId, 'chunk belongs to its attempt', () => ({ attemptId, call: this.#call.attemptId }))
    invariant(chunk.offset === this.#nextOffset, 'chunk offsets are contiguous', () => ({ offset: chunk.offset, expected: this.#nextOffset }))
    this.#nextOffset += chunk.tokens
    this.#consecutiveResumes = 0
    return { type: 'chunk', chunk }
  }

  #finish ({ finish }: Extract<StreamEvent, { type: 'finish' }>, reader: StreamReader): EngineEvent {
    invariant(finish.usage.completionTokens === this.#nextOffset, 'a finished answer is whole', () => ({ finish, passed: this.#nextOffset }))
    this.#isFinished = true
    this.#reader = undefined
    reader.discardRest()
    return { type: 'finish', finish }
  }

  /** A rejected resume does not show that the original request was not run, so it never counts as `Rejected`. */
  #rejected (failure: AttemptFailure): EngineEvent {
    if (!this.#isResumed) return { type: 'failure', failure }
    return this.#failure(failure.reason)
  }

  #failure (reason: string): EngineEvent {
    const delivery = this.#mayHaveSent ? DeliveryState.PossiblySent : DeliveryState.NotSent
    return { type: 'failure', failure: new AttemptFailure(delivery, reason) }
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
    return this.#options.connections.startPooled(this.#options.address, {
      ...this.#exchangeOptions('POST', '/v1/chat/completions', body),
      mayStillSend: () => this.#call.gate?.trySend() ?? true
    })
  }

  #resume (): Exchange {
    this.#consecutiveResumes++
    this.#isResumed = true
    this.#call.gate?.charge()
    const path = `${this.#streamPath}?offset=${this.#assembler.nextOffset}`
    return this.#options.connections.startDedicated(this.#options.address, this.#exchangeOptions('GET', path, undefined))
  }

  async #delayResume (): Promise<void> {
    if (this.#consecutiveResumes === 0) return
    const milliseconds = this.#options.initialResumeDelayMilliseconds * 2 ** (this.#consecutiveResumes - 1)
    await this.#options.clock.sleep(milliseconds, this.#signal)
  }

  /** Cancels the stream at the engine, which would otherwise notice the missing reader only later. */
  #cancelStream (): void {
    this.#call.gate?.charge()
    const exchange = this.#options.connections.startDedicated(this.#options.address, this.#exchangeOptions('DELETE', this.#streamPath, undefined))
    exchange.next().then(() => exchange.discardRest())
  }

  get #streamPath (): string {
    return `/v1/streams/${encodeURIComponent(this.#call.attemptId)}`
  }

  #exchangeOptions (method: string, path: string, body: string | undefined) {
    const headers: Record<string, string> = { 'x-attempt-id': this.#call.attemptId }
    if (body !== undefined) headers['content-type'] = 'application/json'
    if (this.#call.traceParent !== undefined) headers.traceparent = this.#call.traceParent
    const { clock, inactivityTimeoutMilliseconds } = this.#options
    return { clock, inactivityTimeoutMilliseconds, method, path, body, headers, responseMark: this.#call.attemptId, mayStillSend: () => true }
  }
}
