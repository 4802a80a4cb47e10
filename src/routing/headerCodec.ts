/**
 * What heads of requests and answers say, apart from the names that carry it on a given platform.
 * A `HeaderCodec` reads and writes those names; forwarding knows only these values.
 */
import type { IncomingHttpHeaders } from 'node:http'

/** Headers by name in lower case. */
export type HeaderMap = Readonly<Record<string, string>>

/** A part of a prompt that requests may share, in the order in which it is read. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What a caller's head says. */
export interface RequestHead {
  /** Names this client attempt; undefined where it is missing or malformed. */
  readonly attemptId: string | undefined
  /** How long the caller waits, in milliseconds; undefined where it does not say. */
  readonly timeoutMilliseconds: number | undefined
  readonly apiKey: string | undefined
  /** The model asked for; undefined for a request of a plain service. */
  readonly model: string | undefined
  /** Whether the system is to choose the model. */
  readonly acceptsAnyModel: boolean
  readonly promptTokens: number
  readonly maximumOutputTokens: number
  readonly promptParts: readonly PromptPart[]
  readonly session: string | undefined
  /** The last event of an earlier answer that the caller holds. */
  readonly lastEventId: string | undefined
  /** Why the head can't be used; undefined where it can. */
  readonly error: string | undefined
}

/** What the system adds to an attempt at an endpoint. */
export interface AttemptHead {
  readonly timeoutMilliseconds: number
  readonly endpointIdentity: string
  readonly organisation: string | undefined
  readonly model: string | undefined
  readonly lastEventId: string | undefined
  /** 0 is the most urgent; undefined for a plain service. */
  readonly priority: number | undefined
}

/** What an endpoint's head says. */
export interface ResponseHead {
  /** The client attempt that the answer belongs to. */
  readonly attemptId: string | undefined
  /** Whether the endpoint's own seal came with it. */
  readonly isSealed: boolean
  /** Whether it states that the request did not run and never will. */
  readonly wasNotExecuted: boolean
  /** The model's own opinion of its answer, 0 to 100. */
  readonly confidence: number | undefined
  /** Whether its body was changed on the way. */
  readonly isEncoded: boolean
}

/** Reads and writes a platform's heads. */
export interface HeaderCodec {
  readRequestHead (headers: IncomingHttpHeaders): RequestHead
  /**
   * The headers of an attempt: the caller's, without those of one connection and those that are the
   * system's to set, and with the system's own.
   */
  writeAttemptHeaders (headers: IncomingHttpHeaders, head: AttemptHead): Record<string, string>
  readResponseHead (headers: IncomingHttpHeaders): ResponseHead
  /** The headers of an answer as a caller gets them, without those of one connection. */
  writeResponseHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]>
  /** The header that says when to come back. */
  writeRetryAfter (milliseconds: number): HeaderMap
}
