/**
 * Reads an attempt's stream from one connection, until the answer ends or the connection fails. The
 * assembler keeps the position in the answer and outlives the connection.
 */
import type { AssemblyResult, StreamAssembler } from './streamAssembler.ts'
import { isFramed } from './collectResponse.ts'
import { AttemptFailure, DeliveryState } from './contract.ts'
import { EventStreamDecoder } from './eventStreamDecoder.ts'
import type { Exchange } from './exchange.ts'
import type { ExchangeEvent, ResponseHeadEvent } from './exchangeContract.ts'

/** Events of one connection: any number of chunks, then how it ended. */
export type StreamEvent =
  | Extract<AssemblyResult, { type: 'chunk' | 'finish' }>
  /** The engine responded with an error status instead of a stream. */
  | { readonly type: 'refused', readonly failure: AttemptFailure }
  /** The connection failed; the stream may be resumed over another one. */
  | { readonly type: 'lost', readonly reason: string, readonly timedOut: boolean }

const okStatus = 200
const conflictStatus = 409
const firstServerErrorStatus = 500
const unavailableStatus = 503

/** Reads the part of a stream that one connection delivers. */
export class StreamReader {
  readonly #exchange: Exchange
  readonly #assembler: StreamAssembler
  readonly #decoder = new EventStreamDecoder()
  readonly #onHead: (head: ResponseHeadEvent) => void
  #pendingData: string[] = []

  /** @param onHead called when the head of the response has arrived */
  constructor (exchange: Exchange, assembler: StreamAssembler, onHead: (head: ResponseHeadEvent) => void = () => undefined) {
    this.#exchange = exchange
    this.#onHead = onHead
    this.#assembler = assembler
  }

  /** Returns the next chunk, or how the connection ended. */
  async next (): Promise<StreamEvent> {
    for (;;) {
      const assembled = this.#assembleNext()
      if (assembled !== undefined) return assembled
      const event = await this.#exchange.next()
      if (event.type === 'end' || event.type === 'failure') return lostEvent(event)
      if (event.type === 'head') this.#onHead(event)
      if (event.type === 'head' && event.status !== okStatus) return this.#rejected(event)
      if (event.type === 'data' && !this.#decode(event.bytes)) return lostEvent({ type: 'failure', reason: 'stream line exceeds the maximum length', timedOut: false })
    }
  }

  /** Closes the connection. */
  abort (reason: string): void {
    this.#exchange.abort(reason)
  }

  /** Discards the rest; the connection is reusable once its exchange has ended. */
  discardRest (): void {
    this.#exchange.discardRest()
  }

  /** Whether any byte of the request can have left this process. */
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

  /**
   * Counts as a rejection only if it is whole and carries the attempt's id, because a connection may deliver the response
   * to another request. Nothing of its body is needed.
   */
  async #rejected (head: ResponseHeadEvent): Promise<StreamEvent> {
    this.#exchange.discardRest()
    const { type: end } = await this.#exchange.next()
    const isWhole = end === 'end' && isFramed(head)
    const isRejection = head.status < firstServerErrorStatus ? head.status !== conflictStatus : head.status === unavailableStatus
    const namesAttempt = head.headers['x-attempt-id'] === this.#assembler.attemptId
    const delivery = isRejection && namesAttempt && isWhole ? DeliveryState.Rejected : DeliveryState.PossiblySent
    const seconds = Number(head.headers['retry-after'])
    const retryAfterSeconds = Number.isFinite(seconds) ? seconds : undefined
    return { type: 'refused', failure: new AttemptFailure(delivery, `status ${head.status}`, retryAfterSeconds) }
  }
}

function lostEvent (event: Extract<ExchangeEvent, { type: 'end' | 'failure' }>): StreamEvent {
  if (event.type === 'end') return { type: 'lost', reason: 'stream ended before the answer was complete', timedOut: false }
  return { type: 'lost', reason: event.reason, timedOut: event.timedOut }
}
