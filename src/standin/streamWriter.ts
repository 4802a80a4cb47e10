/**
 * Writes a generation to a connection as server-sent events in OpenAI's format. Each frame carries
 * the attempt id and the offset of its first token, so that a reader can detect a misdirected,
 * repeated or missing frame. An idle stream sends a comment at regular intervals, so that a reader
 * can tell an idle stream from a dead connection.
 */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { Generation } from './generation.ts'

/** An idle stream sends a heartbeat comment at this interval. */
export const heartbeatIntervalMilliseconds = 250

/** The faults that affect one writer. */
export interface WriterFault {
  /** Stops writing and leaves the connection open. */
  isSilent: boolean
  /** Number of frames after which the connection is cut; undefined for never. */
  cutAfterFrames: number | undefined
}

/**
 * Writes a generation from an offset to its end. The response is ended only if the answer is
 * complete; otherwise the connection is destroyed.
 *
 * @param offset index of the first token to write
 * @example
 * await writeStream(generation, 0, response, { isSilent: false, cutAfterFrames: undefined })
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

/** The response body for a request that is not streamed. */
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

/** Writes to the response and waits while its buffer is full. */
async function writeWhenReady (response: ServerResponse, text: string): Promise<void> {
  if (response.write(text) || response.destroyed) return
  await Promise.race([once(response, 'drain'), once(response, 'close')]).catch(() => undefined)
}
