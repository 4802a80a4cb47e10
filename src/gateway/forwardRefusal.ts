/** How a request ends without an endpoint's answer: the status, what it promises and when to come back. */
import type { ServerResponse } from 'node:http'
import type { HeaderCodec } from '../routing/index.ts'

/** An end that this daemon gives. */
export interface ForwardRefusal {
  readonly code: string
  readonly status: number
  /** When coming back can help, in milliseconds; undefined where it can't or nothing is promised. */
  readonly retryAfterMilliseconds: number | undefined
}

function refusal (code: string, status: number, retryAfterMilliseconds?: number): ForwardRefusal {
  return { code, status, retryAfterMilliseconds }
}

const startUpRetryMilliseconds = 1_000
const noEndpointRetryMilliseconds = 500
const overloadRetryMilliseconds = 300
const stoppingRetryMilliseconds = 50

/**
 * The ends. A 503 says that the request did not run and never will; 502 and 504 promise nothing.
 */
export const ForwardRefusals = {
  noSettings: refusal('no_settings', 503, startUpRetryMilliseconds),
  stopping: refusal('stopping', 503, stoppingRetryMilliseconds),
  unknownRoute: refusal('unknown_route', 404),
  unknownKey: refusal('unknown_key', 401),
  malformedHead: refusal('malformed_head', 400),
  headTooLarge: refusal('head_too_large', 431),
  bodyTooLarge: refusal('body_too_large', 413),
  noEndpoint: refusal('no_endpoint', 503, noEndpointRetryMilliseconds),
  endpointsFull: refusal('endpoints_full', 503, overloadRetryMilliseconds),
  notSentInTime: refusal('not_sent_in_time', 503, overloadRetryMilliseconds),
  attemptLost: refusal('attempt_lost', 502),
  timedOut: refusal('timed_out', 504)
} as const

/** Sends a refusal as a short JSON document. */
export function sendRefusal (response: ServerResponse, refusal: ForwardRefusal, codec: HeaderCodec): void {
  const body = JSON.stringify({ error: refusal.code })
  const retryAfter = refusal.retryAfterMilliseconds === undefined ? {} : codec.writeRetryAfter(refusal.retryAfterMilliseconds)
  response.writeHead(refusal.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...retryAfter })
  response.end(body)
}
