/**
 * An immutable copy of one table. The store numbers all transactions with a single counter, so of two
 * copies the one with the higher counter is newer as a whole, whether it came from the store's feed or
 * from a peer.
 */
import type { FeedRow, TableSnapshot } from './contract.ts'

/** Lower than any version of the store, whose counter starts at 0. */
const unknownVersion = -1
/** Maximum number of deletions kept for followers of this copy. */
const maximumDeletions = 1_000

/** Changes since a version. */
export interface ReplicaChanges {
  /** Whether `rows` is the whole table; otherwise it holds the changes, with deleted rows lacking bytes. */
  readonly isWhole: boolean
  readonly rows: readonly FeedRow[]
}

/** A table's rows as of one version of the store. */
export class TableReplica {
  /** The replica of a table that has not been read yet. */
  static readonly unknown = new TableReplica(unknownVersion, new Map(), unknownVersion, new Map())

  readonly version: number
  readonly rows: ReadonlyMap<string, FeedRow>

  /** All deletions after this version are retained. */
  readonly #deletionsCompleteSince: number
  readonly #deletions: ReadonlyMap<string, number>

  private constructor (version: number, rows: ReadonlyMap<string, FeedRow>, deletionsCompleteSince: number, deletions: ReadonlyMap<string, number>) {
    this.version = version
    this.rows = rows
    this.#deletionsCompleteSince = deletionsCompleteSince
    this.#deletions = deletions
  }

  /** Whether the table has been read. */
  get isKnown (): boolean {
    return this.version > unknownVersion
  }

  /**
   * Returns a copy made from a snapshot.
   *
   * @returns this copy itself if the snapshot is not newer
   * @example
   * const next = replica.withSnapshot(snapshot)
   */
  withSnapshot (snapshot: Pick<TableSnapshot, 'rows' | 'version'>): TableReplica {
    if (snapshot.version <= this.version) return this
    const rows = snapshot.rows.filter(row => row.bytes !== undefined)
    return new TableReplica(snapshot.version, new Map(rows.map(row => [row.key, row])), snapshot.version, new Map())
  }

  /**
   * Returns a copy with changes applied; a change that is older than its row is ignored.
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
   * Returns what a copy of an older version lacks.
   *
   * @example
   * const { rows, isComplete } = replica.changesSince(peer.version)
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
