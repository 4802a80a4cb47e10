/**
 * An immutable copy of one table. The store counts every transaction with one counter, so of two
 * copies the one with the greater counter is the newer as a whole, whichever way it came: from the
 * store's feed or from a peer.
 */
import type { FeedRow, TableSnapshot } from './contract.ts'

/** Below every version of the store, whose counter begins at 0. */
const unknownVersion = -1
/** Deletions remembered for those who follow this copy. */
const maximumDeletions = 1_000

/** What changed since a version. */
export interface ReplicaChanges {
  /** Whether `rows` are the whole table; otherwise what changed, rows without bytes being deleted. */
  readonly isWhole: boolean
  readonly rows: readonly FeedRow[]
}

/** A table's rows as of one version of the store. */
export class TableReplica {
  /** Nothing is known of the table. */
  static readonly unknown = new TableReplica(unknownVersion, new Map(), unknownVersion, new Map())

  readonly version: number
  readonly rows: ReadonlyMap<string, FeedRow>

  /** From here on, all deletions are remembered. */
  readonly #deletionsCompleteSince: number
  readonly #deletions: ReadonlyMap<string, number>

  private constructor (version: number, rows: ReadonlyMap<string, FeedRow>, deletionsCompleteSince: number, deletions: ReadonlyMap<string, number>) {
    this.version = version
    this.rows = rows
    this.#deletionsCompleteSince = deletionsCompleteSince
    this.#deletions = deletions
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
   * const next = replica.withSnapshot(snapshot)
   */
  withSnapshot (snapshot: Pick<TableSnapshot, 'rows' | 'version'>): TableReplica {
    if (snapshot.version <= this.version) return this
    const rows = snapshot.rows.filter(row => row.bytes !== undefined)
    return new TableReplica(snapshot.version, new Map(rows.map(row => [row.key, row])), snapshot.version, new Map())
  }

  /**
   * The copy with changes applied; a change older than the row is passed over.
   *
   * @example
   * const next = replica.withChanges(changes)
   */
  withChanges (changes: Pick<TableSnapshot, 'rows' | 'version'>): TableReplica {
    if (changes.version < this.version) return this
    if (changes.rows.length === 0) return new TableReplica(changes.version, this.rows, this.#deletionsCompleteSince, this.#deletions)
    const rows = new Map(this.rows)
    const deletions = new Map(this.#deletions)
    for (const row of changes.rows) applyRow(rows, deletions, row)
    const isFull = deletions.size > maximumDeletions
    return new TableReplica(changes.version, rows, isFull ? changes.version : this.#deletionsCompleteSince, isFull ? new Map() : deletions)
  }

  /**
   * What a copy of an older version lacks.
   *
   * @example
   * const { rows, isWhole } = replica.changesSince(peer.version)
   */
  changesSince (version: number): ReplicaChanges {
    if (version >= this.version) return { isWhole: false, rows: [] }
    if (version < this.#deletionsCompleteSince) return { isWhole: true, rows: [...this.rows.values()] }
    const written = [...this.rows.values()].filter(row => row.version > version)
    const deleted = [...this.#deletions].filter(([, deletedAt]) => deletedAt > version)
    return { isWhole: false, rows: [...written, ...deleted.map(([key, deletedAt]) => ({ key, version: deletedAt, bytes: undefined }))] }
  }
}

function applyRow (rows: Map<string, FeedRow>, deletions: Map<string, number>, row: FeedRow): void {
  const known = rows.get(row.key)
  if (known !== undefined && known.version > row.version) return
  if (row.bytes === undefined) {
    rows.delete(row.key)
    deletions.set(row.key, row.version)
    return
  }
  rows.set(row.key, row)
  deletions.delete(row.key)
}
