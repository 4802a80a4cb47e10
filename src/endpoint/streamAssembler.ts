/**
 * Assembles an answer from frames that may be duplicated, missing or from another attempt. Every
 * frame carries its attempt's id and the position of its first token. A frame that was already
 * emitted is dropped. Any other frame that is not contiguous is a connection fault, after which the
 * reader resumes the stream at `nextOffset` over another connection. The answer is complete only if
 * the finish frame matches the number of emitted tokens and the end marker follows it.
 */
import * as z from 'zod'
import type { TokenUsage } from '../contract/index.ts'
import type { EngineChunk, EngineFinish } from './contract.ts'

const finishReasons = ['stop', 'length'] as const
const frameSchema = z.object({
  id: z.string(),
  choices: z.array(z.object({
    delta: z.object({ content: z.string().nullish() }),
    finish_reason: z.enum(finishReasons).nullish()
  })).min(1),
  token_offset: z.number().int().nonnegative(),
  token_count: z.number().int().nonnegative(),
  usage: z.object({
    prompt_tokens: z.number(),
    completion_tokens: z.number(),
    prompt_tokens_details: z.object({ cached_tokens: z.number() }).nullish()
  }).nullish()
})
type Frame = z.infer<typeof frameSchema>

const endMarker = '[DONE]'

/** Result of accepting a frame. */
export type AssemblyResult =
  | { readonly type: 'chunk', readonly attemptId: string, readonly chunk: EngineChunk }
  | { readonly type: 'finish', readonly finish: EngineFinish }
  /** A duplicate, or the finish frame, which takes effect with the end marker. */
  | { readonly type: 'nothing' }
  /** The connection must be dropped. */
  | { readonly type: 'fault', readonly reason: string }

const noResult: AssemblyResult = { type: 'nothing' }

/** Checks and orders the frames of one attempt. */
export class StreamAssembler {
  readonly attemptId: string
  #nextOffset = 0
  #finish: EngineFinish | undefined

  constructor (attemptId: string) {
    this.attemptId = attemptId
  }

  /** Position of the first missing token. */
  get nextOffset (): number {
    return this.#nextOffset
  }

  /**
   * Accepts the data of one server-sent event.
   *
   * @example
   * const assembled = assembler.accept(data)
   * if (assembled.type === 'fault') exchange.abort(assembled.reason)
   */
  accept (data: string): AssemblyResult {
    if (data === endMarker) return this.#end()
    const frame = parseFrame(data)
    if (frame === undefined) return fault('stream frame is malformed')
    if (frame.id !== this.attemptId) return fault('stream frame carries the id of another attempt')
    const choice = frame.choices[0]
    const reason = choice?.finish_reason ?? undefined
    if (reason !== undefined) return this.#acceptFinish(frame, reason)
    return this.#acceptChunk(frame, choice?.delta.content ?? '')
  }

  #acceptChunk (frame: Frame, text: string): AssemblyResult {
    const endOffset = frame.token_offset + frame.token_count
    if (endOffset <= this.#nextOffset) return noResult
    if (frame.token_offset !== this.#nextOffset) return fault('stream frame is not contiguous')
    this.#nextOffset = endOffset
    const chunk = { offset: frame.token_offset, text, tokens: frame.token_count }
    return { type: 'chunk', attemptId: frame.id, chunk }
  }

  #acceptFinish (frame: Frame, reason: EngineFinish['reason']): AssemblyResult {
    const usage = usageOf(frame)
    if (usage === undefined) return fault('finish frame has no usage')
    const agrees = frame.token_offset === this.#nextOffset && usage.completionTokens === this.#nextOffset
    if (!agrees) return fault('finish frame does not match the number of received tokens')
    this.#finish = { reason, usage }
    return noResult
  }

  #end (): AssemblyResult {
    if (this.#finish === undefined) return fault('end marker arrived without a finish frame')
    return { type: 'finish', finish: this.#finish }
  }
}

function parseFrame (data: string): Frame | undefined {
  try {
    const parsed = frameSchema.safeParse(JSON.parse(data))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

function usageOf (frame: Frame): TokenUsage | undefined {
  if (frame.usage === undefined || frame.usage === null) return undefined
  return {
    promptTokens: frame.usage.prompt_tokens,
    cachedPromptTokens: frame.usage.prompt_tokens_details?.cached_tokens ?? 0,
    completionTokens: frame.usage.completion_tokens
  }
}

function fault (reason: string): AssemblyResult {
  return { type: 'fault', reason }
}
