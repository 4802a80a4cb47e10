/**
 * Records why the gateway gives a run up: what was known of its endpoint at that moment, and what was certain of the
 * attempt that may follow. A run that breaks off by itself is not given up.
 */
import type { LogFields } from '../observe/index.ts'
import type { RequestHead, RoutedEndpoint } from '../routing/index.ts'
import type { ForwardingDependencies } from './forwardingDependencies.ts'
import type { OpenAttempt } from './openAttempt.ts'

/** Why a run is given up. */
export const GiveUpReason = {
  /** Nothing was received for so long that another run is to answer. */
  Silence: 'silence',
  /** The request's deadline has passed. */
  Deadline: 'deadline',
  /** The answer of its model is not good enough. */
  LargerModel: 'larger_model'
} as const
export type GiveUpReason = typeof GiveUpReason[keyof typeof GiveUpReason]

/** The request whose run is given up. */
export interface GivenUpRequest {
  readonly head: Pick<RequestHead, 'attemptId'>
  readonly service: string
  /** Milliseconds of the process's clock. */
  readonly now: number
  readonly dependencies: Pick<ForwardingDependencies, 'log' | 'metrics'>
  readonly attempts: { readonly left: number, readonly allowsRetry: boolean }
  readonly selection: { readonly untriedCount: number, readonly untriedWithPlaceCount: number }
}

/** Signs of life of a run's endpoint. */
interface EndpointSigns {
  /** Time since anything of the run's response was received, or since it was sent. */
  readonly runSilentMilliseconds: number
  /** Of this time, that in which this process could not read. */
  readonly heldUpMilliseconds: number
  /** Time since anything was received from the endpoint, by any run; undefined if nothing ever was. */
  readonly endpointSilentMilliseconds: number | undefined
  /** Time since a liveness check saw the endpoint accept a connection; undefined if none did. */
  readonly acceptedMillisecondsAgo: number | undefined
}

/** What had arrived of a run's response, and was not handled when it was due. */
interface LateResponse {
  /** Whether the end or the failure of the response had come. */
  readonly hasEndArrived: boolean
  readonly unreadBytes: number
  /** What was read after the deadline, since it may have arrived before. */
  readonly lateBytes: number
}

/** What is certain of the next attempt, or, where that is being written already, of the one after it. */
interface NextAttempt {
  /** Further attempts that the route allows after the present one. */
  readonly attemptsLeft: number
  readonly isAllowedByBudget: boolean
  /** Endpoints that the request may reach and has not tried. */
  readonly untriedEndpoints: number
  /** Those of them whose rate limit has a place. */
  readonly untriedWithPlace: number
  /** The endpoint to which the next attempt is being written; undefined if there is none. */
  readonly nextEndpoint: string | undefined
}

/**
 * Logs and counts a run that is given up; to be called before it is closed.
 *
 * @param nextEndpoint the endpoint to which the run that takes its place is being written
 * @example
 * recordGivenUp(request, attempt, GiveUpReason.Silence)
 */
export function recordGivenUp (request: GivenUpRequest, attempt: OpenAttempt, reason: GiveUpReason, nextEndpoint?: RoutedEndpoint): void {
  const { dependencies: { log, metrics }, head, service } = request
  metrics.givenUpRuns.inc({ service, reason })
  log.info('run_given_up', {
    request: head.attemptId,
    service,
    endpoint: attempt.endpoint.identity,
    model: attempt.model,
    reason,
    ...fieldsOf(signsOf(attempt, request.now)),
    ...fieldsOf(lateResponseOf(attempt)),
    ...fieldsOf(nextAttemptOf(request, nextEndpoint))
  })
}

function signsOf ({ exchange, tracker }: OpenAttempt, now: number): EndpointSigns {
  return {
    runSilentMilliseconds: Math.round(now - exchange.lastActivityAt),
    heldUpMilliseconds: Math.round(exchange.heldUpMilliseconds),
    endpointSilentMilliseconds: finiteOrUndefined(tracker.silentMilliseconds(now)),
    acceptedMillisecondsAgo: finiteOrUndefined(tracker.unacceptedMilliseconds(now))
  }
}

function lateResponseOf ({ exchange }: OpenAttempt): LateResponse {
  return { hasEndArrived: exchange.hasEnded, unreadBytes: exchange.bufferedBytes, lateBytes: exchange.lateBytes }
}

function nextAttemptOf ({ attempts, selection }: GivenUpRequest, nextEndpoint: RoutedEndpoint | undefined): NextAttempt {
  return {
    attemptsLeft: attempts.left - 1,
    isAllowedByBudget: attempts.allowsRetry,
    untriedEndpoints: selection.untriedCount,
    untriedWithPlace: selection.untriedWithPlaceCount,
    nextEndpoint: nextEndpoint?.identity
  }
}

function finiteOrUndefined (milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined
}

function fieldsOf (facts: EndpointSigns | LateResponse | NextAttempt): LogFields {
  return { ...facts }
}
