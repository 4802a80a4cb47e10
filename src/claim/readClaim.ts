/** Looks a claim up for an operator. */
import { Ok, type Result } from '../contract/index.ts'
import type { PlatformUnavailable, TableService } from '../platform/index.ts'
import { claimKeyOf, type ClaimRow, claimRowOf, claimTableName } from './claimRow.ts'

/** What an operator sees of a claim. */
export type ClaimRecord = ClaimRow

/**
 * Reads what became of a request that is not idempotent.
 *
 * @returns undefined where the organisation has used no such key, or its row has another format
 * @example
 * const claim = await readClaim(table, 'harbour', 'refund-17')
 */
export async function readClaim (table: TableService, organisation: string, idempotencyKey: string): Promise<Result<ClaimRecord | undefined, PlatformUnavailable>> {
  const read = await table.read(claimTableName, claimKeyOf({ organisation, idempotencyKey }))
  if (read.err) return read
  return Ok(read.val === undefined ? undefined : claimRowOf(read.val.value))
}
