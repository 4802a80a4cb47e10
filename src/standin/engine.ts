/**
 * A stand-in for a model engine. It serves OpenAI's chat completions over HTTP, with continuous
 * batching in real time, a bounded prefix cache, priorities, streams that can be resumed for a while
 * after their connection has closed, and orders to load and unload versions. `GET /records` returns
 * everything that ran; the checks of a trial rely on it.
 *
 * `POST /v1/chat/completions` (`x-attempt-id` names the attempt), `GET|DELETE
 * /v1/streams/{attemptId}?offset=N`, `GET /load`, `POST /orders`, `GET|PUT /kv/{prefixKey}`,
 * `GET /records`, `POST /leave`, `POST /faults`.
 */
import * as z from 'zod'
import { type LoadReport, Priority, type VersionName } from '../contract/index.ts'
import { Batch } from './batch.ts'
import { EngineFaults } from './engineFaults.ts'
import { Generation, type GenerationPlan } from './generation.ts'
import { parseJsonBody, StandInServer, sleep, replyJson, type StandIn, type HttpExchange } from './standInServer.ts'
import { parsePrompt } from './textProtocol.ts'
import { profileOf, skillOf, answerTokensOf } from './modelProfiles.ts'
import { chatCompletion, writeStream } from './streamWriter.ts'

export interface EngineOptions {
  /** `IP:port`; port 0 selects a free port. */
  readonly listen: string
  readonly name: string
  /** Versions that are loaded at the start. */
  readonly versions: readonly VersionName[]
  /** Relative speed, 1 for new hardware; 1 by default. */
  readonly speed?: number
  /** Maximum number of streams that decode at once; 32 by default. */
  readonly streamLimit?: number
  /** Capacity of the prefix cache in tokens; 400,000 by default. */
  readonly prefixCacheTokens?: number
  /** Whether orders with a stale fencing number are refused; true by default. */
  readonly checksFencing?: boolean
  /** Milliseconds that loading a version takes; 300 by default. */
  readonly loadMilliseconds?: number
  /** Milliseconds that a stream continues without a connection; 5,000 by default. */
  readonly detachedTimeoutMilliseconds?: number
}

/** One generation as `GET /records` reports it. */
export interface EngineRun {
  readonly attemptId: string
  readonly version: VersionName
  /** The value of `request=` in the prompt. */
  readonly request: string
  /** Milliseconds since the epoch. */
  readonly takenAt: number
  readonly startedAt: number | undefined
  readonly finishedAt: number | undefined
  readonly tokens: number
  /** Whether all tokens were produced. */
  readonly wholly: boolean
  readonly takenWhileLeaving: boolean
}

const defaultSpeed = 1
const defaultStreamLimit = 32
const defaultPrefixCacheTokens = 400_000
const defaultLoadMilliseconds = 300
const defaultDetachedTimeoutMilliseconds = 5_000
const finishedRetentionMilliseconds = 30_000
const defaultMaximumAnswerTokens = 4_096
const charactersPerToken = 4

const chatRequestSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  max_tokens: z.number().int().positive().default(defaultMaximumAnswerTokens),
  stream: z.boolean().default(false),
  priority: z.enum(Priority).default(Priority.Normal),
  prefix_key: z.string().default(''),
  prompt_tokens: z.number().int().nonnegative().optional()
})
const orderSchema = z.object({ fencing: z.number(), action: z.enum(['load', 'unload']), version: z.string() })
const prefixCacheSchema = z.object({ tokens: z.number().int().nonnegative() })

/**
 * Starts an engine stand-in.
 *
 * @example
 * const engine = await startEngine({ listen: '127.0.0.1:0', name: 'engine-1', versions: ['small@1'] })
 */
export async function startEngine (options: EngineOptions): Promise<StandIn> {
  const engine = new Engine(options)
  const server = new StandInServer(exchange => engine.handle(exchange))
  engine.server = server
  await server.listen(options.listen)
  return {
    address: server.address,
    close: async () => {
      engine.stop()
      await server.close()
    }
  }
}

class Engine {
  server: StandInServer | undefined
  readonly #options: EngineOptions
  readonly #batch: Batch
  readonly #faults: EngineFaults
  readonly #versions: Set<VersionName>
  readonly #generations = new Map<string, Generation>()
  readonly #allGenerations: Generation[] = []
  readonly #connectionCounts = new Map<Generation, number>()
  readonly #incarnation = Date.now()
  #highestFencing = 0
  #isLeaving = false

