/**
 * An immutable copy of one table. The store numbers all transactions with a single counter, so of two
 * copies the one with the higher counter is newer as a whole, whether it came from the store's feed or
 * from a peer. A store that came back from an older copy of itself gives the same numbers out again and
 * begins a new epoch; a copy of a later epoch is newer whatever its counter.
 *
 * Rows that another writer had written since that copy was made are missing from the new epoch until the
 * writer writes them again. They can be retained meanwhile: they show in `rows`, but are never passed on.
 */
import type { FeedRow, TablePosition, TableSnapshot } from './contract.ts'

/** Lower than any position of the store, whose counter and epochs start at 0. */
const unknownPosition: TablePosition = { epoch: -1, version: -1 }
/** Maximum number of deletions kept for followers of this copy. */
const maximumDeletions = 1_000

type RowMap = ReadonlyMap<string, FeedRow>

/** Changes since a position. */
export interface ReplicaChanges {
  /** Whether `rows` is the whole table; otherwise it holds the changes, with deleted rows lacking bytes. */
  readonly isWhole: boolean
  readonly rows: readonly FeedRow[]
}

/** A snapshot or changes, as of one position of the store. */
export type PositionedRows = Pick<TableSnapshot, 'rows'> & TablePosition

interface ReplicaState extends TablePosition {
  /** Rows as the store has them. */
  readonly stored: RowMap
  /** Rows of an earlier epoch that the store lost and their writer has not written again. */
  readonly retained: RowMap
  /** All deletions after this version are listed in `deletions`. */
  readonly deletionsCompleteSince: number
  readonly deletions: ReadonlyMap<string, number>
}

/**
 * Compares two positions of the store.
 *
 * @returns negative if `left` is older, 0 if they are equal
 * @example
 * if (comparePositions(replica, peerPosition) > 0) send(replica)
 */
export function comparePositions (left: TablePosition, right: TablePosition): number {
  return left.epoch - right.epoch || left.version - right.version
}

/** A table's rows as of one position of the store. */
export class TableReplica implements TablePosition {
  /** The replica of a table that has not been read yet. */
  static readonly unknown = new TableReplica({
    ...unknownPosition, stored: new Map(), retained: new Map(), deletionsCompleteSince: unknownPosition.version, deletions: new Map()
  })

  readonly epoch: number
  readonly version: number
  /** The rows that decisions read. */
  readonly rows: RowMap
  readonly #state: ReplicaState

  private constructor (state: ReplicaState) {
    this.#state = state
    this.epoch = state.epoch
    this.version = state.version
    this.rows = state.retained.size === 0 ? state.stored : new Map([...state.stored, ...state.retained])
  }

  /** Whether the table has been read. */
  get isKnown (): boolean {
    return this.version > unknownPosition.version
  }

  /** Number of rows that are retained from an earlier epoch. */
  get retainedCount (): number {
    return this.#state.retained.size
  }

  /** Rows as the store has them, without retained ones. */
  get storedRows (): readonly FeedRow[] {
    return [...this.#state.stored.values()]
  }

  /**
   * Returns a copy made from a snapshot.
   *
   * @param retainsLostRows whether rows that a new epoch lacks are retained
   * @returns this copy itself if the snapshot is not newer
   * @example
   * const next = replica.withSnapshot(snapshot, { retainsLostRows: true })
   */
  withSnapshot ({ rows, epoch, version }: PositionedRows, { retainsLostRows }: { readonly retainsLostRows: boolean } = { retainsLostRows: false }): TableReplica {
    if (comparePositions({ epoch, version }, this) <= 0) return this
    const stored = new Map(rows.filter(row => row.bytes !== undefined).map(row => [row.key, row]))
    const retained = epoch === this.epoch ? this.#stillRetained(stored) : retainsLostRows ? rowsLostBy(stored, this.rows) : new Map<string, FeedRow>()
    return new TableReplica({ epoch, version, stored, retained, deletionsCompleteSince: version, deletions: new Map() })
  }

  /**
   * Returns a copy with changes applied; a change that is older than its row is ignored.
   *
   * @returns this copy itself if the changes are older or of another epoch
   * @example
   * const next = replica.withChanges(changes)
   */
  withChanges ({ rows: changedRows, epoch, version }: PositionedRows): TableReplica {
    if (epoch !== this.epoch || version < this.version) return this
    if (changedRows.length === 0) return new TableReplica({ ...this.#state, version })
    const stored = new Map(this.#state.stored)
    const deletions = new Map(this.#state.deletions)
    for (const row of changedRows) applyRow(stored, deletions, row)
    const isFull = deletions.size > maximumDeletions
    return new TableReplica({
      epoch,
      version,
      stored,
      retained: this.#stillRetained(stored),
      deletionsCompleteSince: isFull ? version : this.#state.deletionsCompleteSince,
      deletions: isFull ? new Map() : deletions
    })
  }

  /** Returns a copy with the rows that the store has, and no retained ones. */
  withoutRetainedRows (): TableReplica {
    return this.retainedCount === 0 ? this : new TableReplica({ ...this.#state, retained: new Map() })
  }

  /**
   * Returns what a copy of an older position lacks.
   *
   * @example
   * const { rows, isWhole } = replica.changesSince(peerPosition)
   */
  changesSince (position: TablePosition): ReplicaChanges {
    if (comparePositions(position, this) >= 0) return { isWhole: false, rows: [] }
    const { deletions, deletionsCompleteSince } = this.#state
    if (position.epoch < this.epoch || position.version < deletionsCompleteSince) return { isWhole: true, rows: this.storedRows }
    const written = this.storedRows.filter(row => row.version > position.version)
    const deleted = [...deletions].filter(([, deletedAt]) => deletedAt > position.version)
    return { isWhole: false, rows: [...written, ...deleted.map(([key, deletedAt]) => ({ key, version: deletedAt, bytes: undefined }))] }
  }

  /** A row is retained until the store has another version of it. */
  #stillRetained (stored: RowMap): RowMap {
    return new Map([...this.#state.retained].filter(([key]) => stored.get(key)?.version === this.#state.stored.get(key)?.version))
  }
}

/** The rows that were written after the copy that a new epoch began with. */
function rowsLostBy (stored: RowMap, known: RowMap): RowMap {
  const lost = [...known].filter(([key, row]) => {
    const restored = stored.get(key)
    if (restored === undefined) return true
    // A restored row with a higher version was written again since.
    return restored.version < row.version && !isSameContent(restored, row)
  })
  return new Map(lost)
}

function isSameContent (left: FeedRow, right: FeedRow): boolean {
  return Buffer.from(left.bytes ?? []).equals(right.bytes ?? new Uint8Array())
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
