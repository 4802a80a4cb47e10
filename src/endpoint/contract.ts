/**
 * Calls to endpoints. A failure says how far the request can have come, for everything that is
 * said to the caller about `not_run` rests on it.
 */
import type { ChatMessage, EndpointDescription, LoadReport, Priority, Result, TokenUsage, VersionName } from '../contract/index.ts'

/** How far a failed attempt can have come. */
export const DeliveryState = {
  /** No byte of the request can have left this process, now or later. */
  NotSent: 'never',
  /** The endpoint refused it before running it, in a whole, well-formed answer. */
  Rejected: 'refused',
  /** Some bytes may have arrived. */
  PossiblySent: 'maybe'
} as const
export type DeliveryState = typeof DeliveryState[keyof typeof DeliveryState]

/** Why an attempt has no whole answer. */
export class AttemptFailure {
  readonly delivery: DeliveryState
  readonly reason: string
  /** The endpoint asks to be left alone for so long. */
  readonly retryAfterSeconds: number | undefined

  constructor (delivery: DeliveryState, reason: string, retryAfterSeconds?: number) {
    this.delivery = delivery
    this.reason = reason
    this.retryAfterSeconds = retryAfterSeconds
  }
}

/** One attempt at a chat completion. */
export interface EngineCall {
  /** Unique to the attempt: an answer that names another is not this one's. */
  readonly attemptId: string
  readonly version: VersionName
  readonly messages: readonly ChatMessage[]
  readonly maximumTokens: number
  readonly priority: Priority
  readonly prefixKey: string
  /** W3C trace context of the attempt's span. */
  readonly traceParent: string | undefined
}

/** A piece of an answer, in order and without gaps. */
export interface EngineChunk {
  /** The number of this piece's first token in the answer. */
  readonly offset: number
  readonly text: string
  readonly tokens: number
}

/** The end of a whole answer. */
export interface EngineFinish {
  readonly reason: 'stop' | 'length'
  readonly usage: TokenUsage
}

/** What a running attempt yields: pieces, and last either a finish or a failure. */
export type EngineEvent =
  | { readonly type: 'chunk', readonly chunk: EngineChunk }
  | { readonly type: 'finish', readonly finish: EngineFinish }
  | { readonly type: 'failure', readonly failure: AttemptFailure }

/** A call to a plain service. */
export interface ServiceCall {
  readonly method: string
  /** The path below the service's root, with its query. */
  readonly path: string
  readonly contentType: string | undefined
  readonly body: Uint8Array | undefined
  /** Sent to the service where the call is not idempotent. */
  readonly idempotencyKey: string | undefined
  readonly traceParent: string | undefined
}

/** A plain service's whole answer. */
export interface ServiceResponse {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** An order to an engine, with the fencing number of the lease under which it is given. */
export interface EngineOrder {
  readonly fencing: number
  readonly action: 'load' | 'unload'
  readonly version: VersionName
}

/** Calls model engines. */
export interface EngineClient {
  /**
   * Runs an attempt. Pieces come as fast as they are taken; a silent connection is found by the
   * engine's heartbeats and the stream resumed at its offset over a new one.
   *
   * @param signal cancels the attempt and the engine's stream
   */
  generate (endpoint: EndpointDescription, call: EngineCall, signal: AbortSignal): AsyncIterable<EngineEvent>
  /** Reads an engine's load. */
  report (endpoint: EndpointDescription, signal: AbortSignal): Promise<Result<LoadReport, AttemptFailure>>
  /** Gives an order; engines that check it refuse an old fencing number. */
  order (endpoint: EndpointDescription, order: EngineOrder, signal: AbortSignal): Promise<Result<void, AttemptFailure>>
}

/** Calls plain services. */
export interface ServiceClient {
  /**
   * Calls once; it never sends the call twice of its own accord.
   *
   * @param mayStillSend asked in the same turn of the event loop in which the first byte is written:
   *   a process that was paused past the claim's deadline must not send
   */
  call (endpoint: EndpointDescription, call: ServiceCall, mayStillSend: () => boolean, signal: AbortSignal): Promise<Result<ServiceResponse, AttemptFailure>>
  /** Asks whether a key has been run; undefined where the service can't say. */
  lookUpRun (endpoint: EndpointDescription, idempotencyKey: string, signal: AbortSignal): Promise<Result<ServiceResponse | 'not_run' | undefined, AttemptFailure>>
}