  constructor (options: EngineOptions) {
    this.#options = options
    this.#versions = new Set(options.versions)
    this.#batch = new Batch({
      speed: options.speed ?? defaultSpeed,
      streamLimit: options.streamLimit ?? defaultStreamLimit,
      prefixCacheTokens: options.prefixCacheTokens ?? defaultPrefixCacheTokens
    })
    this.#faults = new EngineFaults(this.#batch)
  }

  stop (): void {
    this.#batch.stop()
  }

  async handle (exchange: HttpExchange): Promise<void> {
    const route = exchange.path.slice(0, 2).join('/')
    if (route === 'faults') {
      replyJson(exchange, 200, {})
      return this.#faults.apply(parseJsonBody(exchange), this.server, () => this.#cancelAll())
    }
    if (route === 'records') return replyJson(exchange, 200, this.#allGenerations.map(engineRunOf))
    while (this.#faults.isFrozen) await sleep(this.#batch.frozenUntil - Date.now())
    if (route === 'v1/chat') return this.#handleChatCompletion(exchange)
    if (route === 'v1/streams') return this.#handleStream(exchange, exchange.path[2] ?? '')
    if (route === 'load') return replyJson(exchange, 200, this.#loadReport())
    if (route === 'orders') return this.#handleOrder(exchange)
    if (exchange.path[0] === 'kv') return this.#handlePrefixCache(exchange, exchange.path[1] ?? '')
    if (route !== 'leave') return replyJson(exchange, 404, { error: 'no such path' })
    this.#isLeaving = true
    replyJson(exchange, 200, {})
  }

  async #handleChatCompletion (exchange: HttpExchange): Promise<void> {
    const request = chatRequestSchema.parse(parseJsonBody(exchange))
    const version = request.model as VersionName
    const attemptId = headerOf(exchange, 'x-attempt-id') ?? `attempt-${this.#allGenerations.length}`
    exchange.response.setHeader('x-attempt-id', attemptId)
    if (!this.#versions.has(version)) return replyJson(exchange, 404, { error: { code: 'model_not_loaded' } })
    if (this.#generations.has(attemptId)) return replyJson(exchange, 409, { error: { code: 'attempt_exists' } })
    const generation = new Generation(this.#createPlan(attemptId, version, request))
    this.#generations.set(attemptId, generation)
    this.#allGenerations.push(generation)
    this.#batch.enqueue(generation)
    if (request.stream) return this.#attachConnection(generation, 0, exchange)
    await this.#replyWhenFinished(generation, exchange)
  }

  #createPlan (attemptId: string, version: VersionName, request: z.infer<typeof chatRequestSchema>): GenerationPlan {
    const prompt = request.messages.map(message => message.content).join('\n')
    const directives = parsePrompt(prompt)
    const skill = Math.max(0, skillOf(version, directives.kind) - this.#faults.skillLoss(version))
    const requestedTokens = directives.tokens ?? answerTokensOf(directives.kind)
    return {
      attemptId,
      version,
      header: { version, kind: directives.kind, skill, request: directives.request },
      priority: request.priority,
      prefixKey: request.prefix_key,
      promptTokens: request.prompt_tokens ?? Math.ceil(prompt.length / charactersPerToken),
      answerTokens: Math.max(1, Math.min(requestedTokens, request.max_tokens)),
      isTruncated: requestedTokens > request.max_tokens,
      receivedWhileLeaving: this.#isLeaving
    }
  }

  async #replyWhenFinished (generation: Generation, exchange: HttpExchange): Promise<void> {
    exchange.response.once('close', () => {
      if (!exchange.response.writableFinished) generation.cancel()
    })
    while (!generation.isFinished) await generation.waitForChange(this.#detachedTimeoutMilliseconds)
    if (generation.isWhole) replyJson(exchange, 200, chatCompletion(generation))
    else exchange.response.destroy()
  }

  async #handleStream (exchange: HttpExchange, attemptId: string): Promise<void> {
    const generation = this.#generations.get(attemptId)
    if (generation === undefined) return replyJson(exchange, 404, { error: { code: 'no_such_stream' } })
    if (exchange.method === 'DELETE') {
      generation.cancel()
      return replyJson(exchange, 200, {})
    }
    const offset = Number(exchange.query.get('offset') ?? 0)
    if (generation.isCancelled || offset > generation.producedTokens) return replyJson(exchange, 410, { error: { code: 'stream_cancelled' } })
    await this.#attachConnection(generation, offset, exchange)
  }

  /** Writes the stream to a connection. After the last connection has closed the stream continues for a while, so that the reader can reconnect. */
  async #attachConnection (generation: Generation, offset: number, exchange: HttpExchange): Promise<void> {
    this.#connectionCounts.set(generation, (this.#connectionCounts.get(generation) ?? 0) + 1)
    exchange.response.once('close', () => this.#detachConnection(generation))
    await this.#faults.runWriter(fault => writeStream(generation, offset, exchange.response, fault))
  }

  #detachConnection (generation: Generation): void {
    const remainingConnections = (this.#connectionCounts.get(generation) ?? 1) - 1
    this.#connectionCounts.set(generation, remainingConnections)
    if (remainingConnections > 0) return
    const delayMilliseconds = generation.isFinished ? finishedRetentionMilliseconds : this.#detachedTimeoutMilliseconds
    setTimeout(() => this.#discardIfDetached(generation), delayMilliseconds).unref()
  }

  #discardIfDetached (generation: Generation): void {
    if ((this.#connectionCounts.get(generation) ?? 0) > 0) return
    generation.cancel()
    this.#connectionCounts.delete(generation)
    this.#generations.delete(generation.plan.attemptId)
  }

  get #detachedTimeoutMilliseconds (): number {
    return this.#options.detachedTimeoutMilliseconds ?? defaultDetachedTimeoutMilliseconds
  }

  #cancelAll (): void {
    for (const generation of this.#generations.values()) generation.cancel()
    this.#generations.clear()
  }

  #loadReport (): LoadReport {
    const prefillTokensPerSecond = Math.min(...[...this.#versions].map(version => profileOf(version).prefillTokensPerSecond))
    return {
      at: Date.now(),
      incarnation: this.#incarnation,
      versions: [...this.#versions],
      running: this.#batch.runningCount,
      queued: this.#batch.queuedCount,
      queuedPromptTokens: this.#batch.queuedPromptTokens,
      streamLimit: this.#batch.hardware.streamLimit,
      prefillTokensPerSecond: Number.isFinite(prefillTokensPerSecond) ? prefillTokensPerSecond * this.#batch.hardware.speed : 0,
      betweenTokensMilliseconds: this.#batch.betweenTokensMilliseconds,
      leaving: this.#isLeaving
    }
  }

  async #handleOrder (exchange: HttpExchange): Promise<void> {
    const order = orderSchema.parse(parseJsonBody(exchange))
    const isStale = order.fencing < this.#highestFencing
    if (isStale && this.#options.checksFencing !== false) return replyJson(exchange, 409, { error: { code: 'old_fencing_number' } })
    this.#highestFencing = Math.max(this.#highestFencing, order.fencing)
    const version = order.version as VersionName
    if (order.action === 'unload') this.#versions.delete(version)
    else await this.#loadVersion(version)
    replyJson(exchange, 200, {})
  }

  async #loadVersion (version: VersionName): Promise<void> {
    await sleep(this.#options.loadMilliseconds ?? defaultLoadMilliseconds)
    this.#versions.add(version)
  }

  #handlePrefixCache (exchange: HttpExchange, prefixKey: string): void {
    if (exchange.method === 'PUT') this.#batch.cachePrefix(prefixKey, prefixCacheSchema.parse(parseJsonBody(exchange)).tokens)
    replyJson(exchange, 200, { tokens: this.#batch.cachedTokens(prefixKey) })
  }
}

function engineRunOf (generation: Generation): EngineRun {
  const { plan } = generation
  return {
    attemptId: plan.attemptId,
    version: plan.version,
    request: plan.header.request,
    takenAt: generation.receivedAt,
    startedAt: generation.startedAt,
    finishedAt: generation.finishedAt,
    tokens: generation.producedTokens,
    wholly: generation.isWhole,
    takenWhileLeaving: plan.receivedWhileLeaving
  }
}

function headerOf (exchange: HttpExchange, name: string): string | undefined {
  const value = exchange.headers[name]
  return typeof value === 'string' ? value : undefined
}
