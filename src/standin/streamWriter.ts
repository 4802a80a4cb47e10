/**
 * Writes one generation to one connection as server-sent events in OpenAI's shape. Each frame
 * carries the attempt's id and the number of its first token, so that a reader can tell a crossed,
 * repeated or missing frame; a comment is sent when the stream has been idle for a while, so that a
 * reader can tell a quiet stream from a dead connection.
 */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { Generation } from './generation.ts'

/** Milliseconds of idleness after which a comment is sent. */
export const heartbeatMilliseconds = 250

/** What a fault does to one writer. */
export interface WriterFate {
  /** Nothing more is written, and the connection stays open. */
  silent: boolean
  /** Frames after which the connection is cut. */
  cutAfter: number | undefined
}

/**
 * Writes a generation from an offset to its end, and ends the response only if the answer is whole.
 *
 * @param offset number of the first token to write
 * @example
 * await writeStream(generation, 0, response, { silent: false, cutAfter: undefined })
 */
export async function writeStream (generation: Generation, offset: number, response: ServerResponse, fate: WriterFate): Promise<void> {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-attempt-id': generation.plan.attemptId })
  response.flushHeaders()
  let next = offset
  let frames = 0
  while (!response.destroyed) {
    if (fate.silent) return
    if (fate.cutAfter !== undefined && frames >= fate.cutAfter) {
      response.destroy()
      return
    }
    if (next < generation.made) {
      const count = generation.made - next
      await send(response, frame(generation, next, count))
      next += count
      frames++
      continue
    }
    if (generation.isOver) return endStream(generation, response)
    await generation.change(heartbeatMilliseconds)
    const isIdle = next === generation.made && !generation.isOver
    if (isIdle && !fate.silent) await send(response, ': heartbeat\n\n')
  }
}

/** The reply to a request that is not streamed. */
export function wholeAnswer (generation: Generation): unknown {
  return {
    id: generation.plan.attemptId,
    object: 'chat.completion',
    created: seconds(generation.takenAt),
    model: generation.plan.version,
    choices: [{ index: 0, message: { role: 'assistant', content: generation.textFrom(0) }, finish_reason: finishReason(generation) }],
    usage: usage(generation)
  }
}

function endStream (generation: Generation, response: ServerResponse): void {
  if (!generation.isWhole) {
    response.destroy()
    return
  }
  const last = {
    ...envelope(generation),
    choices: [{ index: 0, delta: {}, finish_reason: finishReason(generation) }],
    token_offset: generation.made,
    token_count: 0,
    usage: usage(generation)
  }
  response.end(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`)
}

function frame (generation: Generation, offset: number, count: number): string {
  const content = generation.textFrom(offset)
  const chunk = {
    ...envelope(generation),
    choices: [{ index: 0, delta: { content }, finish_reason: null }],
    token_offset: offset,
    token_count: count
  }
  return `data: ${JSON.stringify(chunk)}\n\n`
}

function envelope (generation: Generation): object {
  return {
    id: generation.plan.attemptId,
    object: 'chat.completion.chunk',
    created: seconds(generation.takenAt),
    model: generation.plan.version
  }
}

function usage (generation: Generation): object {
  return {
    prompt_tokens: generation.plan.promptTokens,
    completion_tokens: generation.made,
    total_tokens: generation.plan.promptTokens + generation.made,
    prompt_tokens_details: { cached_tokens: generation.cachedTokens }
  }
}

function finishReason (generation: Generation): 'stop' | 'length' {
  return generation.plan.limited ? 'length' : 'stop'
}

function seconds (milliseconds: number): number {
  return Math.floor(milliseconds / 1_000)
}

/** Waits where the connection takes no more for now. */
async function send (response: ServerResponse, text: string): Promise<void> {
  if (response.write(text) || response.destroyed) return
  await Promise.race([once(response, 'drain'), once(response, 'close')]).catch(() => undefined)
}
