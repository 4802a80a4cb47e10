/** Responses of the gateway itself to requests without a response from an endpoint. */
import type { ServerResponse } from 'node:http'
import { type BlockedPrompt, isRequestPart } from '../breaker/index.ts'
import { Ineligibility } from '../placement/index.ts'
import type { HeaderCodec } from '../routing/index.ts'
import { endAfterRequest } from '../server/index.ts'

/** A refusal by this daemon. */
export interface ForwardRefusal {
  readonly code: string
  readonly status: number
  /** When a retry may succeed, in milliseconds; undefined if a retry can't help or nothing is guaranteed. */
  readonly retryAfterMilliseconds: number | undefined
}

function refusal (code: string, status: number, retryAfterMilliseconds?: number): ForwardRefusal {
  return { code, status, retryAfterMilliseconds }
}

/** A gateway lacks settings after its start only while the store is out, which lasts longer than a start. */
const startUpRetryMilliseconds = 2_000
const noEndpointRetryMilliseconds = 500
/** Only an operator's change or the return of a region's endpoints helps, neither of which is a matter of moments. */
const noAllowedRegionRetryMilliseconds = 2_000
const evacuatedRetryMilliseconds = 1_000
const overloadRetryMilliseconds = 300
/** While this gateway can't tell when a place comes, another one may have some. */
const unknownPlaceRetryMilliseconds = 1_000
const stoppingRetryMilliseconds = 50
const memoryFullRetryMilliseconds = 1_000

/**
 * All refusals. A 503 guarantees that the request was not executed and never will be; 502 and 504 guarantee nothing.
 */
export const ForwardRefusals = {
  noSettings: refusal('no_settings', 503, startUpRetryMilliseconds),
  stopping: refusal('stopping', 503, stoppingRetryMilliseconds),
  unknownRoute: refusal('unknown_route', 404),
  unknownKey: refusal('unknown_key', 401),
  malformedHead: refusal('malformed_head', 400),
  headTooLarge: refusal('head_too_large', 431),
  bodyTooLarge: refusal('body_too_large', 413),
  memoryFull: refusal('memory_full', 503, memoryFullRetryMilliseconds),
  noEndpoint: refusal('no_endpoint', 503, noEndpointRetryMilliseconds),
  noAllowedRegion: refusal('no_allowed_region', 503, noAllowedRegionRetryMilliseconds),
  evacuated: refusal('evacuated', 503, evacuatedRetryMilliseconds),
  endpointsFull: refusal('endpoints_full', 503, overloadRetryMilliseconds),
  /** Of a caller that sends nothing more, and may still read. */
  callerLeft: refusal('caller_left', 503),
  notSentInTime: refusal('not_sent_in_time', 503, overloadRetryMilliseconds),
  attemptLost: refusal('attempt_lost', 502),
  timedOut: refusal('timed_out', 504)
} as const

const refusalsByIneligibility = {
  [Ineligibility.NoEndpoint]: ForwardRefusals.noEndpoint,
  [Ineligibility.NoAllowedRegion]: ForwardRefusals.noAllowedRegion,
  [Ineligibility.Evacuated]: ForwardRefusals.evacuated
} as const

/**
 * The refusal of a request that may reach no endpoint.
 *
 * @example
 * callerResponse.refuse(unreachable(Ineligibility.Evacuated))
 */
export function unreachable (ineligibility: Ineligibility): ForwardRefusal {
  return refusalsByIneligibility[ineligibility]
}

/**
 * The refusal while all endpoints of a service want no requests: callers return when the first does again.
 *
 * @example
 * callerResponse.refuse(endpointsOverloaded(1_200))
 */
export function endpointsOverloaded (milliseconds: number): ForwardRefusal {
  return refusal('endpoints_overloaded', 503, Math.max(overloadRetryMilliseconds, milliseconds))
}

/**
 * The refusal while the rate limits of all endpoints are used up: callers return when a place is likely to be free.
 *
 * @param milliseconds infinite if it is not known when one is
 * @example
 * callerResponse.refuse(endpointsLimited(800))
 */
export function endpointsLimited (milliseconds: number): ForwardRefusal {
  const known = Number.isFinite(milliseconds) ? milliseconds : unknownPlaceRetryMilliseconds
  return refusal('endpoints_limited', 503, Math.max(overloadRetryMilliseconds, known))
}

/**
 * The refusal of a request that crashes endpoints, or whose prompt has a part that does: the caller may return when it is tried again.
 *
 * @example
 * callerResponse.refuse(contentBlocked(block))
 */
export function contentBlocked ({ part, retryAfterMilliseconds }: BlockedPrompt): ForwardRefusal {
  return refusal(isRequestPart(part) ? 'request_blocked' : 'prompt_blocked', 503, retryAfterMilliseconds)
}

/** Sends a refusal as a JSON document, also if the caller is still sending its request. */
export function sendRefusal (response: ServerResponse, refusal: ForwardRefusal, codec: HeaderCodec): void {
  const body = JSON.stringify({ error: refusal.code })
  const retryAfter = refusal.retryAfterMilliseconds === undefined ? {} : codec.writeRetryAfter(refusal.retryAfterMilliseconds)
  response.writeHead(refusal.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...retryAfter })
  if (response.req.complete) {
    response.end(body)
    return
  }
  response.write(body)
  endAfterRequest(response)
}
