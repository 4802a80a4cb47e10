/**
 * The record of a daemon as daemons exchange it. Merging does not depend on the order or repetition
 * of updates, so that all daemons converge to the same record. A later incarnation replaces an earlier one entirely.
 * Within an incarnation a leaving mark is permanent, and a higher refutation number takes precedence over
 * a worse status, so that only the daemon itself can refute its death.
 */
import * as z from 'zod'
import type { LinkIdentity } from '../link/index.ts'

/** The last observed status of a daemon; higher is worse. */
export const MemberStatus = {
  Alive: 0,
  Suspect: 1,
  Dead: 2
} as const
export type MemberStatus = typeof MemberStatus[keyof typeof MemberStatus]

/** The state of a daemon, merged from all updates. */
export interface MemberRecord {
  readonly identity: LinkIdentity
  /** Incremented by the daemon itself to refute a suspicion. */
  readonly refutation: number
  readonly status: MemberStatus
  readonly leaving: boolean
}

const statusSchema = z.union([z.literal(MemberStatus.Alive), z.literal(MemberStatus.Suspect), z.literal(MemberStatus.Dead)])

/** The wire format of a record: an array without field names, which would take most of the bytes. */
export const memberRowSchema = z.tuple([
  z.string(), z.string(), z.string(), z.string(), z.string(), z.number(), z.number().int(), statusSchema, z.boolean()
])
export type MemberRow = z.infer<typeof memberRowSchema>

/**
 * Encodes a record for sending.
 *
 * @example
 * const rows = records.map(encodeMemberRow)
 */
export function encodeMemberRow ({ identity, refutation, status, leaving }: MemberRecord): MemberRow {
  const { name, address, place, rack, incarnation } = identity
  return [name, address, place.region, place.dataCentre, rack, incarnation, refutation, status, leaving]
}

/**
 * Decodes a received record.
 *
 * @example
 * const records = rows.map(decodeMemberRow)
 */
export function decodeMemberRow ([name, address, region, dataCentre, rack, incarnation, refutation, status, leaving]: MemberRow): MemberRecord {
  return { identity: { name, address, place: { region, dataCentre }, rack, incarnation }, refutation, status, leaving }
}

/**
 * Creates the record of a daemon that a message has just arrived from.
 *
 * @example
 * table.merge(aliveRecord(from))
 */
export function aliveRecord (identity: LinkIdentity): MemberRecord {
  return { identity, refutation: 0, status: MemberStatus.Alive, leaving: false }
}

/**
 * Merges two records of one daemon.
 *
 * @returns `current` itself if `incoming` adds nothing
 * @example
 * const merged = mergeMemberRecords(current, incoming)
 */
export function mergeMemberRecords (current: MemberRecord, incoming: MemberRecord): MemberRecord {
  if (incoming.identity.incarnation < current.identity.incarnation) return current
  if (incoming.identity.incarnation > current.identity.incarnation) return incoming
  const leaving = current.leaving || incoming.leaving
  const later = isLater(incoming, current) ? incoming : current
  if (later === current && leaving === current.leaving) return current
  return { ...later, leaving }
}

function isLater (incoming: MemberRecord, current: MemberRecord): boolean {
  if (incoming.refutation !== current.refutation) return incoming.refutation > current.refutation
  return incoming.status > current.status
}
