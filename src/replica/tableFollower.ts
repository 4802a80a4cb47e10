/**
 * The task of one table: it reads the whole table and then waits for changes. After a gap the table is read again. After a
 * failure, and after a time in which it asked nothing, it asks for the changes since the last known version over a new
 * connection, with a call that the store does not hold. While a relay delivers the changes, it asks only once the store has
 * not confirmed the table for too long.
 */
import { type Clock, Ok, type Randomness, type Result, Wait } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import { ConfirmationHop } from './confirmation.ts'
import type { FeedFailure, TableChanges, TableFeed, TableSnapshot } from './contract.ts'
import type { FeedControl } from './feedControl.ts'
import type { FeedState } from './feedState.ts'
import type { NewsTimeBudget } from './newsTimeBudget.ts'
import type { TableReplica } from './tableReplica.ts'
import type { TableReplicas } from './tableReplicas.ts'

/** The first wait is shorter, so that others can soon follow the store through this gateway. */
const firstFeedWaitMilliseconds = 1_000
/** Shorter waits would be a tight loop. */
const minimumFeedWaitMilliseconds = 100
/** Delay before a table is read again after a gap, so that a store that keeps no history is not called in a tight loop. */
const gapDelayMilliseconds = 50
const minimumRetryDelayMilliseconds = 100
const maximumRetryDelayMilliseconds = 1_000
/** Delay after changes, so that others in quick succession are fetched with one call. */
const batchDelayMilliseconds = 100

/** What is asked of the store next. */
const FeedStep = {
  ReadWhole: 'read whole',
  /** Wait for changes with a call that the store may hold. */
  AwaitChanges: 'await changes',
  /** Ask for changes with a call that the store does not hold, because connections that were open before may be silent. */
  Probe: 'probe'
} as const
type FeedStep = typeof FeedStep[keyof typeof FeedStep]

export interface TableFollowerOptions {
  readonly table: string
  readonly feed: TableFeed
  readonly replicas: TableReplicas
  readonly state: FeedState
  readonly control: FeedControl
  /** Whether the table should be followed now. */
  readonly isNeeded: () => boolean
  readonly budget: () => NewsTimeBudget
  /** Whether others may follow the store through this gateway now. */
  readonly mayBeRelay: () => boolean
  /** Called when the feed begins to fail. */
  readonly onFailing: () => void
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
}

/** Follows one table. */
export class TableFollower {
  readonly #options: TableFollowerOptions
  #retryDelayMilliseconds = minimumRetryDelayMilliseconds
  #mustReadAgain = false
  #hasAwaitedChanges = false
  #mustProbe = false
  /** The wait for the present reply. */
  #wait: Wait
  /** Whether the connections were not renewed since this table last asked. */
  #mustRenew = false

  constructor (options: TableFollowerOptions) {
    this.#options = options
    this.#wait = new Wait(options.clock)
  }

  /** Follows the table until the feeds are stopped. */
  async run (): Promise<void> {
    while (!this.#options.control.stopping.aborted) await this.#turn()
  }

  async #turn (): Promise<void> {
    const { clock, control } = this.#options
    if (this.#isIdle) return await this.#sleepIdle()
    if (control.areFeedsHeld && this.#replica.isKnown) return await control.sleepIdle()
    const step = this.#nextStep
    const wait = this.#wait = new Wait(clock)
    const heldCalls = control.heldCalls
    const outcome = await this.#take(step)
    this.#hasAwaitedChanges ||= step === FeedStep.AwaitChanges
    this.#mustProbe = outcome.err
    // A call that a pause ended tells nothing of the connections, and renewed none.
    this.#mustRenew = heldCalls.aborted
    if (outcome.ok) await this.#handleChanges(step, outcome.val)
    else await this.#handleFailure(step, outcome.val, wait)
  }

  get #replica (): TableReplica {
    return this.#options.replicas.get(this.#options.table)
  }

  get #nextStep (): FeedStep {
    if (this.#mustReadAgain || !this.#replica.isKnown) return FeedStep.ReadWhole
    return this.#mustProbe ? FeedStep.Probe : FeedStep.AwaitChanges
  }

  async #take (step: FeedStep): Promise<Result<TableChanges, FeedFailure>> {
    switch (step) {
      case FeedStep.ReadWhole: return await this.#readWhole()
      case FeedStep.AwaitChanges: return await this.#awaitChanges()
      case FeedStep.Probe: return await this.#probe()
    }
  }

