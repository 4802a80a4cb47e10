/**
 * Reads an attempt's stream from one connection, until the answer ends or the connection can't be
 * trusted any more. What was passed on so far is kept by the assembly, which outlives connections.
 */
import type { AssemblyResult, StreamAssembler } from './streamAssembler.ts'
import { collectResponse } from './collectResponse.ts'
import { AttemptFailure, DeliveryState } from './contract.ts'
import { EventStreamDecoder } from './eventStreamDecoder.ts'
import type { Exchange, ExchangeEvent } from './exchange.ts'

/** What a connection yields: chunks, and last how it ended. */
export type StreamEvent =
  | Extract<AssemblyResult, { type: 'chunk' | 'finish' }>
  /** The engine answered, and not with a stream. */
  | { readonly type: 'refused', readonly failure: AttemptFailure }
  /** Another connection may take the stream up. */
  | { readonly type: 'lost', readonly reason: string, readonly timedOut: boolean }

const okStatus = 200
const conflictStatus = 409
const firstServerErrorStatus = 500
const unavailableStatus = 503

/** One connection's part of an attempt's stream. */
export class StreamReader {
  readonly #exchange: Exchange
  readonly #assembler: StreamAssembler
  readonly #decoder = new EventStreamDecoder()
  #pendingData: string[] = []

  constructor (exchange: Exchange, assembler: StreamAssembler) {
    this.#exchange = exchange
    this.#assembler = assembler
  }

  /** The next chunk, or the connection's end. */
  async next (): Promise<StreamEvent> {
    for (;;) {
      const assembled = this.#assembleNext()
      if (assembled !== undefined) return assembled
      const event = await this.#exchange.next()
      if (event.type === 'end' || event.type === 'failure') return lostEvent(event)
      if (event.type === 'head' && event.status !== okStatus) return this.#rejected(event)
      if (event.type === 'data' && !this.#decode(event.bytes)) return lostEvent({ type: 'failure', reason: 'a line is too long', timedOut: false })
    }
  }

  /** Cuts the connection. */
  abort (reason: string): void {
    this.#exchange.abort(reason)
  }

  /** Reads no more; the connection can serve others once its exchange has ended. */
  discardRest (): void {
    this.#exchange.discardRest()
  }

  /** Whether any byte of its request can have left. */
  get mayHaveSent (): boolean {
    return this.#exchange.mayHaveSent
  }

  #decode (bytes: Uint8Array): boolean {
    const data = this.#decoder.decode(bytes)
    this.#pendingData = data ?? []
    return data !== undefined
  }

  #assembleNext (): StreamEvent | undefined {
    for (let data = this.#pendingData.shift(); data !== undefined; data = this.#pendingData.shift()) {
      const assembled = this.#assembler.accept(data)
      if (assembled.type === 'fault') return { type: 'lost', reason: assembled.reason, timedOut: false }
      if (assembled.type !== 'nothing') return assembled
    }
    return undefined
  }

  /** A refusal counts as one only where it names the attempt: a connection may bring another's. */
  async #rejected (head: Extract<ExchangeEvent, { type: 'head' }>): Promise<StreamEvent> {
    const body = await collectResponse(this.#exchange)
    const isRejection = head.status < firstServerErrorStatus ? head.status !== conflictStatus : head.status === unavailableStatus
    const namesAttempt = head.headers['x-attempt-id'] === this.#assembler.attemptId
    const delivery = isRejection && namesAttempt && body.ok ? DeliveryState.Rejected : DeliveryState.PossiblySent
    const seconds = Number(head.headers['retry-after'])
    const retryAfterSeconds = Number.isFinite(seconds) ? seconds : undefined
    return { type: 'refused', failure: new AttemptFailure(delivery, `status ${head.status}`, retryAfterSeconds) }
  }
}

function lostEvent (event: Extract<ExchangeEvent, { type: 'end' | 'failure' }>): StreamEvent {
  if (event.type === 'end') return { type: 'lost', reason: 'the stream ended before the answer', timedOut: false }
  return { type: 'lost', reason: event.reason, timedOut: event.timedOut }
}
