/** What requests share with others, as the circuit breaker looks at it. */
import { createHash } from 'node:crypto'
import { type SharedPrompt, requestDigest } from '../breaker/index.ts'
import type { ChatMessage, ChatRequest } from '../contract/index.ts'
import type { ServiceRequest } from './serviceRequest.ts'

const hashCharacters = 16

/**
 * Returns what a chat shares with others: every message before the last, by its hash, and all messages together.
 *
 * @example
 * const admission = breaker.admit(sharedPromptOf(request), clock.now())
 */
export function sharedPromptOf ({ organisation, messages }: ChatRequest): SharedPrompt {
  const body = Buffer.from(JSON.stringify(messages.map(({ role, content }) => [role, content])))
  return { organisation, parts: messages.slice(0, -1).map(hashOf), request: requestDigest({ method: 'POST', host: '', path: 'chat', body }) }
}

/**
 * Returns what a call to a plain service shares with its repeats, whatever their idempotency keys.
 *
 * @example
 * const admission = breaker.admit(sharedCallOf(request), clock.now())
 */
export function sharedCallOf ({ organisation, service, method, path, body }: ServiceRequest): SharedPrompt {
  return { organisation: organisation.name, parts: [], request: requestDigest({ method, host: service, path, body: body ?? new Uint8Array() }) }
}

function hashOf ({ role, content }: ChatMessage): string {
  return createHash('sha256').update(`${role}\n${content}`).digest('hex').slice(0, hashCharacters)
}
