/** The row of a claim as it stands in the table service. */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import type { ClaimRequest, StoredAnswer } from './contract.ts'

/** The table that holds all claims. */
export const claimTableName = 'claims'

/** How far a claim has come. */
export const ClaimState = {
  /** Written before anything may be sent; can be voided by anyone after its time. */
  Prepared: 'prepared',
  /** Past the point of no return; never taken over. */
  Dispatching: 'dispatching',
  /** Its answer is kept. */
  Done: 'done',
  /** It can't be told whether it ran. */
  Unknown: 'unknown',
  /** Nothing was ever sent under it: the key is free. */
  Released: 'released'
} as const
export type ClaimState = typeof ClaimState[keyof typeof ClaimState]

const answerSchema = z.object({ status: z.number(), contentType: z.string(), body: z.string() })

const claimRowSchema = z.object({
  state: z.enum(Object.values(ClaimState)),
  requestHash: z.string(),
  nonce: z.string(),
  /** The VM that holds the claim, for operators. */
  holder: z.string(),
  /** Until when a prepared claim is its holder's alone, and a dispatching one may be answered; milliseconds since the epoch. */
  deadline: z.number(),
  answer: answerSchema.optional()
})

/** What a claim's row holds. */
export type ClaimRow = z.infer<typeof claimRowSchema>

/** A claim's row as it was read. */
export interface VersionedClaimRow {
  readonly version: number
  readonly row: ClaimRow
}

/**
 * Checks a row's value.
 *
 * @returns undefined where another format wrote it
 * @example
 * const row = parseClaimRow(read.value)
 */
export function parseClaimRow (value: unknown): ClaimRow | undefined {
  const parsed = claimRowSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

/**
 * The key of a request's claim. The caller's key is hashed, for it may be long or hold anything.
 *
 * @example
 * claimKeyOf({ organisation: 'harbour', idempotencyKey: 'refund-17' })
 */
export function claimKeyOf (request: Pick<ClaimRequest, 'organisation' | 'idempotencyKey'>): string {
  const hash = createHash('sha256').update(request.idempotencyKey).digest('base64url')
  return `${request.organisation}/${hash}`
}

/**
 * A row's answer, where it has one.
 *
 * @example
 * const answer = answerOf(row)
 */
export function answerOf (row: ClaimRow): StoredAnswer | undefined {
  return row.state === ClaimState.Done ? row.answer : undefined
}
