/**
 * A lane is a part of a data centre's entries that one collector commits. Its watermark row says, for
 * each incarnation, which sequence numbers are in the store; its batches hold the entries. Both change
 * in one transaction, so an entry is in a batch exactly when its number is in the watermark.
 */
import { z } from 'zod'
import { hashOf } from '../contract/index.ts'
import { packedEntriesSchema } from './packedEntries.ts'
import { type SequenceRange, SequenceRanges } from './sequenceRanges.ts'

/** One row for each lane: the numbers that are in the store. */
export const watermarkTableName = 'bill_watermarks'

/** One row for each committed batch. */
export const batchTableName = 'bill_batches'

/** Lanes of a data centre: two halve the load of a collector and the harm of losing one. */
export const lanesPerDataCentre = 2

const versionDigits = 12

const watermarkSchema = z.object({
  origins: z.record(z.string(), z.array(z.tuple([z.number(), z.number()])))
})

const batchSchema = z.object({ entries: packedEntriesSchema })

/** A lane's watermark at one version of its row. */
export interface Watermark {
  /** 0 where the row is absent. */
  readonly version: number
  readonly origins: ReadonlyMap<string, SequenceRanges>
}

/**
 * The lane of an incarnation. It depends on nothing that changes, so that everyone who ever hands in
 * one of its entries finds the same watermark.
 *
 * @example
 * laneOf('lower-mainland-a', 'entry-1#1700000000000')
 */
export function laneOf (dataCentre: string, origin: string): string {
  return `${dataCentre}/${Math.floor(hashOf(origin) * lanesPerDataCentre)}`
}

/**
 * The key of the batch that was committed when the watermark had a version.
 *
 * @example
 * batchKeyOf('lower-mainland-a/0', 41)
 */
export function batchKeyOf (lane: string, version: number): string {
  return `${lane}/${String(version).padStart(versionDigits, '0')}`
}

/**
 * Reads a watermark row's value.
 *
 * @returns undefined where another format wrote it
 * @example
 * const watermark = parseWatermark(row.version, row.value)
 */
export function parseWatermark (version: number, value: unknown): Watermark | undefined {
  const parsed = watermarkSchema.safeParse(value)
  if (!parsed.success) return undefined
  const origins = Object.entries(parsed.data.origins).map(([origin, ranges]) => [origin, SequenceRanges.of(ranges)] as const)
  return { version, origins: new Map(origins) }
}

/**
 * The value of a watermark row.
 *
 * @example
 * const value = toWatermarkValue(watermark.origins)
 */
export function toWatermarkValue (origins: ReadonlyMap<string, SequenceRanges>): { readonly origins: Record<string, readonly SequenceRange[]> } {
  return { origins: Object.fromEntries([...origins].map(([origin, { ranges }]) => [origin, ranges])) }
}

/**
 * Reads a batch row's value.
 *
 * @returns undefined where another format wrote it
 * @example
 * const batch = parseBatch(row.value)
 */
export function parseBatch (value: unknown): z.infer<typeof batchSchema> | undefined {
  const parsed = batchSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}
