/**
 * The right to run one non-idempotent request once. A claim is written before the first byte goes
 * to an endpoint and is never transferred, because its holder may be paused rather than dead.
 */
import type { Refusal, Result } from '../contract/index.ts'
import type { ClaimSteps } from './claimPoint.ts'

/** The stored answer of a plain service, returned to repeats of the request. */
export interface StoredAnswer {
  readonly status: number
  readonly contentType: string
  /** The body's bytes in base64. */
  readonly body: string
}

/** Identifies a non-idempotent request. */
export interface ClaimRequest {
  readonly organisation: string
  readonly idempotencyKey: string
  /** A hash of method, path and body: the same key with a different hash is refused. */
  readonly requestHash: string
  /** The request's deadline, milliseconds since the epoch. It is never sent later. */
  readonly deadline: number
}

/** A claim that this daemon holds. */
export interface Claim {
  /** Passed to the service with each send, so that the service can refuse a second run of its own accord. */
  readonly nonce: string
  /**
   * The point of no return: marks the claim as dispatching. Only after it succeeds may a byte be sent,
   * and only before `sendBefore`.
   *
   * @returns the latest send time on this process's clock; a refusal for which `not_run` is certain if the claim could not be marked
   * @example
   * const dispatched = await claim.dispatch()
   */
  dispatch (): Promise<Result<{ readonly sendBefore: number }, Refusal>>
  /**
   * Records the answer, so that a repeat of the request gets it. If the store does not reply, the
   * write is retried in the background; the caller may get the answer meanwhile.
   *
   * @returns `StoreUnavailable` with run `ran` if the answer is not yet known to be stored
   * @example
   * await claim.settle({ status: 200, contentType: 'application/json', body })
   */
  settle (answer: StoredAnswer): Promise<Result<void, Refusal>>
  /**
   * Records that the request was provably never sent, so that a repeat may run. If the store
   * does not reply, the write is retried in the background.
   *
   * @returns `StoreUnavailable` with run `not_run` if the key is not yet known to be free
   * @example
   * if (failure.delivery === DeliveryState.NotSent) await claim.release()
   */
  release (): Promise<Result<void, Refusal>>
  /** Records that it is unknown whether the request ran. */
  markUnknown (): Promise<void>
}

export type ClaimOpenOutcome =
  | { readonly kind: 'mine', readonly claim: Claim }
  | { readonly kind: 'answer', readonly answer: StoredAnswer }
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'mismatch' }

/** Asks the service whether the request ran; undefined if it does not know or is unreachable. */
export type OutcomeQuery = (nonce: string) => Promise<StoredAnswer | 'not_run' | undefined>

/** The claims of all daemons, kept in the table service. */
export interface Claims {
  /** Runs the waits of claims; the caller of the service uses it for `ClaimPoint.Call`. */
  readonly steps: ClaimSteps
  /**
   * Claims a request, or finds its current state or outcome.
   *
   * @returns a refusal for which `not_run` is certain if the store is unreachable
   * @example
   * const opening = await claims.open(request)
   */
  open (request: ClaimRequest): Promise<Result<ClaimOpenOutcome, Refusal>>
  /**
   * Resolves a claim with an unknown outcome by asking the service. If the service reports that the
   * request did not run, the key becomes free once nothing sent under it can still be in flight.
   *
   * @returns `answer` if it ran, `mine` if the key was free and has been claimed again, `unknown` if the
   *   outcome is still unknown; a refusal if the store is unreachable
   * @example
   * const resolved = await claims.resolve(request, nonce => askService(nonce))
   */
  resolve (request: ClaimRequest, queryOutcome: OutcomeQuery): Promise<Result<ClaimOpenOutcome, Refusal>>
  /** Applies the queued changes until a timeout, then stops. Call it after the last request. */
  stop (): Promise<void>
}
