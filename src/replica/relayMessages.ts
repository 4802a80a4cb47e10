/** What gateways tell each other when one follows the store for others. */
import { z } from 'zod'
import type { MessageType } from '../link/index.ts'
import type { FeedRow } from './contract.ts'

/** A row as it is told to a peer; a row that was deleted comes without bytes. */
export const rowSchema = z.object({
  key: z.string(),
  version: z.number(),
  bytes: z.custom<Uint8Array>(value => value instanceof Uint8Array).optional()
})

/** Rows that a peer told, as replicas hold them. */
export function decodeRows (rows: readonly z.infer<typeof rowSchema>[]): readonly FeedRow[] {
  return rows.map(({ key, version, bytes }) => ({ key, version, bytes }))
}

const requestSchema = z.object({
  /** The version of each table that the asker has. */
  versions: z.record(z.string(), z.number()),
  /** How long the answer may wait for something to change. */
  waitMilliseconds: z.number().nonnegative()
})
const replySchema = z.object({
  tables: z.array(z.object({
    table: z.string(),
    version: z.number(),
    /** Whether `rows` are the whole table; otherwise what changed, rows without bytes being deleted. */
    isWhole: z.boolean(),
    rows: z.array(rowSchema).readonly()
  })),
  /** Milliseconds since the store last vouched for the stalest of the tables. */
  ageMilliseconds: z.number(),
  /** The store's steady clock; undefined where it was never heard. */
  storeTime: z.number().optional()
})

export type RelayRequest = z.infer<typeof requestSchema>
export type RelayReply = z.infer<typeof replySchema>

/** Asks for what changed in all tables since the versions named. */
export const relayRequest: MessageType<RelayRequest, RelayReply> = { name: 'relayed_news', body: requestSchema, reply: replySchema }
