/** Messages between gateways, one of which follows the store for others. */
import * as z from 'zod'
import type { MessageType } from '../link/index.ts'
import type { TablePosition } from './contract.ts'
import { rowSchema } from './rowCompression.ts'

/**
 * Positions by table, as a flat record: the version under the table's name, and the epoch under the name
 * with a suffix, which gateways of earlier builds ignore.
 */
export const positionsSchema = z.record(z.string(), z.number())
export type EncodedPositions = z.infer<typeof positionsSchema>

const epochSuffix = '@epoch'
/** Stands beside the positions of a gateway that can read deflated rows. */
const deflatedMark = '@deflated'

/** Encodes the positions of tables. */
export function encodePositions (positions: ReadonlyMap<string, TablePosition>): EncodedPositions {
  const entries = [...positions].flatMap(([table, { epoch, version }]) => [[table, version], [`${table}${epochSuffix}`, epoch]])
  return Object.fromEntries([...entries, [deflatedMark, 1]])
}

/** Whether the gateway that sent positions can read deflated rows; one of an earlier build can't. */
export function acceptsDeflated (positions: EncodedPositions): boolean {
  return positions[deflatedMark] !== undefined
}

/** Decodes the position of a table; undefined if it is not among them. */
export function decodePosition (positions: EncodedPositions, table: string): TablePosition | undefined {
  const version = positions[table]
  return version === undefined ? undefined : { version, epoch: positions[`${table}${epochSuffix}`] ?? 0 }
}

const requestSchema = z.object({
  /** The requester's position in each table. */
  versions: positionsSchema,
  /** How long the reply may wait for a change. */
  waitMilliseconds: z.number().nonnegative()
})
const replySchema = z.object({
  tables: z.array(z.object({
    table: z.string(),
    version: z.number(),
    /** Absent in replies of earlier builds. */
    epoch: z.number().optional(),
    /** Whether `rows` is the whole table; otherwise it holds the changes, with deleted rows lacking bytes. */
    isWhole: z.boolean(),
    rows: z.array(rowSchema).readonly()
  })),
  /** Milliseconds since the store last confirmed the stalest of the tables. */
  ageMilliseconds: z.number(),
  /** The store's monotonic clock; undefined if no answer of the store has arrived yet. */
  storeTime: z.number().optional(),
  /** Number of gateways that the relay knows, itself included; absent in replies of earlier builds. */
  gatewayCount: z.number().optional()
})

export type RelayRequest = z.infer<typeof requestSchema>
export type RelayReply = z.infer<typeof replySchema>

/** Requests the changes in all tables since the given positions. */
export const relayRequest: MessageType<RelayRequest, RelayReply> = { name: 'relayed_news', body: requestSchema, reply: replySchema }
