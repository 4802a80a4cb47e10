/** What following a table needs of the platform's store. */
import type { Result } from '../contract/index.ts'

/** A row as a feed tells it. */
export interface FeedRow {
  readonly key: string
  /** The store's counter when the row was written. */
  readonly version: number
  /** The row's bytes; undefined where it was deleted. */
  readonly bytes: Uint8Array | undefined
}

/** A table as it stood at one moment. */
export interface TableSnapshot {
  readonly rows: readonly FeedRow[]
  /** The store's counter at that moment. */
  readonly version: number
  /** The store's steady clock in milliseconds. */
  readonly storeTime: number
}

/** What changed since a version. */
export interface TableChanges extends TableSnapshot {
  /** True where the history asked for is no longer there: the table is to be read anew. */
  readonly hasGap: boolean
}

/** Why a feed gave nothing. */
export class FeedFailure {
  readonly reason: string

  constructor (reason: string) {
    this.reason = reason
  }
}

/** Reads tables and waits for their changes. */
export interface TableFeed {
  /** Reads a table whole. */
  snapshot (table: string): Promise<Result<TableSnapshot, FeedFailure>>
  /**
   * Waits for changes after a version.
   *
   * @param waitMilliseconds how long the store may hold the call when nothing changes
   * @example
   * const changes = await feed.changes('orders', replica.version, 2_000)
   */
  changes (table: string, after: number, waitMilliseconds: number): Promise<Result<TableChanges, FeedFailure>>
}
