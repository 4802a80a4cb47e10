/** The message in which gateways tell each other news of all kinds. Gateways of earlier builds know only that of the breaker. */
import * as z from 'zod'
import { breakerNewsSchema } from '../breaker/index.ts'
import type { MessageType } from '../link/index.ts'
import { misdirectionFactsSchema } from '../misdirection/index.ts'
import { limitFactsSchema } from '../rateLimit/index.ts'

const newsSchema = breakerNewsSchema.extend({
  limits: limitFactsSchema.optional(),
  misdirected: misdirectionFactsSchema.optional(),
  /** Whether the sender has just started and asks for all that the receiver knows. */
  isStarting: z.boolean().optional(),
  /** Whether the message tells only what the sender has just learnt; nothing is to be told in reply. */
  isUpdate: z.boolean().optional(),
  /** Digest of all that the sender knows of the breaker, told in place of it. */
  summary: z.number().optional(),
  /** Told in reply to a digest that differs: the hashes of what the receiver knows of the breaker. */
  known: z.array(z.number()).optional(),
  /** Told in reply to a digest: whether it is the receiver's too. */
  isSame: z.boolean().optional()
})

export type EncodedNews = z.infer<typeof newsSchema>

/** Tells news; the reply tells what the receiver knows. */
export const newsMessage: MessageType<EncodedNews, EncodedNews> = { name: 'breaker_news', body: newsSchema, reply: newsSchema }
