/** The parts of a chat's prompt that other chats may share: every message before the last, by its hash. */
import { createHash } from 'node:crypto'
import type { SharedPrompt } from '../breaker/index.ts'
import type { ChatMessage, ChatRequest } from '../contract/index.ts'

const hashCharacters = 16

/**
 * Returns the shared parts of a request's prompt, in order.
 *
 * @example
 * const admission = breaker.admit(sharedPromptOf(request), clock.now())
 */
export function sharedPromptOf ({ organisation, messages }: ChatRequest): SharedPrompt {
  return { organisation, parts: messages.slice(0, -1).map(hashOf) }
}

function hashOf ({ role, content }: ChatMessage): string {
  return createHash('sha256').update(`${role}\n${content}`).digest('hex').slice(0, hashCharacters)
}
