/** Limits of endpoints as gateways tell each other of them. */
import * as z from 'zod'
import type { LimitFact } from './contract.ts'

/** A higher revision would leave no room for later changes. */
const maximumRevision = 2 ** 40

export const limitFactsSchema = z.array(z.object({
  instance: z.string(),
  revision: z.number().int().positive().max(maximumRevision),
  requestsPerSecond: z.number().nonnegative().optional()
}))

export type EncodedLimitFacts = z.infer<typeof limitFactsSchema>

/** Encodes facts. */
export function encodeLimitFacts (facts: readonly LimitFact[]): EncodedLimitFacts {
  return facts.map(({ instance, revision, requestsPerSecond }) => ({ instance, revision, requestsPerSecond }))
}

/** Decodes facts that have arrived. */
export function decodeLimitFacts (facts: EncodedLimitFacts): readonly LimitFact[] {
  return facts.map(({ instance, revision, requestsPerSecond }) => ({ instance, revision, requestsPerSecond }))
}
