/**
 * A claim in the hands of the daemon that wrote it. Its changes name the version they replace and the
 * nonce they were made under. Once the holder has given up a claim (`#over`) it never sends under its
 * nonce, so `not_run` is true whatever the store did with the writes whose replies were lost; what is
 * left in the row is released in the background.
 */
import { type Clock, Err, invariant, Ok, Refusal, RefusalCode, type Result, RunState } from '../contract/index.ts'
import type { BackgroundChanges } from './backgroundChanges.ts'
import { ClaimPoint } from './claimPoint.ts'
import { type ClaimRow, ClaimState, type ReadClaim } from './claimRow.ts'
import type { ChangeOutcome, ClaimTable } from './claimTable.ts'
import type { Claim, StoredAnswer } from './contract.ts'
import { storeUnavailable } from './refusals.ts'

/** What a held claim works with. */
export interface HeldClaimParts {
  readonly table: ClaimTable
  readonly background: BackgroundChanges
  readonly clock: Clock
  /** How long a change waits for the store. */
  readonly patienceMilliseconds: number
  /** How long after the dispatch began the request may be sent. */
  readonly sendMilliseconds: number
}

const Stage = { Prepared: 'prepared', Dispatched: 'dispatched', Over: 'over' } as const
type Stage = typeof Stage[keyof typeof Stage]

/** States from which a holder may still say how its request ended. */
const open: readonly ClaimState[] = [ClaimState.Prepared, ClaimState.Dispatching, ClaimState.Unknown]

/** A claim that this daemon prepared. */
export class HeldClaim implements Claim {
  readonly #parts: HeldClaimParts
  readonly #key: string
  readonly #prepared: ClaimRow
  readonly #requestDeadline: number
  #version: number
  #stage: Stage = Stage.Prepared

  constructor (parts: HeldClaimParts, key: string, prepared: ClaimRow, version: number, requestDeadline: number) {
    this.#parts = parts
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
    const startedAt = this.#parts.clock.now()
    const sendBefore = Math.min(this.#requestDeadline, startedAt + this.#parts.sendMilliseconds)
    if (startedAt >= Math.min(this.#prepared.deadline, sendBefore)) return this.#giveUp(tooLate())
    const outcome = await this.#change(ClaimPoint.Dispatch, { ...this.#prepared, state: ClaimState.Dispatching, deadline: this.#requestDeadline }, [ClaimState.Prepared], this.#version)
    if (outcome.is === 'barred') return this.#giveUp(voided())
    if (outcome.is !== 'written') return this.#giveUp(storeUnavailable('the claim could not be marked as dispatching'))
    this.#version = outcome.version
    if (this.#parts.clock.now() >= sendBefore) return this.#giveUp(tooLate())
    this.#stage = Stage.Dispatched
    return Ok({ sendBefore })
  }

  async settle (answer: StoredAnswer): Promise<Result<void, Refusal>> {
    invariant(this.#stage === Stage.Dispatched, 'an answer belongs to a dispatched claim', () => ({ key: this.#key, stage: this.#stage }))
    const outcome = await this.#conclude(ClaimPoint.Settle, { ...this.#prepared, state: ClaimState.Done, answer })
    if (outcome.is === 'written') return Ok(undefined)
    return Err(storeUnavailable('the answer is not known to be kept yet', RunState.Ran))
  }

  async release (): Promise<Result<void, Refusal>> {
    if (this.#stage === Stage.Over) return Ok(undefined)
    this.#stage = Stage.Over
    const outcome = await this.#conclude(ClaimPoint.Release, { ...this.#prepared, state: ClaimState.Released })
    if (outcome.is === 'written' || outcome.is === 'barred') return Ok(undefined)
    return Err(storeUnavailable('the key is not known to be free yet'))
  }

  async leaveUnknown (): Promise<void> {
    invariant(this.#stage === Stage.Dispatched, 'only a dispatched claim can be in doubt', () => ({ key: this.#key, stage: this.#stage }))
    await this.#conclude(ClaimPoint.LeaveUnknown, { ...this.#prepared, state: ClaimState.Unknown, deadline: this.#requestDeadline })
  }

  /** Writes how the request ended, and goes on in the background where the store gives no reply. */
  async #conclude (point: ClaimPoint, next: ClaimRow): Promise<ChangeOutcome> {
    const outcome = await this.#change(point, next, open, this.#version)
    if (outcome.is === 'written') this.#version = outcome.version
    if (outcome.is === 'unavailable' || outcome.is === 'untold') this.#continueInBackground(point, next)
    if (outcome.is === 'barred') this.#checkStillMine(outcome.current)
    return outcome
  }

  #giveUp<Value> (refusal: Refusal): Result<Value, Refusal> {
    this.#stage = Stage.Over
    this.#continueInBackground(ClaimPoint.Release, { ...this.#prepared, state: ClaimState.Released })
    return Err(refusal)
  }

  #change (point: ClaimPoint, next: ClaimRow, from: readonly ClaimState[], knownVersion: number): Promise<ChangeOutcome> {
    const until = this.#parts.clock.now() + this.#parts.patienceMilliseconds
    return this.#parts.table.change({ point, key: this.#key, next, knownVersion, until, mayReplace: current => this.#isMineIn(current, from) })
  }

  #continueInBackground (point: ClaimPoint, next: ClaimRow): void {
    this.#parts.background.add({ point, key: this.#key, next, knownVersion: undefined, mayReplace: current => this.#isMineIn(current, open) })
  }

  #isMineIn (current: ReadClaim | undefined, states: readonly ClaimState[]): boolean {
    return current !== undefined && current.row.nonce === this.nonce && states.includes(current.row.state)
  }

  /** A dispatched claim is never taken over, so its row still bears its nonce. */
  #checkStillMine (current: ReadClaim | undefined): void {
    if (this.#stage !== Stage.Dispatched) return
    invariant(current?.row.nonce === this.nonce, 'a dispatched claim is never taken over', () => ({ key: this.#key, current }))
  }
}

function tooLate (): Refusal {
  return new Refusal(RefusalCode.DeadlineExceeded, RunState.NotRun, 'the time in which the request could be sent has passed')
}

function voided (): Refusal {
  return new Refusal(RefusalCode.RequestStillRunning, RunState.NotRun, 'a repeat of the request took its place before it was sent', 1)
}
