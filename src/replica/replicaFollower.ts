/**
 * Maintains replicas of a few tables. Each table has one task, which reads the whole table and then waits
 * for changes. After a gap the table is read again. After a failure, and after a time in which it asked
 * nothing, the task asks for the changes since the last known version over a new connection, with a call
 * that the store does not hold. While a relay delivers the changes, the task asks only once the store has
 * not confirmed the table for too long. While any table's feed fails, peers are asked for newer copies,
 * since a store may reject one VM and still serve the others.
 */
import { type Clock, type Randomness, type Result, Err, Ok, Wakeup, withDeadline } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import { type Confirmation, ConfirmationHop } from './confirmation.ts'
import { FeedFailure, type TableChanges, type TableFeed, type TableSnapshot } from './contract.ts'
import { FeedState } from './feedState.ts'
import { type NewsTimeBudget, feedCallTimeoutMilliseconds } from './newsTimeBudget.ts'
import { type PositionedRows, TableReplica } from './tableReplica.ts'

/** The first wait is shorter, so that others can soon follow the store through this gateway. */
const firstFeedWaitMilliseconds = 1_000
const snapshotTimeoutMilliseconds = 2_500
/** Delay before a table is read again after a gap, so that a store that keeps no history is not called in a tight loop. */
const gapDelayMilliseconds = 50
const minimumRetryDelayMilliseconds = 100
const maximumRetryDelayMilliseconds = 1_000
/** Delay after changes, so that others in quick succession are fetched with one call. */
const batchDelayMilliseconds = 100
/** Within this time after the store came back from an older copy, other writers have written their lost rows again. */
const rewriteMilliseconds = 5_000
/** A paused feed checks at least this often whether it should resume; it is woken when it should. */
const pausedCheckIntervalMilliseconds = 1_000

export interface ReplicaFollowerOptions {
  readonly feed: TableFeed
  readonly tables: readonly string[]
  /**
   * Tables whose writers write their rows again after the store came back from an older copy. Rows that it
   * lost are retained until then.
   */
  readonly rewrittenTables?: readonly string[]
  /** Whether a table should be followed now; all are by default. */
  readonly isNeeded?: (table: string) => boolean
  /** The waits that apply now. */
  readonly budget: () => NewsTimeBudget
  /** Whether others may follow the store through this gateway now; false by default. */
  readonly mayBeRelay?: () => boolean
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
  /** Called after each change of a table. */
  readonly onChange: (table: string, replica: TableReplica) => void
}

/** Follows tables until it is stopped. */
export class ReplicaFollower {
  readonly #options: ReplicaFollowerOptions
  readonly #replicas = new Map<string, TableReplica>()
  readonly #state: FeedState
  readonly #stopping = new AbortController()
  #isPaused = false
  /** Ends the calls that the store holds for this gateway. */
  #heldCalls = new AbortController()
  #areFeedsHeld = false
  /** Ends the sleep of feeds that are paused, held or not needed. */
  readonly #feedWakeup = new Wakeup()
  /** Ends waits for `hasFailingFeed`. */
  readonly failureWakeup = new Wakeup()

  constructor (options: ReplicaFollowerOptions) {
    this.#options = options
    this.#state = new FeedState(options.clock, options.log)
    for (const table of options.tables) this.#replicas.set(table, TableReplica.unknown)
  }

  /** A table's replica; `TableReplica.unknown` before the first read. */
  replica (table: string): TableReplica {
    return this.#replicas.get(table) ?? TableReplica.unknown
  }

