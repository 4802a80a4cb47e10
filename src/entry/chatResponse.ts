/** Writes an answer to its caller, as one body or as a stream. An incomplete stream ends with an error event and without `[DONE]`. */
import type Koa from 'koa'
import { type Clock, invariant, Refusal, RefusalCode, RunState, type VersionName } from '../contract/index.ts'
import type { AnswerEvent, AnswerFinished, AnswerStarted } from './answer.ts'
import { EventStreamWriter, StreamState } from './eventStreamWriter.ts'
import { completionChunk, errorBody, usageChunk, chatCompletion } from './openAiFormat.ts'

export interface ChatResponseOptions {
  readonly id: string
  readonly streamed: boolean
  readonly includeUsage: boolean
  /** Milliseconds since the epoch. */
  readonly deadline: number
  readonly clock: Clock
  /** Called for each chunk of text with the milliseconds since the start and since the previous chunk. */
  readonly onText: (sinceStart: number, sinceLast: number | undefined) => void
}

/** How the response ended. */
export interface ChatResponseEnd {
  readonly outcome: 'answered' | 'refused' | 'left'
  readonly refusal: Refusal | undefined
}

/**
 * Writes an answer's events to the response.
 *
 * @example
 * const end = await respondChat(context, router.answer(call, signal), options)
 */
export async function respondChat (context: Koa.Context, events: AsyncGenerator<AnswerEvent>, options: ChatResponseOptions): Promise<ChatResponseEnd> {
  return await (options.streamed ? respondStreamed(context, events, options) : respondBuffered(context, events, options))
}

async function respondBuffered (context: Koa.Context, events: AsyncGenerator<AnswerEvent>, options: ChatResponseOptions): Promise<ChatResponseEnd> {
  let text = ''
  let started: AnswerStarted | undefined
  const startedAt = options.clock.now()
  for await (const event of events) {
    if (event.type === 'refused') return refuse(context, event.refusal)
    if (event.type === 'started') {
      started = event
      setHeaders(context, event)
      continue
    }
    if (event.type === 'text') {
      if (text === '') options.onText(options.clock.now() - startedAt, undefined)
      text += event.text
      continue
    }
    invariant(started !== undefined, 'an answer starts before it ends', () => ({ request: options.id }))
    context.body = chatCompletion({ id: options.id, version: started.version, createdAt: startedAt }, text, event)
    return { outcome: 'answered', refusal: undefined }
  }
  return refuse(context, incompleteAnswer())
}

async function respondStreamed (context: Koa.Context, events: AsyncGenerator<AnswerEvent>, options: ChatResponseOptions): Promise<ChatResponseEnd> {
  const response = new StreamedResponse(context, options)
  for await (const event of events) {
    if (event.type === 'refused') return await response.refuse(event.refusal)
    if (event.type === 'finished') return await response.finish(event)
    const state = event.type === 'started' ? await response.start(event) : await response.text(event.text)
    if (state === StreamState.Disconnected) return { outcome: 'left', refusal: undefined }
  }
  return await response.refuse(incompleteAnswer())
}

/** Writes a response while its answer is generated. */
class StreamedResponse {
  readonly #context: Koa.Context
  readonly #options: ChatResponseOptions
  readonly #stream: EventStreamWriter
  readonly #startedAt: number
  #version: VersionName | undefined
  #lastTextAt: number | undefined

  constructor (context: Koa.Context, options: ChatResponseOptions) {
    this.#context = context
    this.#options = options
    this.#startedAt = options.clock.now()
    this.#stream = new EventStreamWriter(context.res, () => options.deadline - options.clock.now())
  }

  async start (event: AnswerStarted): Promise<StreamState> {
    this.#version = event.version
    setHeaders(this.#context, event)
    this.#context.set('content-type', 'text/event-stream; charset=utf-8')
    this.#context.set('cache-control', 'no-store')
    this.#context.respond = false
    this.#context.res.statusCode = 200
    return await this.#stream.send(completionChunk(this.#identity(), { role: 'assistant', content: '' }, null))
  }

  async text (text: string): Promise<StreamState> {
    const now = this.#options.clock.now()
    this.#options.onText(now - this.#startedAt, this.#lastTextAt === undefined ? undefined : now - this.#lastTextAt)
    this.#lastTextAt = now
    return await this.#stream.send(completionChunk(this.#identity(), { content: text }, null))
  }

  async finish (event: AnswerFinished): Promise<ChatResponseEnd> {
    await this.#stream.send(completionChunk(this.#identity(), {}, event.reason))
    if (this.#options.includeUsage) await this.#stream.send(usageChunk(this.#identity(), event.usage))
    this.#stream.finish()
    return { outcome: 'answered', refusal: undefined }
  }

  async refuse (refusal: Refusal): Promise<ChatResponseEnd> {
    if (this.#version === undefined) return refuse(this.#context, refusal)
    await this.#stream.send(errorBody(refusal))
    this.#stream.end()
    return { outcome: 'refused', refusal }
  }

  #identity () {
    invariant(this.#version !== undefined, 'an answer starts before its text', () => ({ request: this.#options.id }))
    return { id: this.#options.id, version: this.#version, createdAt: this.#startedAt }
  }
}

function refuse (context: Koa.Context, refusal: Refusal): ChatResponseEnd {
  context.status = refusal.status
  if (refusal.retryAfterSeconds !== undefined) context.set('retry-after', String(Math.ceil(refusal.retryAfterSeconds)))
  context.body = errorBody(refusal)
  return { outcome: 'refused', refusal }
}

function setHeaders (context: Koa.Context, event: AnswerStarted): void {
  context.set('x-lavenderdoor-version', event.version)
  if (event.sessionToken !== undefined) context.set('x-lavenderdoor-session', event.sessionToken)
}

function incompleteAnswer (): Refusal {
  return new Refusal(RefusalCode.AnswerCutOff, RunState.Unknown, 'the answer ended before it was complete')
}
