/**
 * Rows as gateways send them to each other. A configuration with many routes is most of what a gateway reads, and
 * is sent to all others at the same moment over links and lines that are narrow; it is sent deflated to gateways
 * that can read that. A row is deflated once, however many gateways it is sent to.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import * as z from 'zod'
import { Err, Ok, type Result } from '../contract/index.ts'
import type { FeedRow } from './contract.ts'

/** Shorter rows gain little. */
const minimumDeflatedBytes = 2 * 1024
/** Most of the gain at a small part of the time that higher levels take. */
const compressionLevel = 3
/** Longer than any row of the store. */
const maximumInflatedBytes = 16 * 1024 * 1024

const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array).optional()

/** A row as it is sent to a peer; a deleted row has neither bytes nor deflated bytes. */
export const rowSchema = z.object({
  key: z.string(),
  version: z.number(),
  bytes: bytesSchema,
  deflated: bytesSchema
})
export type EncodedRow = z.infer<typeof rowSchema>

/** Rows that a peer sent in a form that can't be read. */
export class RowFault {
  readonly reason: string

  constructor (reason: string) {
    this.reason = reason
  }
}

const deflatedRows = new WeakMap<FeedRow, Uint8Array>()

/**
 * Encodes rows for a peer.
 *
 * @param isDeflated whether the peer can read deflated rows
 * @example
 * const { rows } = replica.changesSince(position)
 * return { rows: encodeRows(rows, acceptsDeflated(positions)) }
 */
export function encodeRows (rows: readonly FeedRow[], isDeflated: boolean): readonly EncodedRow[] {
  return isDeflated ? rows.map(encodeRow) : rows
}

/**
 * Decodes rows that a peer sent.
 *
 * @example
 * const rows = decodeRows(reply.rows)
 * if (rows.err) return log.warn('rows_unreadable', { reason: rows.val.reason })
 */
export function decodeRows (rows: readonly EncodedRow[]): Result<readonly FeedRow[], RowFault> {
  try {
    return Ok(rows.map(decodeRow))
  } catch (error) {
    return Err(new RowFault(error instanceof Error ? error.message : String(error)))
  }
}

function encodeRow (row: FeedRow): EncodedRow {
  const { key, version, bytes } = row
  if (bytes === undefined || bytes.length < minimumDeflatedBytes) return row
  const deflated = deflatedRows.get(row) ?? deflateRawSync(bytes, { level: compressionLevel })
  deflatedRows.set(row, deflated)
  return { key, version, deflated }
}

function decodeRow ({ key, version, bytes, deflated }: EncodedRow): FeedRow {
  if (deflated === undefined) return { key, version, bytes }
  const row = { key, version, bytes: inflateRawSync(deflated, { maxOutputLength: maximumInflatedBytes }) }
  deflatedRows.set(row, deflated)
  return row
}
