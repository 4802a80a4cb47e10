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
import { BackgroundChanges } from './backgroundChanges.ts'
import { type ClaimObserver, ClaimPoint, ClaimSteps } from './claimPoint.ts'
import { answerOf, claimKeyOf, type ClaimRow, ClaimState, type ReadClaim } from './claimRow.ts'
import { ClaimTable } from './claimTable.ts'
import type { ClaimOpening, ClaimRequest, Claims, OutcomeQuestion, StoredAnswer } from './contract.ts'
import { HeldClaim, type HeldClaimParts } from './heldClaim.ts'
import { storeUnavailable } from './refusals.ts'

/** How long a prepared claim is its holder's alone. */
const preparedMilliseconds = 5_000

/** How long a claim's change waits for the store. */
const patienceMilliseconds = 1_500

/** How long after the dispatch began a request may be sent. */
const sendMilliseconds = 10_000

/** After a request's deadline its holder has this long to record the end, then a repeat is told that it is unknown. */
const recordingMilliseconds = 5_000

/**
 * After a request's deadline nothing sent before it can be under way any longer: connections that were
 * silent for so long have been closed by the service. Only then does the service's "not run" free a key.
 */
const underWayMilliseconds = 600_000

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
  readonly #background: BackgroundChanges
  readonly #parts: HeldClaimParts
  /** The waits of claims; the caller of the service takes `ClaimPoint.Call` through it. */
  readonly steps: ClaimSteps

  constructor (options: TableClaimsOptions) {
    this.#options = options
    this.steps = new ClaimSteps(options.observer)
    this.#table = new ClaimTable(options.table, options.clock, this.steps)
    this.#background = new BackgroundChanges(this.#table, options.clock, this.steps)
    this.#parts = { table: this.#table, background: this.#background, clock: options.clock, patienceMilliseconds, sendMilliseconds }
  }

  /** Changes of claims that wait for the store. */
  get changesWaiting (): number {
    return this.#background.waiting
  }

  /** Changes of claims given up because too many waited. */
  get changesDropped (): number {
    return this.#background.dropped
  }

  async open (request: ClaimRequest): Promise<Result<ClaimOpening, Refusal>> {
    const now = this.#options.clock.now()
    if (now >= request.deadline) return Err(new Refusal(RefusalCode.DeadlineExceeded, RunState.NotRun, 'the request was late when it came'))
    const key = claimKeyOf(request)
    const next = this.#preparedRow(request, now)
    const outcome = await this.#table.change({
      point: ClaimPoint.Prepare,
      key,
      next,
      knownVersion: 0,
      until: now + patienceMilliseconds,
      mayReplace: current => this.#isFree(current)
    })
    if (outcome.is === 'written') return Ok({ found: 'mine', claim: new HeldClaim(this.#parts, key, next, outcome.version, request.deadline) })
    if (outcome.is === 'barred') return Ok(this.#openingOf(request, outcome.current))
    if (outcome.is === 'untold') this.#releaseLater(key, next)
    return Err(storeUnavailable('the claim could not be written'))
  }

  async resolve (request: ClaimRequest, ask: OutcomeQuestion): Promise<Result<ClaimOpening, Refusal>> {
    const key = claimKeyOf(request)
    const reading = await this.#table.read(key, this.#options.clock.now() + patienceMilliseconds)
    if (reading.is === 'unavailable') return Err(storeUnavailable('the claim could not be read', RunState.Unknown))
    const current = reading.current
    if (current === undefined || this.#openingOf(request, current).found !== 'unknown') return this.open(request)
    const told = await this.steps.wait(ClaimPoint.Ask, () => ask(current.row.nonce))
    if (told === undefined) return Ok({ found: 'unknown' })
    if (told !== 'not_run') return this.#resolveWith(key, current, told)
    return this.#free(request, key, current)
  }

  /** Makes what changes can still be made, then ends; called after the last request. */
  async stop (): Promise<void> {
    await this.#background.stop(this.#options.clock.now() + patienceMilliseconds)
  }

  async #resolveWith (key: string, current: ReadClaim, answer: StoredAnswer): Promise<Result<ClaimOpening, Refusal>> {
    const next: ClaimRow = { ...current.row, state: ClaimState.Done, answer }
    await this.#replace(key, current, next)
    return Ok({ found: 'answer', answer })
  }

  async #free (request: ClaimRequest, key: string, current: ReadClaim): Promise<Result<ClaimOpening, Refusal>> {
    if (this.#options.clock.now() < current.row.deadline + underWayMilliseconds) return Ok({ found: 'unknown' })
    const written = await this.#replace(key, current, { ...current.row, state: ClaimState.Released })
    if (!written) return Ok({ found: 'unknown' })
    return this.open(request)
  }

  async #replace (key: string, current: ReadClaim, next: ClaimRow): Promise<boolean> {
    const until = this.#options.clock.now() + patienceMilliseconds
    const outcome = await this.#table.change({
      point: ClaimPoint.Resolve,
      key,
      next,
      knownVersion: current.version,
      until,
      mayReplace: found => found?.version === current.version
    })
    return outcome.is === 'written'
  }

  #preparedRow (request: ClaimRequest, now: number): ClaimRow {
    return {
      state: ClaimState.Prepared,
      requestHash: request.requestHash,
      nonce: this.#options.randomness.identifier(),
      holder: this.#options.holder,
      deadline: Math.min(request.deadline, now + preparedMilliseconds)
    }
  }

  #isFree (current: ReadClaim | undefined): boolean {
    if (current === undefined || current.row.state === ClaimState.Released) return true
    return current.row.state === ClaimState.Prepared && this.#options.clock.now() >= current.row.deadline
  }

  #openingOf (request: ClaimRequest, current: ReadClaim | undefined): ClaimOpening {
    if (current === undefined) return { found: 'running' }
    const row = current.row
    if (row.requestHash !== request.requestHash) return { found: 'mismatch' }
    const answer = answerOf(row)
    if (answer !== undefined) return { found: 'answer', answer }
    if (row.state === ClaimState.Unknown) return { found: 'unknown' }
    const isOver = row.state === ClaimState.Dispatching && this.#options.clock.now() >= row.deadline + recordingMilliseconds
    return { found: isOver ? 'unknown' : 'running' }
  }

  #releaseLater (key: string, prepared: ClaimRow): void {
    this.#background.add({
      point: ClaimPoint.Release,
      key,
      next: { ...prepared, state: ClaimState.Released },
      knownVersion: undefined,
      mayReplace: current => current?.row.nonce === prepared.nonce && current.row.state === ClaimState.Prepared
    })
  }
}
