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
export const heartbeatIntervalMilliseconds = 250

/** What a fault does to one writer. */
export interface WriterFault {
  /** Nothing more is written, and the connection stays open. */
  isSilent: boolean
  /** Frames after which the connection is cut. */
  cutAfterFrames: number | undefined
}

/**
 * Writes a generation from an offset to its end, and ends the response only if the answer is whole.
 *
 * @param offset number of the first token to write
 * @example
 * await writeStream(generation, 0, response, { silent: false, cutAfterFrames: undefined })
 */
export async function writeStream (generation: Generation, offset: number, response: ServerResponse, fault: WriterFault): Promise<void> {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-attempt-id': generation.plan.attemptId })
  response.flushHeaders()
  let nextOffset = offset
  let frameCount = 0
  while (!response.destroyed) {
    if (fault.isSilent) return
    if (fault.cutAfterFrames !== undefined && frameCount >= fault.cutAfterFrames) {
      response.destroy()
      return
    }
    if (nextOffset < generation.producedTokens) {
      const count = generation.producedTokens - nextOffset
      await writeWhenReady(response, formatChunk(generation, nextOffset, count))
      nextOffset += count
      frameCount++
      continue
    }
    if (generation.isFinished) return endStream(generation, response)
    await generation.waitForChange(heartbeatIntervalMilliseconds)
    const isIdle = nextOffset === generation.producedTokens && !generation.isFinished
    if (isIdle && !fault.isSilent) await writeWhenReady(response, ': heartbeat\n\n')
  }
}

/** The reply to a request that is not streamed. */
export function chatCompletion (generation: Generation): unknown {
  return {
    id: generation.plan.attemptId,
    object: 'chat.completion',
    created: toSeconds(generation.receivedAt),
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
  const finalChunk = {
    ...chunkFields(generation),
    choices: [{ index: 0, delta: {}, finish_reason: finishReason(generation) }],
    token_offset: generation.producedTokens,
    token_count: 0,
    usage: usage(generation)
  }
  response.end(`data: ${JSON.stringify(finalChunk)}\n\ndata: [DONE]\n\n`)
}

function formatChunk (generation: Generation, offset: number, count: number): string {
  const content = generation.textFrom(offset)
  const chunk = {
    ...chunkFields(generation),
    choices: [{ index: 0, delta: { content }, finish_reason: null }],
    token_offset: offset,
    token_count: count
  }
  return `data: ${JSON.stringify(chunk)}\n\n`
}

function chunkFields (generation: Generation): object {
  return {
    id: generation.plan.attemptId,
    object: 'chat.completion.chunk',
    created: toSeconds(generation.receivedAt),
    model: generation.plan.version
  }
}

function usage (generation: Generation): object {
  return {
    prompt_tokens: generation.plan.promptTokens,
    completion_tokens: generation.producedTokens,
    total_tokens: generation.plan.promptTokens + generation.producedTokens,
    prompt_tokens_details: { cached_tokens: generation.cachedTokens }
  }
}

function finishReason (generation: Generation): 'stop' | 'length' {
  return generation.plan.isTruncated ? 'length' : 'stop'
}

function toSeconds (milliseconds: number): number {
  return Math.floor(milliseconds / 1_000)
}

/** Waits where the connection takes no more for now. */
async function writeWhenReady (response: ServerResponse, text: string): Promise<void> {
  if (response.write(text) || response.destroyed) return
  await Promise.race([once(response, 'drain'), once(response, 'close')]).catch(() => undefined)
}
