/** Misdirected endpoints as gateways tell each other of them. */
import * as z from 'zod'
import type { MisdirectionFact } from './contract.ts'

/** A higher revision would leave no room for later changes. */
const maximumRevision = 2 ** 40

export const misdirectionFactsSchema = z.array(z.object({
  instance: z.string(),
  address: z.string(),
  heartbeat: z.number(),
  revision: z.number().int().positive().max(maximumRevision),
  isMisdirected: z.boolean()
}))

export type EncodedMisdirectionFacts = z.infer<typeof misdirectionFactsSchema>

/** Encodes facts. */
export function encodeMisdirectionFacts (facts: readonly MisdirectionFact[]): EncodedMisdirectionFacts {
  return facts.map(fact => ({ ...fact }))
}
