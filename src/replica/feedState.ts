/**
 * What a daemon knows of its feeds apart from their rows: which of them fail, when the store last confirmed
 * each table, when it came back, and its clock. All times are of the process's clock unless said otherwise.
 */
import type { Clock } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import type { Confirmation } from './confirmation.ts'
import type { FeedFailure } from './contract.ts'

export class FeedState {
  readonly #clock: Clock
  readonly #log: Log
  readonly #failingSince = new Map<string, number>()
  readonly #confirmations = new Map<string, Confirmation>()
  #lastRecoveredAt = Number.NEGATIVE_INFINITY
  #lastRestoredAt = Number.NEGATIVE_INFINITY
  #storeClock: { readonly storeTime: number, readonly receivedAt: number } | undefined

  constructor (clock: Clock, log: Log) {
    this.#clock = clock
    this.#log = log
  }

  /** Whether the feed of any table is failing now. */
  get hasFailingFeed (): boolean {
    return this.#failingSince.size > 0
  }

  /** When a failed feed last recovered. */
  get lastRecoveredAt (): number {
    return this.#lastRecoveredAt
  }

  /** When this daemon last heard that the store came back from an older copy of itself. */
  get lastRestoredAt (): number {
    return this.#lastRestoredAt
  }

  /** Current time of the store's monotonic clock, in milliseconds; undefined before its first answer. */
  get storeTime (): number | undefined {
    if (this.#storeClock === undefined) return undefined
    return this.#storeClock.storeTime + this.#clock.now() - this.#storeClock.receivedAt
  }

  /** When the store last confirmed the stalest of some tables. */
  confirmedAt (tables: readonly string[]): number {
    return Math.min(...tables.map(table => this.#confirmations.get(table)?.confirmedAt ?? Number.NEGATIVE_INFINITY))
  }

  /** The last confirmation of the stalest of some tables; undefined before the first of any. */
  stalestConfirmation (tables: readonly string[]): Confirmation | undefined {
    const known = tables.map(table => this.#confirmations.get(table)).filter(confirmation => confirmation !== undefined)
    return known.sort((left, right) => left.confirmedAt - right.confirmedAt)[0]
  }

  /**
   * Sets the store's monotonic clock.
   *
   * @param heldUpMilliseconds for how long this process was held up since it asked; the reply may have arrived so much earlier
   */
  setStoreTime (storeTime: number, heldUpMilliseconds: number): void {
    const expected = Math.max(storeTime, this.storeTime ?? storeTime)
    this.#storeClock = { storeTime: Math.min(expected, storeTime + heldUpMilliseconds), receivedAt: this.#clock.now() }
  }

  /** Records that the store confirmed a table; an earlier time than the known one has no effect. */
  recordConfirmation (table: string, confirmation: Confirmation): void {
    const known = this.#confirmations.get(table)
    if (known === undefined || confirmation.confirmedAt >= known.confirmedAt) this.#confirmations.set(table, confirmation)
  }

  /** Records that the store came back from an older copy. */
  recordRestoration (): void {
    this.#lastRestoredAt = this.#clock.now()
  }

  /** Forgets a failure that means nothing while the feed is not followed. */
  forgetFailure (table: string): void {
    this.#failingSince.delete(table)
  }

  /**
   * Records a failed call.
   *
   * @param heldUpMilliseconds for how long the event loop was held up during the call
   * @returns whether the feed had not been failing before
   */
  recordFailure (table: string, failure: FeedFailure, version: number, heldUpMilliseconds: number): boolean {
    if (this.#failingSince.has(table)) return false
    this.#failingSince.set(table, this.#clock.now())
    this.#log.warn('dependency_lost', { dependency: `store/${table}`, reason: failure.reason, version, heldUpMilliseconds: Math.round(heldUpMilliseconds) })
    return true
  }

  /** Records a successful call. */
  recordRecovery (table: string): void {
    const since = this.#failingSince.get(table)
    if (since === undefined) return
    this.#failingSince.delete(table)
    const now = this.#clock.now()
    this.#lastRecoveredAt = now
    this.#log.info('dependency_regained', { dependency: `store/${table}`, milliseconds: Math.round(now - since) })
  }
}
