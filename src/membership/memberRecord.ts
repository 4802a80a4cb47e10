/**
 * What daemons tell each other of a daemon. Records are joined: whatever order, however often they
 * come, all daemons arrive at the same record. A later incarnation replaces an earlier one whole.
 * Within one, a leaving mark stays, and the higher refutation wins over the worse status, so that
 * only the daemon itself can say that it is not dead.
 */
import { z } from 'zod'
import type { LinkIdentity } from '../link/index.ts'

/** How a daemon was last found, the worse the higher. */
export const MemberStatus = {
  Alive: 0,
  Suspect: 1,
  Dead: 2
} as const
export type MemberStatus = typeof MemberStatus[keyof typeof MemberStatus]

/** What is known of a daemon. */
export interface MemberRecord {
  readonly identity: LinkIdentity
  /** Raised by the daemon itself to refute a suspicion. */
  readonly refutation: number
  readonly status: MemberStatus
  readonly leaving: boolean
}

const statusSchema = z.union([z.literal(MemberStatus.Alive), z.literal(MemberStatus.Suspect), z.literal(MemberStatus.Dead)])

/** A record as it is sent: without the names of its parts, which would be most of its bytes. */
export const memberRowSchema = z.tuple([
  z.string(), z.string(), z.string(), z.string(), z.string(), z.number(), z.number().int(), statusSchema, z.boolean()
])
export type MemberRow = z.infer<typeof memberRowSchema>

/**
 * A record as it is sent.
 *
 * @example
 * const rows = records.map(encodeMemberRow)
 */
export function encodeMemberRow ({ identity, refutation, status, leaving }: MemberRecord): MemberRow {
  const { name, address, place, rack, incarnation } = identity
  return [name, address, place.region, place.dataCentre, rack, incarnation, refutation, status, leaving]
}

/**
 * A record as it was received.
 *
 * @example
 * const records = rows.map(decodeMemberRow)
 */
export function decodeMemberRow ([name, address, region, dataCentre, rack, incarnation, refutation, status, leaving]: MemberRow): MemberRecord {
  return { identity: { name, address, place: { region, dataCentre }, rack, incarnation }, refutation, status, leaving }
}

/**
 * The record of a daemon that has just been heard.
 *
 * @example
 * table.merge(aliveRecord(from))
 */
export function aliveRecord (identity: LinkIdentity): MemberRecord {
  return { identity, refutation: 0, status: MemberStatus.Alive, leaving: false }
}

/**
 * Joins two records of one daemon.
 *
 * @returns `known` itself where `told` adds nothing
 * @example
 * const joined = mergeMemberRecords(known, told)
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