  /** Whether another table was read since the store came back from an older copy, and this one was not. */
  isOfEarlierEpoch (table: string): boolean {
    return [...this.#replicas.values()].some(({ epoch }) => epoch > this.replica(table).epoch)
  }

  /** Whether the feed of any table is failing now. */
  get hasFailingFeed (): boolean {
    return this.#state.hasFailingFeed
  }

  /** When a failed feed last recovered, on this process's clock. */
  get lastRecoveredAt (): number {
    return this.#state.lastRecoveredAt
  }

  /** When this daemon last heard that the store came back from an older copy of itself, on this process's clock. */
  get lastRestoredAt (): number {
    return this.#state.lastRestoredAt
  }

  /** Whether every followed table has been read. */
  get isComplete (): boolean {
    return this.#options.tables.every(table => this.replica(table).isKnown || !this.#isFollowed(table))
  }

  /** When the store last confirmed the stalest followed table, on this process's clock. */
  get confirmedAt (): number {
    return this.#state.confirmedAt(this.#options.tables.filter(table => this.#isFollowed(table)))
  }

  /** The last confirmation of the stalest followed table; undefined before the first of any. */
  get stalestConfirmation (): Confirmation | undefined {
    return this.#state.stalestConfirmation(this.#options.tables.filter(table => this.#isFollowed(table)))
  }

  /** Time since `confirmedAt`. */
  get ageMilliseconds (): number {
    return this.#options.clock.now() - this.confirmedAt
  }

  /** Current time of the store's monotonic clock, in milliseconds; undefined before its first answer. */
  get storeTime (): number | undefined {
    return this.#state.storeTime
  }

  /** Starts following all tables; returns at once. */
  start (): void {
    for (const table of this.#options.tables) {
      this.#follow(table).catch(error => this.#options.log.error('replica_follower_failed', { table, reason: String(error) }))
    }
  }

  stop (): void {
    this.#stopping.abort()
    this.#feedWakeup.wake()
  }

  /**
   * Installs a copy of a table if it is newer.
   *
   * @returns whether it was newer
   */
  installSnapshot (table: string, snapshot: PositionedRows): boolean {
    const known = this.replica(table)
    const next = known.withSnapshot(snapshot, { retainsLostRows: this.#options.rewrittenTables?.includes(table) ?? false })
    if (next === known) return false
    if (known.isKnown && next.epoch > known.epoch) this.#recordRestoration(table, known, next)
    this.#install(table, next)
    return true
  }

  /** Pauses the feeds while a relay delivers the changes. The store would send the changes once more for each call that it holds. */
  pause (): void {
    this.#isPaused = true
    this.#heldCalls.abort()
    this.#heldCalls = new AbortController()
  }

  /** Resumes the feeds. */
  resume (): void {
    this.#isPaused = false
    this.#feedWakeup.wake()
  }

  /** Lets tables be read but not waited for, until `releaseFeeds`. */
  holdFeeds (): void {
    this.#areFeedsHeld = true
  }

  /** Lets the store hold calls until tables change. */
  releaseFeeds (): void {
    this.#areFeedsHeld = false
    this.#feedWakeup.wake()
  }

  /**
   * Applies what a relay sent of a table.
   *
   * @param confirmation the relay and when the store confirmed its copy
   */
  applyRelayed (table: string, changes: PositionedRows & { readonly isWhole: boolean }, confirmation: Confirmation): void {
    this.#state.recordConfirmation(table, confirmation)
    this.#state.recordRecovery(table)
    if (changes.isWhole) this.installSnapshot(table, changes)
    else this.#applyChanges(table, changes)
  }

  /** Sets the store's monotonic clock from a relay's reply. */
  setStoreTime (storeTime: number): void {
    this.#state.setStoreTime(storeTime)
  }

  async #follow (table: string): Promise<void> {
    let retryDelayMilliseconds = minimumRetryDelayMilliseconds
    let mustReadAgain = false
    let isFirstWait = true
    /** Whether connections that were open before may be silent. */
    let mustProbe = false
    while (!this.#stopping.signal.aborted) {
      if (this.#isIdle(table)) {
        mustProbe = true
        await this.#sleepIdle(table)
        continue
      }
      if (this.#areFeedsHeld && this.replica(table).isKnown) {
        await this.#feedWakeup.sleep(this.#options.clock, pausedCheckIntervalMilliseconds)
        continue
      }
      const mustReadWhole: boolean = mustReadAgain || !this.replica(table).isKnown
      const isHeld: boolean = !mustReadWhole && !mustProbe
      const askedAt = this.#options.clock.now()
      const heldUpBefore = this.#options.clock.heldUpMilliseconds()
      const step: Result<TableChanges, FeedFailure> = mustReadWhole ? await this.#readWhole(table) : isHeld ? await this.#awaitChanges(table, isFirstWait) : await this.#probe(table)
      isFirstWait &&= !isHeld
      mustProbe = step.err
      if (step.ok) {
        mustReadAgain = step.val.hasGap
        // A store that answers only calls that it need not hold still has failed.
        if (isHeld || mustReadWhole) retryDelayMilliseconds = minimumRetryDelayMilliseconds
        this.#state.recordRecovery(table)
        const delayMilliseconds = mustReadAgain ? gapDelayMilliseconds : batchDelayMilliseconds
        if (mustReadAgain || step.val.rows.length > 0) await this.#options.clock.sleep(delayMilliseconds, this.#stopping.signal)
        continue
      }
      // A held call may have been sent over a silent connection, or ended by a pause; only the next one tells whether the feed fails.
      const wasLong = this.#options.clock.now() - askedAt >= maximumRetryDelayMilliseconds
      if (isHeld && (this.#isPaused || wasLong)) continue
      if (!isHeld && !this.#isPaused && this.#state.recordFailure(table, step.val, this.replica(table).version, this.#options.clock.heldUpMilliseconds() - heldUpBefore)) this.failureWakeup.wake()
      await this.#options.clock.sleep(retryDelayMilliseconds * (0.5 + this.#options.randomness.fraction()), this.#stopping.signal)
      retryDelayMilliseconds = Math.min(maximumRetryDelayMilliseconds, retryDelayMilliseconds * 2)
    }
  }

  /** Whether nothing is to be asked for a table now. */
  #isIdle (table: string): boolean {
    if (!this.#isFollowed(table)) return true
    return this.#isPaused && !(this.replica(table).isKnown && this.#remainingMilliseconds(table) <= 0)
  }

  async #sleepIdle (table: string): Promise<void> {
    // An earlier failure of the feed means nothing while the feed is paused.
    this.#state.forgetFailure(table)
    // A table that is not needed misses nothing; its age counts from when it is needed again.
    if (!this.#isFollowed(table)) this.#state.recordConfirmation(table, this.#confirmationNow())
    const remainingMilliseconds = this.#remainingMilliseconds(table)
    const isShort = remainingMilliseconds > 0 && remainingMilliseconds < pausedCheckIntervalMilliseconds
    await this.#feedWakeup.sleep(this.#options.clock, isShort ? remainingMilliseconds : pausedCheckIntervalMilliseconds)
  }

  /** Time until the table reaches the maximum age. */
  #remainingMilliseconds (table: string): number {
    return this.#options.budget().maximumAgeMilliseconds - (this.#options.clock.now() - this.#state.confirmedAt([table]))
  }

  #isFollowed (table: string): boolean {
    return this.#options.isNeeded?.(table) !== false
  }

  async #readWhole (table: string): Promise<Result<TableChanges, FeedFailure>> {
    const snapshot = await this.#withTimeout(this.#options.feed.snapshot(table), snapshotTimeoutMilliseconds)
    if (snapshot.err) return snapshot
    this.#recordConfirmation(table, snapshot.val)
    this.installSnapshot(table, snapshot.val)
    return snapshot.map(value => ({ ...value, hasGap: false }))
  }

  /** Waits for changes with a call that the store may hold. */
  async #awaitChanges (table: string, isFirst: boolean): Promise<Result<TableChanges, FeedFailure>> {
    const { budget, mayBeRelay } = this.#options
    const { relayStoreWaitMilliseconds, storeWaitMilliseconds } = budget()
    const waitMilliseconds = mayBeRelay?.() === true ? relayStoreWaitMilliseconds : storeWaitMilliseconds
    return await this.#readChanges(table, isFirst ? Math.min(waitMilliseconds, firstFeedWaitMilliseconds) : waitMilliseconds, this.#heldCalls.signal)
  }

  /** Asks for changes over a new connection. */
  async #probe (table: string): Promise<Result<TableChanges, FeedFailure>> {
    this.#options.feed.renewConnections?.()
    // A relay that takes over ends the call; one that is behind does not.
    return await this.#readChanges(table, 0, this.#isPaused ? undefined : this.#heldCalls.signal)
  }

