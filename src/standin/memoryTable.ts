/**
 * An in-memory table service, which the platform stand-in and the fakes of the tests build on. Rows
 * are stored as JSON text, so that no caller can change a stored row through a shared reference.
 */
import { Ok, type Result } from '../contract/index.ts'
import { TransactionOutcome, type VersionCondition, type ScanPage, type PlatformUnavailable, type ScanRange, type Row, type TableService, type Transaction, type RowWrite } from '../store/index.ts'

interface StoredRow {
  readonly version: number
  readonly text: string
}

const defaultPageSize = 1_000

/**
 * A transactional table service that never fails.
 *
 * @example
 * const table = new MemoryTableService()
 */
export class MemoryTableService implements TableService {
  readonly #tables = new Map<string, Map<string, StoredRow>>()
  /** The last version of each row, including deleted rows: versions keep increasing after a deletion, so that none is used twice. */
  readonly #lastVersions = new Map<string, number>()

  async read (table: string, key: string): Promise<Result<Row | undefined, PlatformUnavailable>> {
    const stored = this.#tables.get(table)?.get(key)
    return Ok(stored === undefined ? undefined : toRow(key, stored))
  }

  async scan (table: string, range: ScanRange): Promise<Result<ScanPage, PlatformUnavailable>> {
    const limit = range.limit ?? defaultPageSize
    const after = range.after
    const rows = this.#tables.get(table) ?? new Map<string, StoredRow>()
    const keys = [...rows.keys()].filter(key => key.startsWith(range.prefix) && (after === undefined || key > after)).sort()
    const pageKeys = keys.slice(0, limit)
    const pageRows = pageKeys.flatMap(key => {
      const stored = rows.get(key)
      return stored === undefined ? [] : [toRow(key, stored)]
    })
    return Ok({ rows: pageRows, next: keys.length > limit ? pageKeys.at(-1) : undefined })
  }

  async transact (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformUnavailable>> {
    return Ok(this.apply(transaction))
  }

  /** Applies a transaction synchronously, within one turn of the event loop. */
  apply (transaction: Transaction): TransactionOutcome {
    const conditionsHold = transaction.conditions.every(condition => this.#versionOf(condition) === condition.version)
    if (!conditionsHold) return TransactionOutcome.Conflict
    for (const write of transaction.writes) this.#write(write)
    return TransactionOutcome.Committed
  }

  #versionOf (condition: VersionCondition): number {
    return this.#tables.get(condition.table)?.get(condition.key)?.version ?? 0
  }

  #write (write: RowWrite): void {
    const rows = this.#tables.get(write.table) ?? new Map<string, StoredRow>()
    this.#tables.set(write.table, rows)
    if (write.value === undefined) {
      rows.delete(write.key)
      return
    }
    const rowPath = `${write.table}\n${write.key}`
    const version = (this.#lastVersions.get(rowPath) ?? 0) + 1
    this.#lastVersions.set(rowPath, version)
    rows.set(write.key, { version, text: JSON.stringify(write.value) })
  }
}

function toRow (key: string, stored: StoredRow): Row {
  return { key, version: stored.version, value: JSON.parse(stored.text) }
}
