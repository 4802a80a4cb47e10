/**
 * Refusals are results, not exceptions. They state why a request has no complete answer, whether it
 * may have been executed, and when a retry can succeed. `not_run` is a guarantee: no attempt of the
 * request has reached an endpoint and none can reach one later.
 */

import { promisesNotRun, unpromisingStatus } from './notRunPromise.ts'

/** Whether a refused request was executed. */
export const RunState = {
  NotRun: 'not_run',
  Ran: 'ran',
  Unknown: 'unknown'
} as const
export type RunState = typeof RunState[keyof typeof RunState]

/** Error codes with their HTTP status, as far as a refusal's run state allows it. */
export const RefusalCode = {
  InvalidRequest: { name: 'invalid_request', status: 400 },
  InvalidSession: { name: 'invalid_session', status: 400 },
  InvalidApiKey: { name: 'invalid_api_key', status: 401 },
  ModelNotFound: { name: 'model_not_found', status: 404 },
  PathNotFound: { name: 'path_not_found', status: 404 },
  ServiceNotFound: { name: 'service_not_found', status: 404 },
  RequestTimeout: { name: 'request_timeout', status: 408 },
  RequestStillRunning: { name: 'request_still_running', status: 409 },
  SessionVersionWithdrawn: { name: 'session_version_withdrawn', status: 410 },
  BodyTooLarge: { name: 'body_too_large', status: 413 },
  IdempotencyKeyReused: { name: 'idempotency_key_reused', status: 422 },
  IdempotencyKeyMissing: { name: 'idempotency_key_missing', status: 400 },
  PromptBlocked: { name: 'prompt_blocked', status: 422 },
  RequestBlocked: { name: 'request_blocked', status: 422 },
  ShareExceeded: { name: 'share_exceeded', status: 429 },
  DeadlineTooNear: { name: 'deadline_too_near', status: 429 },
  Overloaded: { name: 'overloaded', status: 503 },
  NoEndpoint: { name: 'no_endpoint', status: 503 },
  StoreUnavailable: { name: 'store_unavailable', status: 503 },
  CallerLeft: { name: 'caller_left', status: 503 },
  Stopping: { name: 'stopping', status: 503 },
  EndpointFailed: { name: 'endpoint_failed', status: 502 },
  AnswerCutOff: { name: 'answer_cut_off', status: 502 },
  DeadlineExceeded: { name: 'deadline_exceeded', status: 504 },
  OutcomeUnknown: { name: 'outcome_unknown', status: 504 }
} as const
export type RefusalCode = typeof RefusalCode[keyof typeof RefusalCode]

/**
 * The reason why a request has no complete answer.
 *
 * @example
 * return Err(new Refusal(RefusalCode.StoreUnavailable, RunState.NotRun, 'the claim could not be written', 2))
 */
export class Refusal {
  readonly code: RefusalCode
  /** Whether any attempt was or may have been executed. */
  readonly run: RunState
  /** Human-readable text for the caller. */
  readonly message: string
  /** Seconds after which a retry can succeed; undefined if it can't. */
  readonly retryAfterSeconds: number | undefined

  constructor (code: RefusalCode, run: RunState, message: string, retryAfterSeconds?: number) {
    this.code = code
    this.run = run
    this.message = message
    this.retryAfterSeconds = retryAfterSeconds
  }

  /** HTTP status for the caller; that of the code, unless it would promise that a request which may have run was not. */
  get status (): number {
    const isFalsePromise = this.run !== RunState.NotRun && promisesNotRun(this.code.status)
    return isFalsePromise ? unpromisingStatus : this.code.status
  }
}
