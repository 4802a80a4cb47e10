/**
 * The replicas of all followed tables. Rows that the store lost when it came back from an older copy are retained for a while
 * in tables whose writers write them again.
 */
import type { Clock } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import { type PositionedRows, TableReplica } from './tableReplica.ts'

/** Within this time after the store came back from an older copy, other writers have written their lost rows again. */
const rewriteMilliseconds = 5_000

export interface TableReplicasOptions {
  readonly tables: readonly string[]
  readonly rewrittenTables: readonly string[]
  readonly clock: Clock
  readonly log: Log
  readonly stopping: AbortSignal
  /** Called after each change of a table. */
  readonly onChange: (table: string, replica: TableReplica) => void
  /** Called when it is known that the store came back from an older copy. */
  readonly onRestoration: () => void
}

export class TableReplicas {
  readonly #options: TableReplicasOptions
  readonly #replicas: Map<string, TableReplica>

  constructor (options: TableReplicasOptions) {
    this.#options = options
    this.#replicas = new Map(options.tables.map(table => [table, TableReplica.unknown]))
  }

  /** A table's replica; `TableReplica.unknown` before the first read. */
  get (table: string): TableReplica {
    return this.#replicas.get(table) ?? TableReplica.unknown
  }

  /** Whether another table was read since the store came back from an older copy, and this one was not. */
  isOfEarlierEpoch (table: string): boolean {
    return [...this.#replicas.values()].some(({ epoch }) => epoch > this.get(table).epoch)
  }

  /**
   * Installs a copy of a table if it is newer.
   *
   * @returns whether it was newer
   */
  installSnapshot (table: string, snapshot: PositionedRows): boolean {
    const known = this.get(table)
    const next = known.withSnapshot(snapshot, { retainsLostRows: this.#options.rewrittenTables.includes(table) })
    if (next === known) return false
    if (known.isKnown && next.epoch > known.epoch) this.#recordRestoration(table, known, next)
    this.#install(table, next)
    return true
  }

  /** Applies changes; they have no effect on a newer copy. */
  applyChanges (table: string, changes: PositionedRows): void {
    const known = this.get(table)
    const next = known.withChanges(changes)
    if (next !== known) this.#install(table, next, changes.rows.length > 0)
  }

  #install (table: string, replica: TableReplica, hasChanged = true): void {
    this.#replicas.set(table, replica)
    if (hasChanged) this.#options.onChange(table, replica)
  }

  #recordRestoration (table: string, known: TableReplica, next: TableReplica): void {
    const { log, onRestoration } = this.#options
    onRestoration()
    log.warn('store_restored', { table, epoch: next.epoch, version: next.version, formerEpoch: known.epoch, formerVersion: known.version, retained: next.retainedCount })
    this.#releaseRetainedRows(table, next.epoch).catch(error => log.error('replica_follower_failed', { table, reason: String(error) }))
  }

  /** Rows that nobody wrote again by now are gone. */
  async #releaseRetainedRows (table: string, epoch: number): Promise<void> {
    const { clock, log, stopping } = this.#options
    await clock.sleep(rewriteMilliseconds, stopping)
    const known = this.get(table)
    if (known.epoch !== epoch || known.retainedCount === 0) return
    log.warn('retained_rows_dropped', { table, epoch, rows: known.retainedCount })
    this.#install(table, known.withoutRetainedRows())
  }
}
