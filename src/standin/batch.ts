/**
 * Continuous batching in real time. Two tasks share the work: one takes queued prompts, most urgent
 * first, and prefills them one after another while the batch has a place; the other makes one token
 * for each stream of the batch, and takes the longer the more streams there are. Prompt prefixes
 * are cached up to a number of tokens, the least recently used given up first.
 */
import { profileOf } from './modelProfiles.ts'
import type { Generation } from './generation.ts'
import { sleep } from './standInServer.ts'

/** The hardware of an engine's stand-in. */
export interface BatchHardware {
  /** 1 for new hardware; 0.45 is a plausible old one. */
  readonly speed: number
  /** Streams that decode at once. */
  readonly streamLimit: number
  /** Tokens of prompt prefixes kept. */
  readonly prefixCacheTokens: number
}

const millisecondsPerSecond = 1_000
/** How far behind its pace the decoder may fall and still catch up. */
const maximumDecodeLagMilliseconds = 20

/** An engine's queue, batch and prefix cache. */
export class Batch {
  /** Factor by which everything is slower than it should be. */
  slowdownFactor = 1
  /** Stands still until this moment, milliseconds since the epoch. */
  frozenUntil = 0
  readonly hardware: BatchHardware
  #queuedGenerations: Generation[] = []
  readonly #runningGenerations = new Set<Generation>()
  readonly #cachedTokensByPrefix = new Map<string, number>()
  #prefilling: Generation | undefined
  #isStopped = false
  #waiters: Array<() => void> = []

  constructor (hardware: BatchHardware) {
    this.hardware = hardware
    this.#runPrefill().catch(() => undefined)
    this.#runDecode().catch(() => undefined)
  }

  get runningCount (): number {
    return this.#runningGenerations.size
  }

  get queuedCount (): number {
    return this.#queuedGenerations.length + (this.#prefilling === undefined ? 0 : 1)
  }

  get queuedPromptTokens (): number {
    return this.#queuedGenerations.reduce((sum, generation) => sum + generation.plan.promptTokens, 0)
  }

  /** Cached tokens of a prefix. */
  cachedTokens (prefixKey: string): number {
    return this.#cachedTokensByPrefix.get(prefixKey) ?? 0
  }

  /** Milliseconds between two tokens of a stream at the present batch. */
  get betweenTokensMilliseconds (): number {
    let slowestStepMilliseconds = 0
    for (const generation of this.#runningGenerations) {
      const profile = profileOf(generation.plan.version)
      const stepMilliseconds = profile.decodeBaseMilliseconds + profile.decodePerStreamMilliseconds * this.#runningGenerations.size
      slowestStepMilliseconds = Math.max(slowestStepMilliseconds, stepMilliseconds)
    }
    return slowestStepMilliseconds * this.slowdownFactor / this.hardware.speed
  }

  /** Queues a generation behind those that are as urgent. */
  enqueue (generation: Generation): void {
    const position = this.#queuedGenerations.findIndex(other => other.plan.priority > generation.plan.priority)
    if (position === -1) this.#queuedGenerations.push(generation)
    else this.#queuedGenerations.splice(position, 0, generation)
    this.#notifyWaiters()
  }

  /** Keeps a prefix as cached, as an import of KV cache does. */
  cachePrefix (prefixKey: string, tokens: number): void {
    const previousTokens = this.#cachedTokensByPrefix.get(prefixKey) ?? 0
    this.#cachedTokensByPrefix.delete(prefixKey)
    this.#cachedTokensByPrefix.set(prefixKey, Math.max(previousTokens, tokens))
    let totalTokens = [...this.#cachedTokensByPrefix.values()].reduce((total, cached) => total + cached, 0)
    for (const [key, cached] of this.#cachedTokensByPrefix) {
      if (totalTokens <= this.hardware.prefixCacheTokens) break
      this.#cachedTokensByPrefix.delete(key)
      totalTokens -= cached
    }
  }

  /** Ends both tasks. */
  stop (): void {
    this.#isStopped = true
    this.#notifyWaiters()
  }

  async #runPrefill (): Promise<void> {
    while (!this.#isStopped) {
      await this.#waitWhileFrozen()
      const hasFreeSlot = this.#runningGenerations.size < this.hardware.streamLimit
      const next = hasFreeSlot ? this.#queuedGenerations.shift() : undefined
      if (next === undefined) await this.#nextChange()
      else if (!next.isFinished) await this.#prefillGeneration(next)
    }
  }

  async #prefillGeneration (generation: Generation): Promise<void> {
    this.#prefilling = generation
    const { plan } = generation
    generation.startedAt = Date.now()
    generation.cachedTokens = Math.min(this.cachedTokens(plan.prefixKey), plan.promptTokens)
    const tokensPerSecond = profileOf(plan.version).prefillTokensPerSecond * this.hardware.speed / this.slowdownFactor
    await sleep((plan.promptTokens - generation.cachedTokens) / tokensPerSecond * millisecondsPerSecond)
    await this.#waitWhileFrozen()
    this.cachePrefix(plan.prefixKey, plan.promptTokens)
    this.#prefilling = undefined
    if (!generation.isFinished) this.#runningGenerations.add(generation)
    this.#notifyWaiters()
  }

  async #runDecode (): Promise<void> {
    let nextStepAt = performance.now()
    while (!this.#isStopped) {
      await this.#waitWhileFrozen()
      if (this.#runningGenerations.size === 0) {
        await this.#nextChange()
        nextStepAt = performance.now()
        continue
      }
      nextStepAt = Math.max(nextStepAt + this.betweenTokensMilliseconds, performance.now() - maximumDecodeLagMilliseconds)
      await sleep(nextStepAt - performance.now())
      if (this.frozenUntil <= Date.now()) this.#decodeStep()
    }
  }

  #decodeStep (): void {
    for (const generation of this.#runningGenerations) {
      if (!generation.isFinished) generation.produceToken()
      if (!generation.isFinished) continue
      this.#runningGenerations.delete(generation)
      this.#notifyWaiters()
    }
  }

  /** Fulfilled when the queue or the batch changes. */
  #nextChange (): Promise<void> {
    return new Promise(resolve => this.#waiters.push(resolve))
  }

  #notifyWaiters (): void {
    const waiters = this.#waiters
    this.#waiters = []
    for (const notify of waiters) notify()
  }

  async #waitWhileFrozen (): Promise<void> {
    while (this.frozenUntil > Date.now()) await sleep(this.frozenUntil - Date.now())
  }
}
