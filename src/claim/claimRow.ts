/** The stored row of a claim in the table service. */
import { createHash } from 'node:crypto'
import * as z from 'zod'
import type { ClaimRequest, StoredAnswer } from './contract.ts'

/** The table that holds all claims. */
export const claimTableName = 'claims'

export const ClaimState = {
  /** Written before anything may be sent; any daemon may void it after its deadline. */
  Prepared: 'prepared',
  /** Past the point of no return; never taken over. */
  Dispatching: 'dispatching',
  /** Its answer is stored. */
  Done: 'done',
  /** Whether the request ran is unknown. */
  Unknown: 'unknown',
  /** Nothing was ever sent under it, so the key is free. */
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
  /** End of the holder's exclusive lease while prepared, and the request's deadline while dispatching; milliseconds since the epoch. */
  deadline: z.number(),
  answer: answerSchema.optional()
})

export type ClaimRow = z.infer<typeof claimRowSchema>

/** A claim's row and the version at which it was read. */
export interface VersionedClaimRow {
  readonly version: number
  readonly row: ClaimRow
}

/**
 * Parses a row's value.
 *
 * @returns undefined if the value has another format
 * @example
 * const row = parseClaimRow(read.value)
 */
export function parseClaimRow (value: unknown): ClaimRow | undefined {
  const parsed = claimRowSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

/**
 * The key of a request's claim. The caller's key is hashed, because it may be long and contain any characters.
 *
 * @example
 * claimKeyOf({ organisation: 'harbour', idempotencyKey: 'refund-17' })
 */
export function claimKeyOf (request: Pick<ClaimRequest, 'organisation' | 'idempotencyKey'>): string {
  const hash = createHash('sha256').update(request.idempotencyKey).digest('base64url')
  return `${request.organisation}/${hash}`
}

/**
 * Returns the stored answer of a completed claim, or undefined.
 *
 * @example
 * const answer = answerOf(row)
 */
export function answerOf (row: ClaimRow): StoredAnswer | undefined {
  return row.state === ClaimState.Done ? row.answer : undefined
}
