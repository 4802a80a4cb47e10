/** Bodies of completions, stream chunks, model lists and errors in OpenAI's format. */
import type { Refusal, TokenUsage, VersionName } from '../contract/index.ts'
import type { AnswerFinished } from './answer.ts'

const millisecondsPerSecond = 1_000

/** Fields that all chunks of a completion share. */
export interface CompletionIdentity {
  readonly id: string
  readonly version: VersionName
  /** Milliseconds since the epoch. */
  readonly createdAt: number
}

/** Body of a complete chat completion. */
export function chatCompletion (identity: CompletionIdentity, text: string, end: AnswerFinished) {
  return {
    id: `chatcmpl-${identity.id}`,
    object: 'chat.completion',
    created: Math.floor(identity.createdAt / millisecondsPerSecond),
    model: identity.version,
    choices: [{ index: 0, message: { role: 'assistant', content: text, refusal: null }, logprobs: null, finish_reason: end.reason }],
    usage: usageOf(end.usage)
  }
}

/** One chunk of a streamed chat completion. */
export function completionChunk (identity: CompletionIdentity, delta: { role?: 'assistant', content?: string }, reason: AnswerFinished['reason'] | null) {
  return {
    id: `chatcmpl-${identity.id}`,
    object: 'chat.completion.chunk',
    created: Math.floor(identity.createdAt / millisecondsPerSecond),
    model: identity.version,
    choices: [{ index: 0, delta, logprobs: null, finish_reason: reason }]
  }
}

/** Last chunk of a stream if the caller requested `include_usage`. */
export function usageChunk (identity: CompletionIdentity, usage: TokenUsage) {
  return { ...completionChunk(identity, {}, null), choices: [], usage: usageOf(usage) }
}

/** Error body, extended by the request's run state. */
export function errorBody (refusal: Refusal) {
  const type = refusal.status < 500 ? 'invalid_request_error' : 'server_error'
  return { error: { message: refusal.message, type, param: null, code: refusal.code.name, run: refusal.run } }
}

/** List of models available to an organisation. */
export function modelList (names: readonly string[]) {
  return { object: 'list', data: names.map(id => ({ id, object: 'model', created: 0, owned_by: 'lavenderdoor' })) }
}

function usageOf (usage: TokenUsage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedPromptTokens }
  }
}
