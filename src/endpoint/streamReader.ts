/**
 * Reads an attempt's stream from one connection, until the answer ends or the connection can't be
 * trusted any more. What was passed on so far is kept by the assembly, which outlives connections.
 */
import type { Assembled, Assembly } from './assembly.ts'
import { collect } from './collect.ts'
import { AttemptFailure, Reach } from './contract.ts'
import { EventStreamDecoder } from './eventStream.ts'
import type { Exchange, ExchangeEvent } from './exchange.ts'

/** What a connection yields: chunks, and last how it ended. */
export type StreamEvent =
  | Extract<Assembled, { type: 'chunk' | 'finish' }>
  /** The engine answered, and not with a stream. */
  | { readonly type: 'refused', readonly failure: AttemptFailure }
  /** Another connection may take the stream up. */
  | { readonly type: 'lost', readonly reason: string, readonly silent: boolean }

const okStatus = 200
const conflictStatus = 409
const firstServerErrorStatus = 500
const unavailableStatus = 503

/** One connection's part of an attempt's stream. */
export class StreamReader {
  readonly #exchange: Exchange
  readonly #assembly: Assembly
  readonly #decoder = new EventStreamDecoder()
  #data: string[] = []

  constructor (exchange: Exchange, assembly: Assembly) {
    this.#exchange = exchange
    this.#assembly = assembly
  }

  /** The next chunk, or the connection's end. */
  async next (): Promise<StreamEvent> {
    for (;;) {
      const assembled = this.#assembleNext()
      if (assembled !== undefined) return assembled
      const event = await this.#exchange.next()
      if (event.type === 'end' || event.type === 'failure') return lost(event)
      if (event.type === 'head' && event.status !== okStatus) return this.#refused(event)
      if (event.type === 'data' && !this.#decode(event.bytes)) return lost({ type: 'failure', reason: 'a line is too long', silent: false })
    }
  }

  /** Cuts the connection. */
  giveUp (reason: string): void {
    this.#exchange.giveUp(reason)
  }

  /** Reads no more; the connection can serve others once its exchange has ended. */
  letEnd (): void {
    this.#exchange.letEnd()
  }

  /** Whether any byte of its request can have left. */
  get mayHaveSent (): boolean {
    return this.#exchange.mayHaveSent
  }

  #decode (bytes: Uint8Array): boolean {
    const data = this.#decoder.decode(bytes)
    this.#data = data ?? []
    return data !== undefined
  }

  #assembleNext (): StreamEvent | undefined {
    for (let data = this.#data.shift(); data !== undefined; data = this.#data.shift()) {
      const assembled = this.#assembly.accept(data)
      if (assembled.type === 'fault') return { type: 'lost', reason: assembled.reason, silent: false }
      if (assembled.type !== 'nothing') return assembled
    }
    return undefined
  }

  /** A refusal counts as one only where it names the attempt: a connection may bring another's. */
  async #refused (head: Extract<ExchangeEvent, { type: 'head' }>): Promise<StreamEvent> {
    const body = await collect(this.#exchange)
    const isRefusal = head.status < firstServerErrorStatus ? head.status !== conflictStatus : head.status === unavailableStatus
    const isOwn = head.headers['x-attempt-id'] === this.#assembly.attemptId
    const reach = isRefusal && isOwn && body.ok ? Reach.Refused : Reach.Maybe
    const seconds = Number(head.headers['retry-after'])
    const retryAfterSeconds = Number.isFinite(seconds) ? seconds : undefined
    return { type: 'refused', failure: new AttemptFailure(reach, `status ${head.status}`, retryAfterSeconds) }
  }
}

function lost (event: Extract<ExchangeEvent, { type: 'end' | 'failure' }>): StreamEvent {
  if (event.type === 'end') return { type: 'lost', reason: 'the stream ended before the answer', silent: false }
  return { type: 'lost', reason: event.reason, silent: event.silent }
}
