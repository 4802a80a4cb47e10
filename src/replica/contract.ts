/** Interface of the platform's store for following a table. */
import type { Result } from '../contract/index.ts'

/** A row as a feed delivers it. */
export interface FeedRow {
  readonly key: string
  /** The store's transaction counter when the row was written. */
  readonly version: number
  /** The row's bytes; undefined if it was deleted. */
  readonly bytes: Uint8Array | undefined
}

/** A moment in the store's history. */
export interface TablePosition {
  /** Grows when the store comes back from an older copy of itself, which gives versions out again. */
  readonly epoch: number
  /** The store's transaction counter. */
  readonly version: number
}

/** A consistent snapshot of a table. */
export interface TableSnapshot extends TablePosition {
  readonly rows: readonly FeedRow[]
  /** The store's monotonic clock in milliseconds. */
  readonly storeTime: number
}

/** Changes since a position. */
export interface TableChanges extends TableSnapshot {
  /** Whether the requested history is no longer available, so that the table must be read again. */
  readonly hasGap: boolean
}

/** Why a feed request failed. */
export class FeedFailure {
  readonly reason: string

  constructor (reason: string) {
    this.reason = reason
  }
}

/**
 * Reads tables and waits for their changes. Each call ends by itself, with a failure when its reply is overdue. Calls after a
 * failed one go over connections that were opened after it.
 */
export interface TableFeed {
  /** Reads a whole table. */
  snapshot (table: string): Promise<Result<TableSnapshot, FeedFailure>>
  /**
   * Waits for changes after a version; they may be of another epoch than that version.
   *
   * @param waitMilliseconds how long the store may hold the call while nothing changes
   * @param signal ends the call, so that nothing more is sent for it
   * @example
   * const changes = await feed.changes('orders', replica.version, 2_000)
   */
  changes (table: string, after: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<TableChanges, FeedFailure>>
  /** Lets further calls go over connections that are opened after this call; running calls may end. */
  renewConnections? (): void
}
