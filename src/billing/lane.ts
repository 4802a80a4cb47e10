/**
 * A lane is a partition of a data centre's entries, committed by one collector. Its watermark row records
 * which sequence numbers of each incarnation are in the store, and its batch rows hold the entries. Both are
 * written in one transaction, so an entry is in a batch exactly when its number is in the watermark.
 */
import * as z from 'zod'
import { hashFraction } from '../contract/index.ts'
import { packedEntriesSchema } from './packedEntries.ts'
import { type SequenceRange, SequenceRanges } from './sequenceRanges.ts'

/** Table with one row per lane, holding the sequence numbers that are in the store. */
export const watermarkTableName = 'bill_watermarks'

/** Table with one row per committed batch. */
export const batchTableName = 'bill_batches'

/** Number of lanes per data centre: two halve a collector's load and the impact of losing one. */
export const lanesPerDataCentre = 2

const versionDigits = 12

const watermarkSchema = z.object({
  origins: z.record(z.string(), z.array(z.tuple([z.number(), z.number()])))
})

const batchSchema = z.object({ entries: packedEntriesSchema })

/** A lane's watermark at one version of its row. */
export interface Watermark {
  /** 0 if the row is absent. */
  readonly version: number
  readonly origins: ReadonlyMap<string, SequenceRanges>
}

/**
 * Returns the lane of an incarnation. It depends only on constant values, so that every daemon that writes
 * one of the incarnation's entries uses the same watermark.
 *
 * @example
 * laneOf('lower-mainland-a', 'entry-1#1700000000000')
 */
export function laneOf (dataCentre: string, origin: string): string {
  return `${dataCentre}/${Math.floor(hashFraction(origin) * lanesPerDataCentre)}`
}

/**
 * Returns the key of the batch committed when the watermark had the given version.
 *
 * @example
 * batchKeyOf('lower-mainland-a/0', 41)
 */
export function batchKeyOf (lane: string, version: number): string {
  return `${lane}/${String(version).padStart(versionDigits, '0')}`
}

/**
 * Parses a watermark row's value.
 *
 * @returns undefined if the value has another format
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
 * Encodes the value of a watermark row.
 *
 * @example
 * const value = toWatermarkValue(watermark.origins)
 */
export function toWatermarkValue (origins: ReadonlyMap<string, SequenceRanges>): { readonly origins: Record<string, readonly SequenceRange[]> } {
  return { origins: Object.fromEntries([...origins].map(([origin, { ranges }]) => [origin, ranges])) }
}

/**
 * Parses a batch row's value.
 *
 * @returns undefined if the value has another format
 * @example
 * const batch = parseBatch(row.value)
 */
export function parseBatch (value: unknown): z.infer<typeof batchSchema> | undefined {
  const parsed = batchSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}
