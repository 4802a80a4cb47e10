/**
 * The right to run one non-idempotent request once. A claim is written before the first byte goes
 * to an endpoint and is never passed on: its holder may be paused rather than dead.
 */
import type { Refusal, Result } from '../contract/index.ts'
import type { ClaimSteps } from './claimPoint.ts'

/** The answer of a plain service, as it is kept and given again. */
export interface StoredAnswer {
  readonly status: number
  readonly contentType: string
  /** The body's bytes in base64. */
  readonly body: string
}

/** What names a non-idempotent request. */
export interface ClaimRequest {
  readonly organisation: string
  readonly idempotencyKey: string
  /** A hash of method, path and body: the same key with another hash is refused. */
  readonly requestHash: string
  /** The request's deadline, milliseconds since the epoch: it is not sent after it. */
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
   * @returns the moment on this process's clock; a refusal that is truly `not_run` where the claim could not be marked
   * @example
   * const dispatched = await claim.dispatch()
   */
  dispatch (): Promise<Result<{ readonly sendBefore: number }, Refusal>>
  /**
   * Records the answer, so that a repeat of the request is given it. Where the store gives no reply
   * it goes on trying in the background; the answer may be given to the caller meanwhile.
   *
   * @returns `StoreUnavailable` with run `ran` where it is not known yet that the answer is kept
   * @example
   * await claim.settle({ status: 200, contentType: 'application/json', body })
   */
  settle (answer: StoredAnswer): Promise<Result<void, Refusal>>
  /**
   * Records that the request was provably never sent, so that a repeat may run; it goes on trying in
   * the background where the store gives no reply.
   *
   * @returns `StoreUnavailable` with run `not_run` where the key is not known to be free yet
   * @example
   * if (failure.reach === Reach.Never) await claim.release()
   */
  release (): Promise<Result<void, Refusal>>
  /** Records that it can't be told whether the request ran. */
  markUnknown (): Promise<void>
}

/** What opening a claim found. */
export type ClaimOpenOutcome =
  | { readonly kind: 'mine', readonly claim: Claim }
  | { readonly kind: 'answer', readonly answer: StoredAnswer }
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'mismatch' }

/** Asks the service whether the request ran; undefined where it can't say or can't be reached. */
export type OutcomeQuery = (nonce: string) => Promise<StoredAnswer | 'not_run' | undefined>

/** The claims of all daemons, kept in the table service. */
export interface Claims {
  /** The waits of claims; the one who calls the service waits for it at `ClaimPoint.Call`. */
  readonly steps: ClaimSteps
  /**
   * Claims a request, or finds what became of it.
   *
   * @returns a refusal that is truly `not_run` where the store can't be reached
   * @example
   * const opening = await claims.open(request)
   */
  open (request: ClaimRequest): Promise<Result<ClaimOpenOutcome, Refusal>>
  /**
   * Settles a claim whose outcome is unknown by what the service says, and only then. Where the
   * service says that it did not run, the key is free once nothing sent under it can be under way.
   *
   * @returns `answer` where it ran, `mine` where the key was free and is claimed anew, `unknown` where
   *   that is still all that can be said; a refusal where the store can't be reached
   * @example
   * const resolved = await claims.resolve(request, nonce => askService(nonce))
   */
  resolve (request: ClaimRequest, queryOutcome: OutcomeQuery): Promise<Result<ClaimOpenOutcome, Refusal>>
  /** Makes the changes that can still be made, then ends; called after the last request. */
  stop (): Promise<void>
}
