/**
 * Claims kept in the table service, one row for each (organisation, idempotency key).
 *
 * A claim takes two writes. `prepared` is a conditional insert, and nothing has been sent; `dispatching`
 * is a compare-and-set on the row's version and the point of no return. A prepared claim whose deadline
 * has passed can be voided by anyone through a compare-and-set of their own, after which its holder's dispatch
 * fails; a holder that was paused rather than dead therefore can't send. A dispatching claim is never
 * taken over, because it can't be known whether its holder sent the request. One state is not enough:
 * either a paused holder could send after a takeover, or a holder that died before sending would block
 * the key forever.
 *
 * Why `not_run` is correct when the outcome of a write is unknown: a request is sent only by the object
 * that holds the nonce, after its dispatch succeeded. An open or dispatch that gives up discards the
 * nonce, so nothing is ever sent under it, even if the lost write takes effect later. A late write leaves
 * either a prepared row, which can be voided, or this daemon's dispatching row, which a background
 * release conditional on the nonce frees. If the process dies first, a repeat is told that the outcome is
 * unknown, which may prevent a run but never causes a second one.
 *
 * `not_run` applies to this attempt only. Rows can't be read while the store is unavailable, so an earlier
 * attempt under the same key got its own answer and may have run.
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

/** How long a prepared claim belongs exclusively to its holder. */
const preparedLeaseMilliseconds = 5_000

/** How long reading or changing a claim may wait for the store. */
const storeTimeoutMilliseconds = 1_500

/** How long after the start of the dispatch a request may be sent. */
const defaultSendWindowMilliseconds = 10_000

/** How long after a request's deadline its holder may record the outcome; after that a repeat is told that it is unknown. */
const recordingGraceMilliseconds = 5_000

/**
 * How long after its deadline a request may still be in flight: the service has closed connections that
 * were silent for longer. Only after this time does the service's "not run" free a key.
 */
const maximumInFlightMilliseconds = 600_000

export interface TableClaimsOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly randomness: Randomness
  /** This VM's name, shown to operators who read a row. */
  readonly holder: string
  /** Observes every wait; used by tests only. */
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
  /** Runs the waits of claims; the caller of the service uses it for `ClaimPoint.Call`. */
  readonly steps: ClaimSteps

  constructor (options: TableClaimsOptions) {
    this.#options = options
    this.steps = new ClaimSteps(options.observer)
    this.#table = new ClaimTable(options.table, options.clock, this.steps)
    this.#changeQueue = new ClaimChangeQueue(this.#table, options.clock, this.steps)
    this.#heldClaimOptions = { table: this.#table, changeQueue: this.#changeQueue, clock: options.clock, changeTimeoutMilliseconds: storeTimeoutMilliseconds, sendWindowMilliseconds: defaultSendWindowMilliseconds }
  }

  /** Number of changes waiting for the store. */
  get queuedChanges (): number {
    return this.#changeQueue.queuedCount
  }

  /** Number of changes dropped because the queue was full. */
  get droppedChanges (): number {
    return this.#changeQueue.droppedCount
  }

  async open (request: ClaimRequest): Promise<Result<ClaimOpenOutcome, Refusal>> {
    const now = this.#options.clock.now()
    if (now >= request.deadline) return Err(new Refusal(RefusalCode.DeadlineExceeded, RunState.NotRun, 'the request arrived after its deadline'))
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
    return Err(storeUnavailable('the claim is not known to be written'))
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

  /** Applies the queued changes until a timeout, then stops. Call it after the last request. */
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
