/**
 * A claim as seen by its holder. Each change names the version it replaces and the claim's nonce. Once the
 * holder has abandoned a claim (`Stage.Over`), it never sends under its nonce, so `not_run` is correct
 * whether or not the writes whose replies were lost took effect; the row is released in the background.
 */
import { type Clock, Err, invariant, Ok, Refusal, RefusalCode, type Result, RunState } from '../contract/index.ts'
import type { ClaimChangeQueue } from './claimChangeQueue.ts'
import { ClaimPoint } from './claimPoint.ts'
import { type ClaimRow, ClaimState, type VersionedClaimRow } from './claimRow.ts'
import type { ChangeOutcome, ClaimTable } from './claimTable.ts'
import type { Claim, StoredAnswer } from './contract.ts'
import { storeUnavailable } from './refusals.ts'

export interface HeldClaimOptions {
  readonly table: ClaimTable
  readonly changeQueue: ClaimChangeQueue
  readonly clock: Clock
  /** How long a change waits for the store. */
  readonly changeTimeoutMilliseconds: number
  /** How long after the start of the dispatch the request may be sent. */
  readonly sendWindowMilliseconds: number
}

const Stage = { Prepared: 'prepared', Dispatched: 'dispatched', Over: 'over' } as const
type Stage = typeof Stage[keyof typeof Stage]

/** States from which a holder may still record the outcome of its request. */
const openStates: readonly ClaimState[] = [ClaimState.Prepared, ClaimState.Dispatching, ClaimState.Unknown]

/** A claim that this daemon prepared. */
export class HeldClaim implements Claim {
  readonly #options: HeldClaimOptions
  readonly #key: string
  readonly #prepared: ClaimRow
  readonly #requestDeadline: number
  #version: number
  #stage: Stage = Stage.Prepared

  constructor (options: HeldClaimOptions, key: string, prepared: ClaimRow, version: number, requestDeadline: number) {
    this.#options = options
    this.#key = key
    this.#prepared = prepared
    this.#version = version
    this.#requestDeadline = requestDeadline
  }

  get nonce (): string {
    return this.#prepared.nonce
  }

  async dispatch (): Promise<Result<{ readonly sendBefore: number }, Refusal>> {
    invariant(this.#stage === Stage.Prepared, 'a claim is dispatched once, from prepared', () => ({ key: this.#key, stage: this.#stage }))
    const startedAt = this.#options.clock.now()
    const sendBefore = Math.min(this.#requestDeadline, startedAt + this.#options.sendWindowMilliseconds)
    if (startedAt >= Math.min(this.#prepared.deadline, sendBefore)) return this.#abandon(deadlineExceeded())
    const outcome = await this.#change(ClaimPoint.Dispatch, { ...this.#prepared, state: ClaimState.Dispatching, deadline: this.#requestDeadline }, [ClaimState.Prepared], this.#version)
    if (outcome.kind === 'barred') return this.#abandon(claimVoided())
    if (outcome.kind !== 'written') return this.#abandon(storeUnavailable('the claim could not be marked as dispatching'))
    this.#version = outcome.version
    if (this.#options.clock.now() >= sendBefore) return this.#abandon(deadlineExceeded())
    this.#stage = Stage.Dispatched
    return Ok({ sendBefore })
  }

  async settle (answer: StoredAnswer): Promise<Result<void, Refusal>> {
    invariant(this.#stage === Stage.Dispatched, 'an answer belongs to a dispatched claim', () => ({ key: this.#key, stage: this.#stage }))
    const outcome = await this.#conclude(ClaimPoint.Settle, { ...this.#prepared, state: ClaimState.Done, answer })
    if (outcome.kind === 'written') return Ok(undefined)
    return Err(storeUnavailable('the answer is not yet known to be stored', RunState.Ran))
  }

  async release (): Promise<Result<void, Refusal>> {
    if (this.#stage === Stage.Over) return Ok(undefined)
    this.#stage = Stage.Over
    const outcome = await this.#conclude(ClaimPoint.Release, { ...this.#prepared, state: ClaimState.Released })
    if (outcome.kind === 'written' || outcome.kind === 'barred') return Ok(undefined)
    return Err(storeUnavailable('the idempotency key is not yet known to be free'))
  }

  async markUnknown (): Promise<void> {
    invariant(this.#stage === Stage.Dispatched, 'only a dispatched claim can be in doubt', () => ({ key: this.#key, stage: this.#stage }))
    await this.#conclude(ClaimPoint.LeaveUnknown, { ...this.#prepared, state: ClaimState.Unknown, deadline: this.#requestDeadline })
  }

  /** Records the outcome of the request; retries in the background if the store does not reply. */
  async #conclude (point: ClaimPoint, next: ClaimRow): Promise<ChangeOutcome> {
    const outcome = await this.#change(point, next, openStates, this.#version)
    if (outcome.kind === 'written') this.#version = outcome.version
    if (outcome.kind === 'unavailable' || outcome.kind === 'untold') this.#continueInBackground(point, next)
    if (outcome.kind === 'barred') this.#checkStillOwned(outcome.current)
    return outcome
  }

  #abandon<Value> (refusal: Refusal): Result<Value, Refusal> {
    this.#stage = Stage.Over
    this.#continueInBackground(ClaimPoint.Release, { ...this.#prepared, state: ClaimState.Released })
    return Err(refusal)
  }

  #change (point: ClaimPoint, next: ClaimRow, from: readonly ClaimState[], knownVersion: number): Promise<ChangeOutcome> {
    const until = this.#options.clock.now() + this.#options.changeTimeoutMilliseconds
    return this.#options.table.change({ point, key: this.#key, next, knownVersion, until, mayReplace: current => this.#ownsRowIn(current, from) })
  }

  #continueInBackground (point: ClaimPoint, next: ClaimRow): void {
    this.#options.changeQueue.add({ point, key: this.#key, next, knownVersion: undefined, mayReplace: current => this.#ownsRowIn(current, openStates) })
  }

  #ownsRowIn (current: VersionedClaimRow | undefined, states: readonly ClaimState[]): boolean {
    return current !== undefined && current.row.nonce === this.nonce && states.includes(current.row.state)
  }

  /** A dispatched claim is never taken over, so its row must still have its nonce. */
  #checkStillOwned (current: VersionedClaimRow | undefined): void {
    if (this.#stage !== Stage.Dispatched) return
    invariant(current?.row.nonce === this.nonce, 'a dispatched claim is never taken over', () => ({ key: this.#key, current }))
  }
}

function deadlineExceeded (): Refusal {
  return new Refusal(RefusalCode.DeadlineExceeded, RunState.NotRun, 'the request was not sent before its deadline or the end of its send window')
}

function claimVoided (): Refusal {
  return new Refusal(RefusalCode.RequestStillRunning, RunState.NotRun, 'a repeat of the request claimed the idempotency key before it was sent', 1)
}
