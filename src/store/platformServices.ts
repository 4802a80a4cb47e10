/**
 * Interfaces of the platform's services. In the transactional table service, a row has a version that
 * grows with each write, and a transaction names the versions it read and is applied atomically. A write
 * whose reply was lost is reported as possibly applied; the caller finds out by reading back a value that
 * only its own write could have left.
 */
import type { Result } from '../contract/index.ts'

/** A row with the version at which it was read. */
export interface Row {
  readonly key: string
  /** Grows by one with each write of the row; a row that was never written has none. */
  readonly version: number
  readonly value: unknown
}

/** A condition on a row's version that must hold for a transaction to be applied. */
export interface VersionCondition {
  readonly table: string
  readonly key: string
  /** The version the row must have; 0 if it must be absent. */
  readonly version: number
}

/** A row to write, or to delete if the value is undefined. */
export interface RowWrite {
  readonly table: string
  readonly key: string
  readonly value: unknown
}

/** A set of conditions and writes that is applied atomically. */
export interface Transaction {
  readonly conditions: readonly VersionCondition[]
  readonly writes: readonly RowWrite[]
}

/** The outcome of a transaction for which a reply was received. */
export const TransactionOutcome = {
  Committed: 'committed',
  Conflict: 'conflict'
} as const
export type TransactionOutcome = typeof TransactionOutcome[keyof typeof TransactionOutcome]

/** Why a call to the platform got no usable reply. */
export class PlatformUnavailable {
  /** True if the write may have taken effect although no reply was received; always false for reads. */
  readonly mayHaveApplied: boolean
  readonly reason: string

  constructor (reason: string, mayHaveApplied: boolean) {
    this.reason = reason
    this.mayHaveApplied = mayHaveApplied
  }
}

/** Rows in key order, and the cursor of the next page. */
export interface ScanPage {
  readonly rows: readonly Row[]
  /** Pass as `after` for the next page; undefined at the end. */
  readonly next: string | undefined
}

export interface ScanRange {
  /** Only keys that begin with this. */
  readonly prefix: string
  /** Only keys after this one. */
  readonly after?: string
  /** Maximum number of rows; 1,000 by default. */
  readonly limit?: number
}

/** The transactional table service. */
export interface TableService {
  /**
   * Reads a row.
   *
   * @returns the row, or undefined if it is absent
   * @example
   * const row = await table.read('claims', 'harbour/7f3a')
   */
  read (table: string, key: string): Promise<Result<Row | undefined, PlatformUnavailable>>

  /**
   * Reads rows in key order.
   *
   * @example
   * const page = await table.scan('history', { prefix: '', after: '000000000041' })
   */
  scan (table: string, range: ScanRange): Promise<Result<ScanPage, PlatformUnavailable>>

  /**
   * Applies a transaction atomically.
   *
   * @returns `TransactionOutcome.Conflict` if a condition does not hold
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
  /** Writes a complete object, replacing any existing object of the same name. */
  put (name: string, content: Uint8Array): Promise<Result<void, PlatformUnavailable>>
  /** Reads an object; undefined if it is absent. */
  get (name: string): Promise<Result<Uint8Array | undefined, PlatformUnavailable>>
  /** Lists the names that begin with `prefix`, in order. */
  list (prefix: string): Promise<Result<readonly string[], PlatformUnavailable>>
}

/** A VM as listed by the platform. The list may be out of date. */
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

export interface RatingRequest {
  readonly organisation: string
  readonly kind: string
  readonly prompt: string
  readonly answer: string
}

/** The service that rates answers. */
export interface RatingService {
  /** Rates an answer from 0 to 100. Each call is charged. */
  rate (request: RatingRequest): Promise<Result<number, PlatformUnavailable>>
}
