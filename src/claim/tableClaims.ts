/**
 * Claims kept in the table service, one row for each (organisation, idempotency key).
 *
 * A claim takes two writes. `prepared` is a conditional insert, and nothing has been sent; `dispatching`
 * is a compare-and-set on the row's version and the point of no return. A prepared claim whose time is
 * over can be voided by anyone through a compare-and-set of their own, after which its holder's dispatch
 * fails; so a holder that was paused, not dead, can't send. A dispatching claim is never taken over, for
 * whether its holder sent can't be known. One state would not do: either a paused holder could send
 * after a take-over, or a holder that died before sending would block the key for ever.
 *
 * Why `not_run` is true when a write's fate can't be told: a request is sent only by the object that
 * holds the nonce, after its dispatch succeeded. An open or dispatch that gives up drops the nonce for
 * good, so nothing is ever sent under it, now or when the lost write takes effect. What a late write
 * leaves is a prepared row, which is voidable, or a dispatching row of ours, which a release in the
 * background frees (its condition is the nonce). Should this process die first, a repeat is told that
 * the outcome is unknown, which withholds a run but never doubles one.
 *
 * `not_run` speaks of this attempt. A row can't be read while the store is out, so an earlier attempt
 * under the same key has had its own answer and may have run.
 */
import { type Clock, Err, Ok, Refusal, RefusalCode, type Result, type Randomness, RunState } from '../contract/index.ts'
import type { TableService } from '../store/index.ts'
import { ClaimChangeQueue } from './claimChangeQueue.ts'
import { type ClaimObserver, ClaimPoint, ClaimSteps } from './claimPoint.ts'
import { answerOf, claimKeyOf, type ClaimRow, ClaimState, type VersionedClaimRow } from './claimRow.ts'
import { ClaimTable } from './claimTable.ts'
import type { ClaimOpenOutcome, ClaimRequest, Claims, OutcomeQuery, StoredAnswer } from './contract.ts'
import { HeldClaim, type HeldClaimOptions } from './heldClaim.ts'
import { storeUnavailable } from './refusals.ts'

/** How long a prepared claim is its holder's alone. */
const preparedLeaseMilliseconds = 5_000

/** How long a claim's change waits for the store. */
const storeTimeoutMilliseconds = 1_500

/** How long after the dispatch began a request may be sent. */
const defaultSendWindowMilliseconds = 10_000

/** After a request's deadline its holder has this long to record the end, then a repeat is told that it is unknown. */
const recordingGraceMilliseconds = 5_000

/**
 * After a request's deadline nothing sent before it can be under way any longer: connections that were
 * silent for so long have been closed by the service. Only then does the service's "not run" free a key.
 */
const maximumInFlightMilliseconds = 600_000

/** What claims work with. */
export interface TableClaimsOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly randomness: Randomness
  /** This VM's name, for operators who read a row. */
  readonly holder: string
  /** Watches every wait; only tests pass one. */
  readonly observer?: ClaimObserver
}

/**
 * The claims of all daemons in the table service.
 *
 * @example
 * const claims = new TableClaims({ table, clock, randomness, holder: 'entry-1' })
 */
export class TableClaims implements Claims {
  readonly #options: TableClaimsOptions
  readonly #table: ClaimTable
  readonly #changeQueue: ClaimChangeQueue
  readonly #heldClaimOptions: HeldClaimOptions
  /** The waits of claims; the caller of the service takes `ClaimPoint.Call` through it. */
  readonly steps: ClaimSteps

  constructor (options: TableClaimsOptions) {
    this.#options = options
    this.steps = new ClaimSteps(options.observer)
    this.#table = new ClaimTable(options.table, options.clock, this.steps)
    this.#changeQueue = new ClaimChangeQueue(this.#table, options.clock, this.steps)
    this.#heldClaimOptions = { table: this.#table, changeQueue: this.#changeQueue, clock: options.clock, changeTimeoutMilliseconds: storeTimeoutMilliseconds, sendWindowMilliseconds: defaultSendWindowMilliseconds }
  }

  /** Changes of claims that wait for the store. */
  get queuedChanges (): number {
    return this.#changeQueue.queuedCount
  }

  /** Changes of claims given up because too many waited. */
  get droppedChanges (): number {
    return this.#changeQueue.droppedCount
  }

