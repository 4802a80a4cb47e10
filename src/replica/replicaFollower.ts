/**
 * Keeps replicas of a few tables. Each table has one task: read it whole, then wait for changes; a
 * gap or a failure starts over from the last version known. While any table's feed fails, peers are
 * asked for newer copies, for a store may turn one VM away and serve the others.
 */
import { type Clock, type Randomness, type Result, Err, within } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import { FeedFailure, type TableChanges, type TableFeed, type TableSnapshot } from './contract.ts'
import { type ReplicaChanges, TableReplica } from './tableReplica.ts'

/** The store may hold a call so long; it bounds how long a silent connection goes unnoticed. */
export const usualFeedWaitMilliseconds = 3_000
/** The first wait is shorter, so that others may soon follow the store through this gateway. */
const firstWaitMilliseconds = 1_000
/** Beyond the wait: the way there and back, and a store that answers fifty times as slowly as usual. */
const feedGraceMilliseconds = 900
const snapshotMilliseconds = 2_500
/** Before a table is read anew after a gap, so that a store that keeps no history is not asked without pause. */
const gapMilliseconds = 50
const firstRetryMilliseconds = 100
const longestRetryMilliseconds = 1_000
/** After changes, so that others in quick succession come with one call. */
const gatherMilliseconds = 100
/** How often a resting feed looks whether it is to go on. */
const restMilliseconds = 100

/** What a follower is made of. */
export interface ReplicaFollowerOptions {
  readonly feed: TableFeed
  readonly tables: readonly string[]
  /** Whether a table that was read is to be followed now; all are by default. */
  readonly isNeeded?: (table: string) => boolean
  /** How long the store may hold a call now. */
  readonly feedWaitMilliseconds?: () => number
  readonly clock: Clock
  readonly randomness: Randomness
  readonly log: Log
  /** Told after each change of a table. */
  readonly onChange: (table: string, replica: TableReplica) => void
}

/** Follows tables until it is stopped. */
export class ReplicaFollower {
  readonly #options: ReplicaFollowerOptions
  readonly #replicas = new Map<string, TableReplica>()
  readonly #failingSince = new Map<string, number>()
  readonly #stopping = new AbortController()
  readonly #heardAt = new Map<string, number>()
  #isResting = false
  #regainedAt = Number.NEGATIVE_INFINITY
  #storeClock: { readonly storeTime: number, readonly heardAt: number } | undefined

  constructor (options: ReplicaFollowerOptions) {
    this.#options = options
    for (const table of options.tables) this.#replicas.set(table, TableReplica.unknown)
  }

  /** A table's replica; `TableReplica.unknown` before the first reading. */
  replica (table: string): TableReplica {
    return this.#replicas.get(table) ?? TableReplica.unknown
  }

  /** Whether some table's feed fails now. */
  get isCutOff (): boolean {
    return this.#failingSince.size > 0
  }

  /** When the last feed that failed was regained, on this process's clock. */
  get regainedAt (): number {
    return this.#regainedAt
  }

  /** Whether every table was read. */
  get isComplete (): boolean {
    return this.#options.tables.every(table => this.replica(table).isKnown)
  }

