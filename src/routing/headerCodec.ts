/**
 * Contents of request and response headers, independent of a platform's header names. A `HeaderCodec`
 * maps between them and the platform's headers; forwarding uses only these values.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { RateAnnouncement } from '../rateLimit/index.ts'

/** Headers by name in lower case. */
export type HeaderMap = Readonly<Record<string, string>>

/** A part of a prompt that requests may share; parts are listed in prompt order. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Decoded headers of a caller's request. */
export interface RequestHead {
  /** Identifies this attempt of the client; undefined if missing or malformed. */
  readonly attemptId: string | undefined
  /** How long the caller waits, in milliseconds; undefined if not stated. */
  readonly timeoutMilliseconds: number | undefined
  readonly apiKey: string | undefined
  /** The model asked for; undefined for a request of a plain service. */
  readonly model: string | undefined
  /** Whether the system chooses the model. */
  readonly acceptsAnyModel: boolean
  readonly promptTokens: number
  readonly maximumOutputTokens: number
  readonly promptParts: readonly PromptPart[]
  readonly session: string | undefined
  /** ID of the last event that the caller received of an earlier response. */
  readonly lastEventId: string | undefined
  /** Why the headers are invalid; undefined if they are valid. */
  readonly error: string | undefined
}

/** Values that the system adds to the headers of an attempt at an endpoint. */
export interface AttemptHead {
  readonly timeoutMilliseconds: number
  readonly endpointIdentity: string
  readonly organisation: string | undefined
  readonly model: string | undefined
  readonly lastEventId: string | undefined
  /** 0 is the most urgent; undefined for a plain service. */
  readonly priority: number | undefined
}

/** Decoded headers of an endpoint's response. */
export interface ResponseHead {
  /** The client attempt that the response belongs to; undefined if it can't be told. */
  readonly attemptId: string | undefined
  /** The identity of the endpoint that responds; undefined if it does not say. */
  readonly responder?: string | undefined
  /** Whether the response carries the endpoint's seal. */
  readonly isSealed: boolean
  /** Whether it states that the request was not executed and never will be. */
  readonly wasNotExecuted: boolean
  /** The model's confidence in its response, 0 to 100. */
  readonly confidence: number | undefined
  /** Whether the body has a content encoding, that is, was changed in transit. */
  readonly isEncoded: boolean
  /** Whether the endpoint is draining: it is about to leave and wants no new work. */
  readonly isDraining: boolean
  /** For how long the endpoint wants no further requests, in milliseconds; undefined if it does not say. */
  readonly retryAfterMilliseconds: number | undefined
  readonly rateLimit: RateAnnouncement
  /** How much longer the endpoint warms up, in milliseconds; undefined if it does not say. */
  readonly warmUpMilliseconds?: number | undefined
  /** Why a header is invalid and was ignored; undefined if all are valid. */
  readonly error: string | undefined
}

/** Reads and writes a platform's headers. */
export interface HeaderCodec {
  readRequestHead (headers: IncomingHttpHeaders): RequestHead
  /**
   * Returns the headers of an attempt: the caller's headers without hop-by-hop headers and those that
   * only the system may set, plus the system's own. In the order in which they are sent, which an object
   * does not keep for names that are numbers.
   */
  writeAttemptHeaders (headers: IncomingHttpHeaders, head: AttemptHead): ReadonlyMap<string, string>
  readResponseHead (headers: IncomingHttpHeaders): ResponseHead
  /** Returns the response headers for the caller, without hop-by-hop headers. */
  writeResponseHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]>
  /** Returns the header that states when to retry. */
  writeRetryAfter (milliseconds: number): HeaderMap
}
