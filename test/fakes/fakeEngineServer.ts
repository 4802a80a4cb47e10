/**
 * A model engine on the fake network. It generates tokens at a fixed interval whether or not they are
 * read, so a stream can be resumed at any offset. `expectedText` is the reference for each answer.
 */
import type { Clock } from '../../src/contract/index.ts'
import type { NetworkReply, NetworkRequest, NetworkServer } from './fakeNetwork.ts'

/** Length and timing of the answers. */
export interface FakeEngineServerOptions {
  readonly tokenCount: number
  readonly tokenIntervalMilliseconds: number
  /** Time from the arrival of the request to the start of generation. */
  readonly firstTokenDelayMilliseconds?: number
}

interface Stream {
  readonly attemptId: string
  readonly startedAt: number
  cancelled: boolean
}

const heartbeatIntervalMilliseconds = 250
const heartbeatFrame = ': heartbeat\n\n'

export class FakeEngineServer implements NetworkServer {
  readonly #clock: Clock
  readonly #options: FakeEngineServerOptions
  readonly #streams = new Map<string, Stream>()

  constructor (clock: Clock, options: FakeEngineServerOptions) {
    this.#clock = clock
    this.#options = options
  }

  /** Attempts in order of arrival, and whether each was cancelled. */
  get runs (): ReadonlyArray<{ readonly attemptId: string, readonly cancelled: boolean }> {
    return [...this.#streams.values()]
  }

  /** The text of the complete answer to an attempt. */
  expectedText (attemptId: string): string {
    return this.#tokensText(attemptId, 0, this.#options.tokenCount)
  }

  handleRequest (request: NetworkRequest): NetworkReply {
    const attemptId = request.headers['x-attempt-id'] ?? ''
    if (request.method === 'POST') {
      const stream = { attemptId, startedAt: this.#clock.now() + (this.#options.firstTokenDelayMilliseconds ?? 0), cancelled: false }
      this.#streams.set(attemptId, stream)
      return this.#stream(stream, 0)
    }
    const stream = this.#streams.get(attemptId)
    if (stream === undefined || stream.cancelled) return emptyReply(404)
    if (request.method === 'DELETE') {
      stream.cancelled = true
      return emptyReply(200)
    }
    return this.#stream(stream, Number(/offset=(\d+)/.exec(request.path)?.[1] ?? 0))
  }

  #stream (stream: Stream, offset: number): NetworkReply {
    return { status: 200, headers: { 'content-type': 'text/event-stream' }, chunks: this.#frames(stream, offset) }
  }

  async * #frames (stream: Stream, offset: number): AsyncGenerator<string, void, undefined> {
    const { tokenCount: tokens, tokenIntervalMilliseconds: betweenTokens } = this.#options
    let nextOffset = offset
    while (nextOffset < tokens) {
      const dueAt = stream.startedAt + (nextOffset + 1) * betweenTokens
      await this.#clock.sleep(Math.min(heartbeatIntervalMilliseconds, dueAt - this.#clock.now()))
      if (stream.cancelled) return
      const producedTokens = Math.min(tokens, Math.floor((this.#clock.now() - stream.startedAt) / betweenTokens))
      if (producedTokens <= nextOffset) {
        yield heartbeatFrame
        continue
      }
      yield formatTokenFrame(stream.attemptId, nextOffset, producedTokens - nextOffset, this.#tokensText(stream.attemptId, nextOffset, producedTokens))
      nextOffset = producedTokens
    }
    yield formatFinishFrame(stream.attemptId, tokens)
    yield 'data: [DONE]\n\n'
  }

  #tokensText (attemptId: string, from: number, to: number): string {
    let text = ''
    for (let index = from; index < to; index++) text += `${attemptId}#${index}/ü `
    return text
  }
}

/** A token frame of a stream, as an engine writes it. */
export function formatTokenFrame (attemptId: string, offset: number, count: number, content: string): string {
  return `data: ${JSON.stringify({ id: attemptId, choices: [{ delta: { content }, finish_reason: null }], token_offset: offset, token_count: count })}\n\n`
}

/** The frame that finishes a stream of `tokenCount` tokens. */
export function formatFinishFrame (attemptId: string, tokenCount: number): string {
  const usage = { prompt_tokens: 10, completion_tokens: tokenCount, prompt_tokens_details: { cached_tokens: 0 } }
  return `data: ${JSON.stringify({ id: attemptId, choices: [{ delta: {}, finish_reason: 'stop' }], token_offset: tokenCount, token_count: 0, usage })}\n\n`
}

function emptyReply (status: number): NetworkReply {
  return { status, headers: { 'content-length': '2' }, chunks: singleChunk('{}') }
}

async function * singleChunk (piece: string): AsyncGenerator<string, void, undefined> {
  yield piece
}
