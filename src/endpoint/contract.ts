/**
 * Client interfaces for endpoints. Every failure carries the delivery state of its request, because
 * a caller may be told `not_run` only if no attempt can have run.
 */
import type { ReadRateAnnouncement } from '../rateLimit/index.ts'
import type { ChatMessage, EndpointDescription, LoadReport, Priority, Result, TokenUsage, VersionName } from '../contract/index.ts'

/** Whether the request of a failed attempt can have reached the endpoint. */
export const DeliveryState = {
  /** No byte of the request has left this process, and none will. */
  NotSent: 'never',
  /** The endpoint rejected the request before running it, in a complete, well-formed response. */
  Rejected: 'refused',
  /** Some bytes may have arrived; whether the request ran is not known. */
  PossiblySent: 'maybe'
} as const
export type DeliveryState = typeof DeliveryState[keyof typeof DeliveryState]

/** Why an attempt produced no complete response. */
export class AttemptFailure {
  readonly delivery: DeliveryState
  readonly reason: string
  /** Seconds from the endpoint's `Retry-After` header. */
  readonly retryAfterSeconds: number | undefined

  constructor (delivery: DeliveryState, reason: string, retryAfterSeconds?: number) {
    this.delivery = delivery
    this.reason = reason
    this.retryAfterSeconds = retryAfterSeconds
  }
}

/** Decides on each request to one endpoint, and hears what its responses say of its rate limit. */
export interface SendGate {
  /** Called in the event-loop turn that writes the request; false holds it back. */
  trySend (): boolean
  /** Called for a request that has to reach this endpoint, and is therefore not held back. */
  charge (): void
  /** Called for each response. */
  recordResponse (read: ReadRateAnnouncement, isServed: boolean): void
}

/** One attempt at a chat completion. */
export interface EngineCall {
  /** Unique per attempt; frames that carry another identifier belong to another attempt. */
  readonly attemptId: string
  readonly version: VersionName
  readonly messages: readonly ChatMessage[]
  readonly maximumTokens: number
  readonly priority: Priority
  readonly prefixKey: string
  /** W3C trace context of the attempt's span. */
  readonly traceParent: string | undefined
  /** Absent if the endpoint has no rate limit. */
  readonly gate?: SendGate
}

/** Part of a completion. Chunks arrive in order and without gaps. */
export interface EngineChunk {
  /** Zero-based position of the chunk's first token in the completion. */
  readonly offset: number
  readonly text: string
  readonly tokens: number
}

/** End of a complete answer. */
export interface EngineFinish {
  readonly reason: 'stop' | 'length'
  readonly usage: TokenUsage
}

/** Events of an attempt: any number of chunks, then exactly one finish or failure. */
export type EngineEvent =
  | { readonly type: 'chunk', readonly chunk: EngineChunk }
  | { readonly type: 'finish', readonly finish: EngineFinish }
  | { readonly type: 'failure', readonly failure: AttemptFailure }

/** A call to a plain service. */
export interface ServiceCall {
  readonly method: string
  /** Path relative to the service's root, including the query string. */
  readonly path: string
  readonly contentType: string | undefined
  readonly body: Uint8Array | undefined
  /** Forwarded to the service if the call is not idempotent. */
  readonly idempotencyKey: string | undefined
  readonly traceParent: string | undefined
  /** Absent if the endpoint has no rate limit. */
  readonly gate?: SendGate
}

/** Complete response of a plain service. */
export interface ServiceResponse {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** Tells an engine to load or unload a version; `fencing` is the fencing number of the sender's lease. */
export interface EngineOrder {
  readonly fencing: number
  readonly action: 'load' | 'unload'
  readonly version: VersionName
}

/** Calls model engines. */
export interface EngineClient {
  /**
   * Runs an attempt. The consumer's pace limits the stream. A connection without heartbeats times
   * out, and the stream resumes at its token offset over a new connection.
   *
   * @param signal cancels the attempt and its stream at the engine
   */
  generate (endpoint: EndpointDescription, call: EngineCall, signal: AbortSignal): AsyncIterable<EngineEvent>
  /** Fetches an engine's load report. */
  report (endpoint: EndpointDescription, signal: AbortSignal): Promise<Result<LoadReport, AttemptFailure>>
  /** Sends an order. Engines that check fencing reject an outdated fencing number. */
  order (endpoint: EndpointDescription, order: EngineOrder, signal: AbortSignal): Promise<Result<void, AttemptFailure>>
}

/** Calls plain services. */
export interface ServiceClient {
  /**
   * Sends the call at most once; the client never retries.
   *
   * @param mayStillSend checked in the event-loop turn that writes the first byte, so that a process
   *   that was paused past the claim's deadline does not send
   * @param signal ends the call; with `overdueReason` only once what had arrived of its answer is read
   */
  call (endpoint: EndpointDescription, call: ServiceCall, mayStillSend: () => boolean, signal: AbortSignal): Promise<Result<ServiceResponse, AttemptFailure>>
  /** Asks the service whether the call with this key ran; undefined if the service can't tell. */
  lookUpRun (endpoint: EndpointDescription, idempotencyKey: string, signal: AbortSignal): Promise<Result<ServiceResponse | 'not_run' | undefined, AttemptFailure>>
}
