/** Chat completion requests after validation, and their cost. */

/** Priority in an engine's queue; lower values are served first. */
export const Priority = {
  Interactive: 0,
  Normal: 1,
  Background: 2
} as const
export type Priority = typeof Priority[keyof typeof Priority]

/** One message of a conversation. */
export interface ChatMessage {
  readonly role: 'system' | 'developer' | 'user' | 'assistant' | 'tool'
  readonly content: string
}

/** A validated request for a chat completion. */
export interface ChatRequest {
  /** Unique identifier, created by the daemon that received the request. */
  readonly id: string
  readonly organisation: string
  /** `auto`, a model, or a `model@version`. */
  readonly model: string
  /** The kind of request, such as `tagging` or `summary`; ratings are kept separately for each kind. */
  readonly kind: string
  readonly messages: readonly ChatMessage[]
  readonly streamed: boolean
  readonly maximumTokens: number
  readonly priority: Priority
  /** Expected difficulty from 0 to 1, if given by the caller or an estimate. */
  readonly difficultyHint: number | undefined
  /** Estimated prompt tokens. */
  readonly promptTokens: number
  /** Stable text of the beginning of the prompt, used as the key of engines' prefix caches. */
  readonly prefixKey: string
  /** Time by which the answer is due, in milliseconds since the epoch. */
  readonly deadline: number
}

/** Tokens consumed by an answer. */
export interface TokenUsage {
  readonly promptTokens: number
  readonly cachedPromptTokens: number
  readonly completionTokens: number
}

/** Uncached prompt tokens that cost as much as one generated token. */
export const promptTokensPerGeneratedToken = 4
/** Prompt tokens found in an engine's cache that cost as much as one generated token. */
const cachedPromptTokensPerGeneratedToken = 40

/**
 * The cost of an attempt.
 *
 * @param price cost units per generated token
 * @returns cost units
 * @example
 * attemptCost(4, { promptTokens: 400, cachedPromptTokens: 0, completionTokens: 60 }) // 640
 */
export function attemptCost (price: number, usage: TokenUsage): number {
  const uncachedPromptTokens = usage.promptTokens - usage.cachedPromptTokens
  return price * (uncachedPromptTokens / promptTokensPerGeneratedToken + usage.cachedPromptTokens / cachedPromptTokensPerGeneratedToken + usage.completionTokens)
}
