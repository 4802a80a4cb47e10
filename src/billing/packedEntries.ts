/**
 * The encoding of entries in messages and in the store: grouped by the incarnation that recorded them, each
 * as a tuple without field names, which halves its size.
 */
import * as z from 'zod'
import type { VersionName } from '../contract/index.ts'
import type { BillEntry } from './contract.ts'

/** An entry with the sequence number assigned by its incarnation. */
export interface NumberedEntry {
  /** The incarnation that recorded it. */
  readonly origin: string
  /** From 1, without gaps. */
  readonly sequence: number
  readonly entry: BillEntry
}

/** Sequence, id, organisation, kind, version or '', service or '', prompt, cached and completion tokens, cost, extra cost, time in milliseconds since the epoch. */
const packedEntrySchema = z.tuple([
  z.number().int().positive(), z.string(), z.string(), z.string(), z.string(), z.string(),
  z.number(), z.number(), z.number(), z.number(), z.number(), z.number()
])

export const packedEntriesSchema = z.array(z.object({ origin: z.string(), rows: z.array(packedEntrySchema) }))

/** Packed entries of one or more incarnations. */
export type PackedEntries = z.infer<typeof packedEntriesSchema>

/**
 * Packs entries.
 *
 * @example
 * const packed = packEntries([{ origin: 'entry-1#17', sequence: 1, entry }])
 */
export function packEntries (items: readonly NumberedEntry[]): PackedEntries {
  const groups = new Map<string, z.infer<typeof packedEntrySchema>[]>()
  for (const { origin, sequence, entry } of items) {
    const rows = groups.get(origin) ?? []
    groups.set(origin, rows)
    rows.push([
      sequence, entry.id, entry.organisation, entry.kind, entry.version ?? '', entry.service ?? '',
      entry.usage.promptTokens, entry.usage.cachedPromptTokens, entry.usage.completionTokens,
      entry.cost, entry.extraCost, entry.at
    ])
  }
  return [...groups].map(([origin, rows]) => ({ origin, rows }))
}

/**
 * Unpacks entries.
 *
 * @example
 * const items = unpackEntries(body.entries)
 */
export function unpackEntries (packed: PackedEntries): NumberedEntry[] {
  return packed.flatMap(({ origin, rows }) => rows.map(row => unpackRow(origin, row)))
}

function unpackRow (origin: string, row: z.infer<typeof packedEntrySchema>): NumberedEntry {
  const [sequence, id, organisation, kind, version, service, promptTokens, cachedPromptTokens, completionTokens, cost, extraCost, at] = row
  const entry: BillEntry = {
    id,
    organisation,
    kind,
    version: version === '' ? undefined : version as VersionName,
    service: service === '' ? undefined : service,
    usage: { promptTokens, cachedPromptTokens, completionTokens },
    cost,
    extraCost,
    at
  }
  return { origin, sequence, entry }
}
