/** Validates chat completion requests: OpenAI's format plus lavenderdoor's extensions. */
import { createHash } from 'node:crypto'
import * as z from 'zod'
import { type ChatMessage, type ChatRequest, Err, Ok, Priority, Refusal, RefusalCode, type Result, RunState } from '../contract/index.ts'

const textPartSchema = z.object({ type: z.literal('text'), text: z.string() })

const messageSchema = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
  content: z.union([z.string(), z.array(textPartSchema)])
})

const bodySchema = z.object({
  model: z.string().min(1).max(200),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: z.number().int().min(1).nullish(),
  max_completion_tokens: z.number().int().min(1).nullish(),
  n: z.literal(1, 'only one choice a request').nullish(),
  metadata: z.record(z.string(), z.string()).nullish()
})

/** A validated body. `includeUsage` only affects the response format. */
export interface ChatBody {
  readonly request: ChatRequest
  readonly includeUsage: boolean
}

/** Properties of a request that are not part of its body. */
export interface ChatRequestContext {
  readonly id: string
  readonly organisation: string
  readonly kinds: ReadonlySet<string>
  readonly priority: string | undefined
  /** Milliseconds since the epoch. */
  readonly deadline: number
}

const defaultCompletionTokens = 512
const maximumCompletionTokens = 16_384
const charactersPerToken = 4
const prefixKeyCharacters = 2_000
/** Kind of requests that name no configured kind. */
const otherKind = 'other'

const priorities: Readonly<Record<string, Priority>> = {
  interactive: Priority.Interactive,
  normal: Priority.Normal,
  background: Priority.Background
}

/**
 * Validates a chat completion's body.
 *
 * @returns an `InvalidRequest` refusal that lists all schema violations
 * @example
 * const body = readChatBody(text, context)
 */
export function readChatBody (text: string, context: ChatRequestContext): Result<ChatBody, Refusal> {
  const document = parseJson(text)
  if (document === undefined) return Err(invalidRequest('the body is not JSON'))
  const checked = bodySchema.safeParse(document)
  if (!checked.success) return Err(invalidRequest(checked.error.issues.map(describeIssue).join('; ')))
  const priority = context.priority === undefined ? undefined : priorities[context.priority]
  if (context.priority !== undefined && priority === undefined) return Err(invalidRequest(`the priority must be one of ${Object.keys(priorities).join(', ')}`))
  const difficulty = readDifficulty(checked.data.metadata?.difficulty)
  if (difficulty.err) return difficulty
  const body = checked.data
  const messages = body.messages.map(flattenMessage)
  const streamed = body.stream ?? false
  const kind = body.metadata?.kind ?? otherKind
  return Ok({
    includeUsage: body.stream_options?.include_usage ?? false,
    request: {
      id: context.id,
      organisation: context.organisation,
      model: body.model,
      kind: context.kinds.has(kind) ? kind : otherKind,
      messages,
      streamed,
      maximumTokens: Math.min(body.max_completion_tokens ?? body.max_tokens ?? defaultCompletionTokens, maximumCompletionTokens),
      priority: priority ?? (streamed ? Priority.Interactive : Priority.Normal),
      difficultyHint: difficulty.val,
      promptTokens: Math.ceil(messages.reduce((sum, message) => sum + message.content.length, 0) / charactersPerToken),
      prefixKey: prefixKeyOf(messages),
      deadline: context.deadline
    }
  })
}

/** Returns undefined if the text is not JSON. */
function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function readDifficulty (text: string | undefined): Result<number | undefined, Refusal> {
  if (text === undefined) return Ok(undefined)
  const value = Number(text)
  return Number.isFinite(value) ? Ok(value) : Err(invalidRequest('metadata.difficulty must be a number'))
}

function flattenMessage (message: z.infer<typeof messageSchema>): ChatMessage {
  const content = typeof message.content === 'string' ? message.content : message.content.map(part => part.text).join('')
  return { role: message.role, content }
}

/** Requests whose first message begins alike share a cached prefix in an engine. */
function prefixKeyOf (messages: readonly ChatMessage[]): string {
  const first = messages[0]?.content.slice(0, prefixKeyCharacters) ?? ''
  return createHash('sha256').update(first).digest('hex').slice(0, 16)
}

function describeIssue (issue: z.core.$ZodIssue): string {
  const path = issue.path.length === 0 ? 'the body' : issue.path.join('.')
  return `${path}: ${issue.message}`
}

function invalidRequest (message: string): Refusal {
  return new Refusal(RefusalCode.InvalidRequest, RunState.NotRun, message)
}
