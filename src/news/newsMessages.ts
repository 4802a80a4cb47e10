/** The message in which gateways tell each other news of all kinds. Gateways of earlier builds know only that of the breaker. */
import * as z from 'zod'
import { breakerNewsSchema } from '../breaker/index.ts'
import type { MessageType } from '../link/index.ts'
import { limitFactsSchema } from '../rateLimit/index.ts'

const newsSchema = breakerNewsSchema.extend({
  limits: limitFactsSchema.optional(),
  /** Whether the sender has just started and asks for all that the receiver knows. */
  isStarting: z.boolean().optional()
})

export type EncodedNews = z.infer<typeof newsSchema>

/** Tells news; the reply tells what the receiver knows. */
export const newsMessage: MessageType<EncodedNews, EncodedNews> = { name: 'breaker_news', body: newsSchema, reply: newsSchema }