  /** When the store last vouched for the stalest table that is followed, on this process's clock. */
  get heardAt (): number {
    const followed = this.#options.tables.filter(table => this.#isFollowed(table))
    return Math.min(...followed.map(table => this.#heardAt.get(table) ?? Number.NEGATIVE_INFINITY))
  }

  get ageMilliseconds (): number {
    return this.#options.clock.now() - this.heardAt
  }

  /** The store's steady clock now, in milliseconds; undefined before its first answer. */
  get storeTime (): number | undefined {
    if (this.#storeClock === undefined) return undefined
    return this.#storeClock.storeTime + this.#options.clock.now() - this.#storeClock.heardAt
  }

  /** Follows all tables; returns at once. */
  start (): void {
    for (const table of this.#options.tables) {
      this.#follow(table).catch(error => this.#options.log.error('replica_follower_failed', { table, reason: String(error) }))
    }
  }

  stop (): void {
    this.#stopping.abort()
  }

  /**
   * Takes in a peer's copy of a table where it is newer.
   *
   * @returns whether it was
   */
  adopt (table: string, snapshot: Pick<TableSnapshot, 'rows' | 'version'>): boolean {
    const known = this.replica(table)
    const next = known.replacedBy(snapshot)
    if (next === known) return false
    this.#install(table, next)
    return true
  }

  /** Leaves the feeds, for a relay tells what they would. */
  rest (): void {
    this.#isResting = true
  }

  /** Follows the feeds again. */
  resume (): void {
    this.#isResting = false
  }

  /**
   * Takes in what a relay tells of a table.
   *
   * @param heardAt when the store vouched for it, on this process's clock
   */
  takeRelayed (table: string, changes: ReplicaChanges & { readonly version: number }, heardAt: number): void {
    const known = this.replica(table)
    const next = changes.isWhole ? known.replacedBy(changes) : known.changedBy(changes)
    this.#heardAt.set(table, Math.max(heardAt, this.#heardAt.get(table) ?? heardAt))
    this.#regained(table)
    if (next !== known) this.#install(table, next, changes.isWhole || changes.rows.length > 0)
  }

  /** Sets the store's steady clock as a relay tells it. */
  setStoreTime (storeTime: number): void {
    this.#storeClock = { storeTime, heardAt: this.#options.clock.now() }
  }

  async #follow (table: string): Promise<void> {
    let retryMilliseconds = firstRetryMilliseconds
    let mustReadWhole = true
    let isFirstWait = true
    while (!this.#stopping.signal.aborted) {
      if (this.#isResting || !this.#isFollowed(table)) {
        // Whatever the feed last met says nothing while nobody asks it.
        this.#failingSince.delete(table)
        // A table that is not needed misses nothing; its age counts from when it is.
        if (!this.#isFollowed(table)) this.#heardAt.set(table, this.#options.clock.now())
        await this.#options.clock.sleep(restMilliseconds, this.#stopping.signal)
        continue
      }
      const step: Result<TableChanges, FeedFailure> = mustReadWhole ? await this.#readWhole(table) : await this.#readChanges(table, isFirstWait)
      isFirstWait &&= mustReadWhole
      if (step.ok) {
        mustReadWhole = step.val.hasGap
        retryMilliseconds = firstRetryMilliseconds
        this.#regained(table)
        const pause = mustReadWhole ? gapMilliseconds : gatherMilliseconds
        if (mustReadWhole || step.val.rows.length > 0) await this.#options.clock.sleep(pause, this.#stopping.signal)
        continue
      }
      this.#lost(table, step.val)
      await this.#options.clock.sleep(retryMilliseconds * (0.5 + this.#options.randomness.fraction()), this.#stopping.signal)
      retryMilliseconds = Math.min(longestRetryMilliseconds, retryMilliseconds * 2)
    }
  }

  #isFollowed (table: string): boolean {
    return !this.replica(table).isKnown || this.#options.isNeeded?.(table) !== false
  }

  async #readWhole (table: string): Promise<Result<TableChanges, FeedFailure>> {
    const snapshot = await this.#bounded(this.#options.feed.snapshot(table), snapshotMilliseconds)
    if (snapshot.err) return snapshot
    this.#heard(table, snapshot.val)
    this.adopt(table, snapshot.val)
    return snapshot.map(value => ({ ...value, hasGap: false }))
  }

  async #readChanges (table: string, isFirst: boolean): Promise<Result<TableChanges, FeedFailure>> {
    const asked = this.replica(table)
    const usual = this.#options.feedWaitMilliseconds?.() ?? usualFeedWaitMilliseconds
    const wait = isFirst ? Math.min(usual, firstWaitMilliseconds) : usual
    const changes = await this.#bounded(this.#options.feed.changes(table, asked.version, wait), wait + feedGraceMilliseconds)
    if (changes.err) return changes
    if (changes.val.hasGap) {
      this.#options.log.warn('replica_gap', { table, version: asked.version })
      return changes
    }
    this.#heard(table, changes.val)
    // A peer's newer copy may have been taken in meanwhile; older changes then add nothing.
    const known = this.replica(table)
    const next = known.changedBy(changes.val)
    if (next !== known) this.#install(table, next, changes.val.rows.length > 0)
    return changes
  }

  #install (table: string, replica: TableReplica, hasChanged = true): void {
    this.#replicas.set(table, replica)
    if (hasChanged) this.#options.onChange(table, replica)
  }

  async #bounded<Value> (work: Promise<Result<Value, FeedFailure>>, milliseconds: number): Promise<Result<Value, FeedFailure>> {
    const { clock } = this.#options
    return await within(clock, clock.now() + milliseconds, work) ?? Err(new FeedFailure(`no answer within ${milliseconds} ms`))
  }

  #heard (table: string, { storeTime }: TableSnapshot): void {
    this.#heardAt.set(table, this.#options.clock.now())
    this.setStoreTime(storeTime)
  }

  #lost (table: string, failure: FeedFailure): void {
    if (this.#failingSince.has(table)) return
    this.#failingSince.set(table, this.#options.clock.now())
    this.#options.log.warn('dependency_lost', { dependency: `store/${table}`, reason: failure.reason, version: this.replica(table).version })
  }

  #regained (table: string): void {
    const since = this.#failingSince.get(table)
    if (since === undefined) return
    this.#failingSince.delete(table)
    const now = this.#options.clock.now()
    this.#regainedAt = now
    this.#options.log.info('dependency_regained', { dependency: `store/${table}`, milliseconds: Math.round(now - since) })
  }
}
