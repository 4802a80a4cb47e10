/**
 * The right to run one non-idempotent request once. A claim is written before the first byte goes
 * to an endpoint and is never passed on: its holder may be paused rather than dead.
 */
import type { Refusal, Result } from '../contract/index.ts'

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
   * @returns a refusal that is truly `not_run` where the claim could not be marked
   */
  dispatch (): Promise<Result<{ readonly sendBefore: number }, Refusal>>
  /** Records the answer, so that a repeat of the request is given it. */
  settle (answer: StoredAnswer): Promise<Result<void, Refusal>>
  /** Records that the request was provably never sent, so that a repeat may run. */
  release (): Promise<Result<void, Refusal>>
  /** Records that it can't be told whether the request ran. */
  leaveUnknown (): Promise<void>
}

/** What opening a claim found. */
export type ClaimOpening =
  | { readonly found: 'mine', readonly claim: Claim }
  | { readonly found: 'answer', readonly answer: StoredAnswer }
  | { readonly found: 'running' }
  | { readonly found: 'unknown' }
  | { readonly found: 'mismatch' }

/** The claims of all daemons, kept in the table service. */
export interface Claims {
  /**
   * Claims a request, or finds what became of it.
   *
   * @returns a refusal that is truly `not_run` where the store can't be reached
   */
  open (request: ClaimRequest): Promise<Result<ClaimOpening, Refusal>>
}