  async #readChanges (table: string, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<TableChanges, FeedFailure>> {
    const previous = this.replica(table)
    const changes = await this.#withTimeout(this.#options.feed.changes(table, previous.version, waitMilliseconds, signal), feedCallTimeoutMilliseconds(waitMilliseconds))
    if (changes.err) return changes
    if (changes.val.hasGap) {
      this.#options.log.warn('replica_gap', { table, version: previous.version })
      return changes
    }
    // Changes since a version of another epoch may lack some: the store gave that version out again.
    if (changes.val.epoch !== previous.epoch) return Ok({ ...changes.val, hasGap: true })
    this.#recordConfirmation(table, changes.val)
    // A peer's newer copy may have been installed in the meantime; older changes then have no effect.
    this.#applyChanges(table, changes.val)
    return changes
  }

  #applyChanges (table: string, changes: PositionedRows): void {
    const known = this.replica(table)
    const next = known.withChanges(changes)
    if (next !== known) this.#install(table, next, changes.rows.length > 0)
  }

  #install (table: string, replica: TableReplica, hasChanged = true): void {
    this.#replicas.set(table, replica)
    if (!hasChanged) return
    this.#options.onChange(table, replica)
    // The change may have made another table needed.
    this.#feedWakeup.wake()
  }

  async #withTimeout<Value> (work: Promise<Result<Value, FeedFailure>>, timeoutMilliseconds: number): Promise<Result<Value, FeedFailure>> {
    const { clock } = this.#options
    return await withDeadline(clock, clock.now() + timeoutMilliseconds, work) ?? Err(new FeedFailure(`the store did not answer within ${timeoutMilliseconds} ms`))
  }

  #recordConfirmation (table: string, { storeTime }: TableSnapshot): void {
    this.#state.recordConfirmation(table, this.#confirmationNow())
    this.#state.setStoreTime(storeTime)
  }

  #confirmationNow (): Confirmation {
    return { confirmedAt: this.#options.clock.now(), hop: ConfirmationHop.Store }
  }

  #recordRestoration (table: string, known: TableReplica, next: TableReplica): void {
    const { log } = this.#options
    this.#state.recordRestoration()
    log.warn('store_restored', { table, epoch: next.epoch, version: next.version, formerEpoch: known.epoch, formerVersion: known.version, retained: next.retainedCount })
    this.#releaseRetainedRows(table, next.epoch).catch(error => log.error('replica_follower_failed', { table, reason: String(error) }))
  }

  /** Rows that nobody wrote again by now are gone. */
  async #releaseRetainedRows (table: string, epoch: number): Promise<void> {
    await this.#options.clock.sleep(rewriteMilliseconds, this.#stopping.signal)
    const known = this.replica(table)
    if (known.epoch !== epoch || known.retainedCount === 0) return
    this.#options.log.warn('retained_rows_dropped', { table, epoch, rows: known.retainedCount })
    this.#install(table, known.withoutRetainedRows())
  }
}
