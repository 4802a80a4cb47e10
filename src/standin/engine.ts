/**
 * A model engine's stand-in: OpenAI's chat completions over HTTP with continuous batching in real
 * time, a bounded prefix cache, priorities, streams that survive their connection for a while, and
 * orders. `GET /records` is the judge's truth of what ran.
 *
 * `POST /v1/chat/completions` (`x-attempt-id` names the attempt), `GET|DELETE
 * /v1/streams/{attemptId}?offset=N`, `GET /load`, `POST /orders`, `GET|PUT /kv/{prefixKey}`,
 * `GET /records`, `POST /leave`, `POST /faults`.
 */
import { z } from 'zod'
import { type LoadReport, Priority, type VersionName } from '../contract/index.ts'
import { Batch } from './batch.ts'
import { EngineFaults } from './engineFaults.ts'
import { Generation, type GenerationPlan } from './generation.ts'
import { bodyJson, HttpFrame, pause, replyJson, type StandIn, type Visit } from './httpFrame.ts'
import { readPrompt } from './marker.ts'
import { characterOf, skillOf, usualTokens } from './models.ts'
import { wholeAnswer, writeStream } from './streamWriter.ts'

/** How an engine's stand-in behaves. */
export interface EngineOptions {
  /** `IP:port`; port 0 takes a free one. */
  readonly listen: string
  readonly name: string
  /** Versions loaded at its start. */
  readonly versions: readonly VersionName[]
  /** 1 for new hardware; 1 where it is not given. */
  readonly speed?: number
  /** Streams that decode at once; 32 where it is not given. */
  readonly streamLimit?: number
  /** Tokens of prompt prefixes kept; 400,000 where it is not given. */
  readonly prefixCacheTokens?: number
  /** Whether orders with an old fencing number are refused; on where it is not given. */
  readonly checksFencing?: boolean
  /** Milliseconds that loading a version takes; 300 where it is not given. */
  readonly loadMilliseconds?: number
  /** Milliseconds that a stream without a connection is kept going; 5,000 where it is not given. */
  readonly unattachedMilliseconds?: number
}

/** One generation, as a trial's judge reads it. */
export interface EngineRun {
  readonly attemptId: string
  readonly version: VersionName
  /** The prompt's `request=` mark. */
  readonly request: string
  /** Milliseconds since the epoch. */
  readonly takenAt: number
  readonly startedAt: number | undefined
  readonly finishedAt: number | undefined
  readonly tokens: number
  /** Whether all its tokens were made. */
  readonly wholly: boolean
  readonly takenWhileLeaving: boolean
}

const defaultSpeed = 1
const defaultStreamLimit = 32
const defaultPrefixCacheTokens = 400_000
const defaultLoadMilliseconds = 300
const defaultUnattachedMilliseconds = 5_000
const keptAfterEndMilliseconds = 30_000
const defaultMaximumTokens = 4_096
const charactersPerToken = 4

const requestShape = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  max_tokens: z.number().int().positive().default(defaultMaximumTokens),
  stream: z.boolean().default(false),
  priority: z.enum(Priority).default(Priority.Normal),
  prefix_key: z.string().default(''),
  prompt_tokens: z.number().int().nonnegative().optional()
})
const orderShape = z.object({ fencing: z.number(), action: z.enum(['load', 'unload']), version: z.string() })
const cacheShape = z.object({ tokens: z.number().int().nonnegative() })

/**
 * Starts an engine.
 *
 * @example
 * const engine = await startEngine({ listen: '127.0.0.1:0', name: 'engine-1', versions: ['small@1'] })
 */
export async function startEngine (options: EngineOptions): Promise<StandIn> {
  const engine = new Engine(options)
  const frame = new HttpFrame(visit => engine.answer(visit))
  engine.frame = frame
  await frame.listen(options.listen)
  return {
    address: frame.address,
    close: async () => {
      engine.stop()
      await frame.close()
    }
  }
}

class Engine {
  frame: HttpFrame | undefined
  readonly #options: EngineOptions
  readonly #batch: Batch
  readonly #faults: EngineFaults
  readonly #versions: Set<VersionName>
  readonly #generations = new Map<string, Generation>()
  readonly #all: Generation[] = []
  readonly #attached = new Map<Generation, number>()
  readonly #incarnation = Date.now()
  #highestFencing = 0
  #leaving = false

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

