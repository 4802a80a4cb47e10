/**
 * Maintains replicas of a few tables, each of which has one task that asks the store. A relay may deliver the changes
 * instead. While any table's feed fails, peers are asked for newer copies, since a store may reject one VM and still serve
 * the others.
 */
import { type Clock, type Randomness, Wakeup } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import type { Confirmation } from './confirmation.ts'
import type { TableFeed } from './contract.ts'
import { FeedControl } from './feedControl.ts'
import { FeedState } from './feedState.ts'
import type { NewsTimeBudget } from './newsTimeBudget.ts'
import { TableFollower } from './tableFollower.ts'
import type { PositionedRows, TableReplica } from './tableReplica.ts'
import { TableReplicas } from './tableReplicas.ts'

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
  readonly #replicas: TableReplicas
  readonly #state: FeedState
  readonly #control: FeedControl
  /** Ends waits for `hasFailingFeed`. */
  readonly failureWakeup = new Wakeup()

  constructor (options: ReplicaFollowerOptions) {
    const { clock, log, onChange, rewrittenTables = [], tables } = options
    this.#options = options
    this.#state = new FeedState(clock, log)
    this.#control = new FeedControl(clock)
    this.#replicas = new TableReplicas({
      tables,
      rewrittenTables,
      clock,
      log,
      stopping: this.#control.stopping,
      onChange: (table, replica) => {
        onChange(table, replica)
        // The change may have made another table needed.
        this.#control.wake()
      },
      onRestoration: () => this.#state.recordRestoration()
    })
  }

  /** A table's replica; `TableReplica.unknown` before the first read. */
  replica (table: string): TableReplica {
    return this.#replicas.get(table)
  }

  /** Whether another table was read since the store came back from an older copy, and this one was not. */
  isOfEarlierEpoch (table: string): boolean {
    return this.#replicas.isOfEarlierEpoch(table)
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
    const { log, tables } = this.#options
    for (const table of tables) {
      this.#createTableFollower(table).run().catch(error => log.error('replica_follower_failed', { table, reason: String(error) }))
    }
  }

  stop (): void {
    this.#control.stop()
  }

  /**
   * Installs a copy of a table if it is newer.
   *
   * @returns whether it was newer
   */
  installSnapshot (table: string, snapshot: PositionedRows): boolean {
    return this.#replicas.installSnapshot(table, snapshot)
  }

  /** Pauses the feeds while a relay delivers the changes. */
  pause (): void {
    this.#control.pause()
  }

  /** Resumes the feeds. */
  resume (): void {
    this.#control.resume()
  }

  /** Lets tables be read but not waited for, until `releaseFeeds`. */
  holdFeeds (): void {
    this.#control.hold()
  }

  /** Lets the store hold calls until tables change. */
  releaseFeeds (): void {
    this.#control.release()
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
    else this.#replicas.applyChanges(table, changes)
  }

  /** Sets the store's monotonic clock from a relay's reply. */
  setStoreTime (storeTime: number, heldUpMilliseconds: number): void {
    this.#state.setStoreTime(storeTime, heldUpMilliseconds)
  }

  #createTableFollower (table: string): TableFollower {
    const { budget, clock, feed, log, mayBeRelay = () => false, randomness } = this.#options
    return new TableFollower({
      table,
      feed,
      replicas: this.#replicas,
      state: this.#state,
      control: this.#control,
      isNeeded: () => this.#isFollowed(table),
      budget,
      mayBeRelay,
      onFailing: () => this.failureWakeup.wake(),
      clock,
      randomness,
      log
    })
  }

  #isFollowed (table: string): boolean {
    return this.#options.isNeeded?.(table) !== false
  }
}