  async #handleChanges (step: FeedStep, { hasGap, rows }: TableChanges): Promise<void> {
    const { clock, control, state, table } = this.#options
    this.#mustReadAgain = hasGap
    // A store that answers only calls that it need not hold still has failed.
    if (step !== FeedStep.Probe) this.#retryDelayMilliseconds = minimumRetryDelayMilliseconds
    state.recordRecovery(table)
    if (hasGap) return await clock.sleep(gapDelayMilliseconds, control.stopping)
    if (rows.length > 0) await clock.sleep(batchDelayMilliseconds, control.stopping)
  }

  async #handleFailure (step: FeedStep, failure: FeedFailure, wait: Wait): Promise<void> {
    const { clock, control, randomness } = this.#options
    // A held call may have been sent over a silent connection, or ended by a pause; only the next one tells whether the feed fails.
    const isHeld = step === FeedStep.AwaitChanges
    const wasLong = clock.now() - wait.since >= maximumRetryDelayMilliseconds
    if (isHeld && (control.isPaused || wasLong)) return
    if (!isHeld && !control.isPaused) this.#recordFailure(failure, wait.heldUpMilliseconds)
    const delayMilliseconds = this.#retryDelayMilliseconds
    this.#retryDelayMilliseconds = Math.min(maximumRetryDelayMilliseconds, delayMilliseconds * 2)
    await clock.sleep(delayMilliseconds * (0.5 + randomness.fraction()), control.stopping)
  }

  #recordFailure (failure: FeedFailure, heldUpMilliseconds: number): void {
    const { onFailing, state, table } = this.#options
    if (state.recordFailure(table, failure, this.#replica.version, heldUpMilliseconds)) onFailing()
  }

  /** Whether nothing is to be asked now. */
  get #isIdle (): boolean {
    const { control, isNeeded } = this.#options
    if (!isNeeded()) return true
    return control.isPaused && !(this.#replica.isKnown && this.#remainingMilliseconds <= 0)
  }

  async #sleepIdle (): Promise<void> {
    const { clock, control, isNeeded, state, table } = this.#options
    this.#mustProbe = true
    this.#mustRenew = true
    // An earlier failure of the feed means nothing while the feed is paused.
    state.forgetFailure(table)
    // A table that is not needed misses nothing; its age counts from when it is needed again.
    if (!isNeeded()) this.#confirm(clock.now())
    await control.sleepIdle(this.#remainingMilliseconds > 0 ? this.#remainingMilliseconds : undefined)
  }

  /** Time until the table reaches the maximum age. */
  get #remainingMilliseconds (): number {
    return this.#options.budget().maximumAgeMilliseconds - this.#ageMilliseconds
  }

  /** Time since the store last confirmed the table. */
  get #ageMilliseconds (): number {
    const { clock, state, table } = this.#options
    return clock.now() - state.confirmedAt([table])
  }

  async #readWhole (): Promise<Result<TableChanges, FeedFailure>> {
    const { feed, replicas, table } = this.#options
    const snapshot = await feed.snapshot(table)
    if (snapshot.err) return snapshot
    this.#recordReply(snapshot.val)
    replicas.installSnapshot(table, snapshot.val)
    return snapshot.map(value => ({ ...value, hasGap: false }))
  }

  async #awaitChanges (): Promise<Result<TableChanges, FeedFailure>> {
    const { budget, control, mayBeRelay } = this.#options
    const { relayStoreWaitMilliseconds, storeWaitMilliseconds } = budget()
    const allowedMilliseconds = mayBeRelay() ? relayStoreWaitMilliseconds : storeWaitMilliseconds
    // After a stall the table has an age already, and the next reply must come before it reaches the maximum.
    const waitMilliseconds = Math.max(minimumFeedWaitMilliseconds, allowedMilliseconds - this.#ageMilliseconds)
    return await this.#readChanges(this.#hasAwaitedChanges ? waitMilliseconds : Math.min(waitMilliseconds, firstFeedWaitMilliseconds), control.heldCalls)
  }

  async #probe (): Promise<Result<TableChanges, FeedFailure>> {
    const { control, feed } = this.#options
    // After a failed call the feed opens new connections by itself.
    if (this.#mustRenew) control.renewOnce(() => feed.renewConnections?.())
    // A relay that takes over ends the call; one that is behind does not.
    return await this.#readChanges(0, control.isPaused ? undefined : control.heldCalls)
  }

  async #readChanges (waitMilliseconds: number, signal?: AbortSignal): Promise<Result<TableChanges, FeedFailure>> {
    const { feed, log, replicas, table } = this.#options
    const previous = this.#replica
    const changes = await feed.changes(table, previous.version, waitMilliseconds, signal)
    if (changes.err) return changes
    if (changes.val.hasGap) {
      log.warn('replica_gap', { table, version: previous.version })
      return changes
    }
    // Changes since a version of another epoch may lack some: the store gave that version out again.
    if (changes.val.epoch !== previous.epoch) return Ok({ ...changes.val, hasGap: true })
    this.#recordReply(changes.val)
    // A peer's newer copy may have been installed in the meantime; older changes then have no effect.
    replicas.applyChanges(table, changes.val)
    return changes
  }

  /** A reply that arrived while this process was held up tells how the table was then. */
  #recordReply ({ storeTime }: TableSnapshot): void {
    this.#confirm(this.#options.clock.now() - this.#wait.heldUpMilliseconds)
    this.#options.state.setStoreTime(storeTime, this.#wait.heldUpMilliseconds)
  }

  #confirm (confirmedAt: number): void {
    const { state, table } = this.#options
    state.recordConfirmation(table, { confirmedAt, hop: ConfirmationHop.Store })
  }
}
