/**
 * The platform's transactional table service as the system sees it. A row has a version that grows
 * with each write; a transaction names the versions it read and is applied whole or not at all. A
 * write whose reply was lost may or may not have taken effect, and says so: the caller settles it
 * by reading back something that only its own write could have left.
 */
import type { Result } from '../contract/index.ts'

/** A row as it was read. */
export interface Row {
  readonly key: string
  /** Grows by one with each write of the row; a row that was never written has none. */
  readonly version: number
  readonly value: unknown
}

/** What must hold of a row for a transaction to be applied. */
export interface VersionCondition {
  readonly table: string
  readonly key: string
  /** The version the row must have; 0 where it must be absent. */
  readonly version: number
}

/** A row to write, or to delete where the value is undefined. */
export interface RowWrite {
  readonly table: string
  readonly key: string
  readonly value: unknown
}

/** A set of conditions and writes that is applied whole or not at all. */
export interface Transaction {
  readonly conditions: readonly VersionCondition[]
  readonly writes: readonly RowWrite[]
}

/** How a transaction that was answered ended. */
export const TransactionOutcome = {
  Committed: 'committed',
  Conflict: 'conflict'
} as const
export type TransactionOutcome = typeof TransactionOutcome[keyof typeof TransactionOutcome]

/** Why the platform gave no answer. */
export class PlatformUnavailable {
  /** True where the write may have taken effect although no reply came; always false for reads. */
  readonly mayHaveApplied: boolean
  readonly reason: string

  constructor (reason: string, mayHaveApplied: boolean) {
    this.reason = reason
    this.mayHaveApplied = mayHaveApplied
  }
}

/** Rows in order of their keys, and where to go on. */
export interface ScanPage {
  readonly rows: readonly Row[]
  /** Pass as `after` for the next page; undefined at the end. */
  readonly next: string | undefined
}

/** Which rows to read. */
export interface ScanRange {
  /** Only keys that begin with this. */
  readonly prefix: string
  /** Only keys after this one. */
  readonly after?: string
  /** At most so many rows; 1,000 where it is not given. */
  readonly limit?: number
}

/** The transactional table service. */
export interface TableService {
  /**
   * Reads a row.
   *
   * @returns the row, undefined where it is absent
   * @example
   * const row = await table.read('claims', 'harbour/7f3a')
   */
  read (table: string, key: string): Promise<Result<Row | undefined, PlatformUnavailable>>

  /**
   * Reads rows in order of their keys.
   *
   * @example
   * const page = await table.scan('history', { prefix: '', after: '000000000041' })
   */
  scan (table: string, range: ScanRange): Promise<Result<ScanPage, PlatformUnavailable>>

  /**
   * Applies a transaction whole or not at all.
   *
   * @returns `Commit.Conflict` where a condition does not hold
   * @example
   * const done = await table.transact({
   *   conditions: [{ table: 'claims', key, version: 0 }],
   *   writes: [{ table: 'claims', key, value: claim }]
   * })
   */
  transact (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformUnavailable>>
}

/** The platform's object store. */
export interface ObjectStore {
  /** Writes an object whole; writing the same name again replaces it. */
  put (name: string, content: Uint8Array): Promise<Result<void, PlatformUnavailable>>
  /** Reads an object; undefined where it is absent. */
  get (name: string): Promise<Result<Uint8Array | undefined, PlatformUnavailable>>
  /** The names that begin with `prefix`, in order. */
  list (prefix: string): Promise<Result<readonly string[], PlatformUnavailable>>
}

/** A VM as the platform lists it; the list lags. */
export interface ListedVirtualMachine {
  readonly name: string
  /** `IP:port` of its link to other daemons. */
  readonly address: string
  readonly region: string
  readonly dataCentre: string
  readonly leaving: boolean
}

/** The platform's list of live and leaving VMs. */
export interface VirtualMachineList {
  read (): Promise<Result<readonly ListedVirtualMachine[], PlatformUnavailable>>
}

/** What is to be rated. */
export interface RatingRequest {
  readonly organisation: string
  readonly kind: string
  readonly prompt: string
  readonly answer: string
}

/** The service that rates answers. */
export interface RatingService {
  /** Rates an answer from 0 to 100; each call costs. */
  rate (request: RatingRequest): Promise<Result<number, PlatformUnavailable>>
}