  async open (request: ClaimRequest): Promise<Result<ClaimOpenOutcome, Refusal>> {
    const now = this.#options.clock.now()
    if (now >= request.deadline) return Err(new Refusal(RefusalCode.DeadlineExceeded, RunState.NotRun, 'the request was late when it came'))
    const key = claimKeyOf(request)
    const next = this.#preparedRow(request, now)
    const outcome = await this.#table.change({
      point: ClaimPoint.Prepare,
      key,
      next,
      knownVersion: 0,
      until: now + storeTimeoutMilliseconds,
      mayReplace: current => this.#isFree(current)
    })
    if (outcome.kind === 'written') return Ok({ kind: 'mine', claim: new HeldClaim(this.#heldClaimOptions, key, next, outcome.version, request.deadline) })
    if (outcome.kind === 'barred') return Ok(this.#openOutcome(request, outcome.current))
    if (outcome.kind === 'untold') this.#releaseInBackground(key, next)
    return Err(storeUnavailable('the claim could not be written'))
  }

  async resolve (request: ClaimRequest, queryOutcome: OutcomeQuery): Promise<Result<ClaimOpenOutcome, Refusal>> {
    const key = claimKeyOf(request)
    const reading = await this.#table.read(key, this.#options.clock.now() + storeTimeoutMilliseconds)
    if (reading.kind === 'unavailable') return Err(storeUnavailable('the claim could not be read', RunState.Unknown))
    const current = reading.current
    if (current === undefined || this.#openOutcome(request, current).kind !== 'unknown') return this.open(request)
    const reply = await this.steps.wait(ClaimPoint.Ask, () => queryOutcome(current.row.nonce))
    if (reply === undefined) return Ok({ kind: 'unknown' })
    if (reply !== 'not_run') return this.#recordResolved(key, current, reply)
    return this.#releaseAndReopen(request, key, current)
  }

  /** Makes what changes can still be made, then ends; called after the last request. */
  async stop (): Promise<void> {
    await this.#changeQueue.stop(this.#options.clock.now() + storeTimeoutMilliseconds)
  }

  async #recordResolved (key: string, current: VersionedClaimRow, answer: StoredAnswer): Promise<Result<ClaimOpenOutcome, Refusal>> {
    const next: ClaimRow = { ...current.row, state: ClaimState.Done, answer }
    await this.#replace(key, current, next)
    return Ok({ kind: 'answer', answer })
  }

  async #releaseAndReopen (request: ClaimRequest, key: string, current: VersionedClaimRow): Promise<Result<ClaimOpenOutcome, Refusal>> {
    if (this.#options.clock.now() < current.row.deadline + maximumInFlightMilliseconds) return Ok({ kind: 'unknown' })
    const isWritten = await this.#replace(key, current, { ...current.row, state: ClaimState.Released })
    if (!isWritten) return Ok({ kind: 'unknown' })
    return this.open(request)
  }

  async #replace (key: string, current: VersionedClaimRow, next: ClaimRow): Promise<boolean> {
    const until = this.#options.clock.now() + storeTimeoutMilliseconds
    const outcome = await this.#table.change({
      point: ClaimPoint.Resolve,
      key,
      next,
      knownVersion: current.version,
      until,
      mayReplace: found => found?.version === current.version
    })
    return outcome.kind === 'written'
  }

  #preparedRow (request: ClaimRequest, now: number): ClaimRow {
    return {
      state: ClaimState.Prepared,
      requestHash: request.requestHash,
      nonce: this.#options.randomness.identifier(),
      holder: this.#options.holder,
      deadline: Math.min(request.deadline, now + preparedLeaseMilliseconds)
    }
  }

  #isFree (current: VersionedClaimRow | undefined): boolean {
    if (current === undefined || current.row.state === ClaimState.Released) return true
    return current.row.state === ClaimState.Prepared && this.#options.clock.now() >= current.row.deadline
  }

  #openOutcome (request: ClaimRequest, current: VersionedClaimRow | undefined): ClaimOpenOutcome {
    if (current === undefined) return { kind: 'running' }
    const row = current.row
    if (row.requestHash !== request.requestHash) return { kind: 'mismatch' }
    const answer = answerOf(row)
    if (answer !== undefined) return { kind: 'answer', answer }
    if (row.state === ClaimState.Unknown) return { kind: 'unknown' }
    const hasLapsed = row.state === ClaimState.Dispatching && this.#options.clock.now() >= row.deadline + recordingGraceMilliseconds
    return { kind: hasLapsed ? 'unknown' : 'running' }
  }

  #releaseInBackground (key: string, prepared: ClaimRow): void {
    this.#changeQueue.add({
      point: ClaimPoint.Release,
      key,
      next: { ...prepared, state: ClaimState.Released },
      knownVersion: undefined,
      mayReplace: current => current?.row.nonce === prepared.nonce && current.row.state === ClaimState.Prepared
    })
  }
}