  async answer (visit: Visit): Promise<void> {
    const route = visit.path.slice(0, 2).join('/')
    if (route === 'faults') {
      replyJson(visit, 200, {})
      return this.#faults.order(bodyJson(visit), this.frame, () => this.#forget())
    }
    if (route === 'records') return replyJson(visit, 200, this.#all.map(runOf))
    while (this.#faults.isFrozen) await pause(this.#batch.frozenUntil - Date.now())
    if (route === 'v1/chat') return this.#complete(visit)
    if (route === 'v1/streams') return this.#stream(visit, visit.path[2] ?? '')
    if (route === 'load') return replyJson(visit, 200, this.#load())
    if (route === 'orders') return this.#order(visit)
    if (visit.path[0] === 'kv') return this.#cache(visit, visit.path[1] ?? '')
    if (route !== 'leave') return replyJson(visit, 404, { error: 'no such path' })
    this.#leaving = true
    replyJson(visit, 200, {})
  }

  async #complete (visit: Visit): Promise<void> {
    const request = requestShape.parse(bodyJson(visit))
    const version = request.model as VersionName
    const attemptId = headerOf(visit, 'x-attempt-id') ?? `attempt-${this.#all.length}`
    visit.response.setHeader('x-attempt-id', attemptId)
    if (!this.#versions.has(version)) return replyJson(visit, 404, { error: { code: 'model_not_loaded' } })
    if (this.#generations.has(attemptId)) return replyJson(visit, 409, { error: { code: 'attempt_exists' } })
    const generation = new Generation(this.#plan(attemptId, version, request))
    this.#generations.set(attemptId, generation)
    this.#all.push(generation)
    this.#batch.add(generation)
    if (request.stream) return this.#attach(generation, 0, visit)
    await this.#whole(generation, visit)
  }

  #plan (attemptId: string, version: VersionName, request: z.infer<typeof requestShape>): GenerationPlan {
    const prompt = request.messages.map(message => message.content).join('\n')
    const marks = readPrompt(prompt)
    const skill = Math.max(0, skillOf(version, marks.kind) - this.#faults.lostSkill(version))
    const wanted = marks.tokens ?? usualTokens(marks.kind)
    return {
      attemptId,
      version,
      marks: { version, kind: marks.kind, skill, request: marks.request },
      priority: request.priority,
      prefixKey: request.prefix_key,
      promptTokens: request.prompt_tokens ?? Math.ceil(prompt.length / charactersPerToken),
      tokens: Math.max(1, Math.min(wanted, request.max_tokens)),
      limited: wanted > request.max_tokens,
      takenWhileLeaving: this.#leaving
    }
  }

  async #whole (generation: Generation, visit: Visit): Promise<void> {
    visit.response.once('close', () => {
      if (!visit.response.writableFinished) generation.cancel()
    })
    while (!generation.isOver) await generation.change(this.#unattachedMilliseconds)
    if (generation.isWhole) replyJson(visit, 200, wholeAnswer(generation))
    else visit.response.destroy()
  }

  async #stream (visit: Visit, attemptId: string): Promise<void> {
    const generation = this.#generations.get(attemptId)
    if (generation === undefined) return replyJson(visit, 404, { error: { code: 'no_such_stream' } })
    if (visit.method === 'DELETE') {
      generation.cancel()
      return replyJson(visit, 200, {})
    }
    const offset = Number(visit.query.get('offset') ?? 0)
    if (generation.cancelled || offset > generation.made) return replyJson(visit, 410, { error: { code: 'stream_cancelled' } })
    await this.#attach(generation, offset, visit)
  }

  /** A stream without a connection goes on for a while, so that its reader can come back. */
  async #attach (generation: Generation, offset: number, visit: Visit): Promise<void> {
    this.#attached.set(generation, (this.#attached.get(generation) ?? 0) + 1)
    visit.response.once('close', () => this.#detach(generation))
    await this.#faults.watch(fate => writeStream(generation, offset, visit.response, fate))
  }

  #detach (generation: Generation): void {
    const left = (this.#attached.get(generation) ?? 1) - 1
    this.#attached.set(generation, left)
    if (left > 0) return
    const wait = generation.isOver ? keptAfterEndMilliseconds : this.#unattachedMilliseconds
    setTimeout(() => this.#giveUp(generation), wait).unref()
  }

  #giveUp (generation: Generation): void {
    if ((this.#attached.get(generation) ?? 0) > 0) return
    generation.cancel()
    this.#attached.delete(generation)
    this.#generations.delete(generation.plan.attemptId)
  }

  get #unattachedMilliseconds (): number {
    return this.#options.unattachedMilliseconds ?? defaultUnattachedMilliseconds
  }

  #forget (): void {
    for (const generation of this.#generations.values()) generation.cancel()
    this.#generations.clear()
  }

  #load (): LoadReport {
    const prefill = Math.min(...[...this.#versions].map(version => characterOf(version).prefillTokensPerSecond))
    return {
      at: Date.now(),
      incarnation: this.#incarnation,
      versions: [...this.#versions],
      running: this.#batch.running,
      queued: this.#batch.queued,
      queuedPromptTokens: this.#batch.queuedPromptTokens,
      streamLimit: this.#batch.hardware.streamLimit,
      prefillTokensPerSecond: Number.isFinite(prefill) ? prefill * this.#batch.hardware.speed : 0,
      betweenTokensMilliseconds: this.#batch.betweenTokensMilliseconds,
      leaving: this.#leaving
    }
  }

  async #order (visit: Visit): Promise<void> {
    const order = orderShape.parse(bodyJson(visit))
    const isOld = order.fencing < this.#highestFencing
    if (isOld && this.#options.checksFencing !== false) return replyJson(visit, 409, { error: { code: 'old_fencing_number' } })
    this.#highestFencing = Math.max(this.#highestFencing, order.fencing)
    const version = order.version as VersionName
    if (order.action === 'unload') this.#versions.delete(version)
    else await this.#loadVersion(version)
    replyJson(visit, 200, {})
  }

  async #loadVersion (version: VersionName): Promise<void> {
    await pause(this.#options.loadMilliseconds ?? defaultLoadMilliseconds)
    this.#versions.add(version)
  }

  #cache (visit: Visit, prefixKey: string): void {
    if (visit.method === 'PUT') this.#batch.remember(prefixKey, cacheShape.parse(bodyJson(visit)).tokens)
    replyJson(visit, 200, { tokens: this.#batch.cachedTokens(prefixKey) })
  }
}

function runOf (generation: Generation): EngineRun {
  const { plan } = generation
  return {
    attemptId: plan.attemptId,
    version: plan.version,
    request: plan.marks.request,
    takenAt: generation.takenAt,
    startedAt: generation.startedAt,
    finishedAt: generation.finishedAt,
    tokens: generation.made,
    wholly: generation.isWhole,
    takenWhileLeaving: plan.takenWhileLeaving
  }
}

function headerOf (visit: Visit, name: string): string | undefined {
  const value = visit.headers[name]
  return typeof value === 'string' ? value : undefined
}
