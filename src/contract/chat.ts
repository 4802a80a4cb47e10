/** A chat completion as the router sees it, after its body was checked. */

/** How urgent a request is for an engine's queue; lower is sooner. */
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

/** A checked request for a chat completion. */
export interface ChatRequest {
  /** The request's own identifier, made by the daemon that took it. */
  readonly id: string
  readonly organisation: string
  /** `auto`, a model, or a `model@version`. */
  readonly model: string
  /** The kind of request, such as `tagging` or `summary`; ratings are kept by it. */
  readonly kind: string
  readonly messages: readonly ChatMessage[]
  readonly streamed: boolean
  readonly maximumTokens: number
  readonly priority: Priority
  /** How hard the request looks, from 0 to 1, where the caller or an estimate says so. */
  readonly difficultyHint: number | undefined
  /** Estimated prompt tokens. */
  readonly promptTokens: number
  /** A stable text of the prompt's beginning by which engines cache it. */
  readonly prefixKey: string
  /** The answer is due at this moment: milliseconds since the epoch. */
  readonly deadline: number
}

/** What an answer consumed. */
export interface TokenUsage {
  readonly promptTokens: number
  readonly cachedPromptTokens: number
  readonly completionTokens: number
}

/** Prompt tokens that cost as much as one generated token. */
export const promptTokensPerGeneratedToken = 4
/** Prompt tokens found in an engine's cache that cost as much as one generated token. */
const cachedPromptTokensPerGeneratedToken = 40

/**
 * What an attempt costs.
 *
 * @param price cost units a generated token
 * @returns cost units
 * @example
 * attemptCost(4, { promptTokens: 400, cachedPromptTokens: 0, completionTokens: 60 }) // 640
 */
export function attemptCost (price: number, usage: TokenUsage): number {
  const uncachedPromptTokens = usage.promptTokens - usage.cachedPromptTokens
  return price * (uncachedPromptTokens / promptTokensPerGeneratedToken + usage.cachedPromptTokens / cachedPromptTokensPerGeneratedToken + usage.completionTokens)
}
