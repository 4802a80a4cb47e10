/**
 * An immutable copy of one table. The store counts every transaction with one counter, so of two
 * copies the one with the greater counter is the newer as a whole, whichever way it came: from the
 * store's feed or from a peer.
 */
import type { FeedRow, TableSnapshot } from './contract.ts'

/** Below every version of the store, whose counter begins at 0. */
const unknownVersion = -1

/** A table's rows as of one version of the store. */
export class TableReplica {
  /** Nothing is known of the table. */
  static readonly unknown = new TableReplica(unknownVersion, new Map())

  readonly version: number
  readonly rows: ReadonlyMap<string, FeedRow>

  private constructor (version: number, rows: ReadonlyMap<string, FeedRow>) {
    this.version = version
    this.rows = rows
  }

  /** Whether the table was ever read. */
  get isKnown (): boolean {
    return this.version > unknownVersion
  }

  /**
   * The copy that a whole reading makes.
   *
   * @returns this copy itself where the reading is not newer
   * @example
   * const next = replica.replacedBy(snapshot)
   */
  replacedBy (snapshot: Pick<TableSnapshot, 'rows' | 'version'>): TableReplica {
    if (snapshot.version <= this.version) return this
    const rows = snapshot.rows.filter(row => row.bytes !== undefined)
    return new TableReplica(snapshot.version, new Map(rows.map(row => [row.key, row])))
  }

  /**
   * The copy with changes applied; a change older than the row is passed over.
   *
   * @example
   * const next = replica.changedBy(changes)
   */
  changedBy (changes: Pick<TableSnapshot, 'rows' | 'version'>): TableReplica {
    if (changes.version < this.version) return this
    if (changes.rows.length === 0) return new TableReplica(changes.version, this.rows)
    const rows = new Map(this.rows)
    for (const row of changes.rows) applyRow(rows, row)
    return new TableReplica(changes.version, rows)
  }
}

function applyRow (rows: Map<string, FeedRow>, row: FeedRow): void {
  const known = rows.get(row.key)
  if (known !== undefined && known.version > row.version) return
  if (row.bytes === undefined) rows.delete(row.key)
  else rows.set(row.key, row)
}
