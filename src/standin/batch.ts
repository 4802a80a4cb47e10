/**
 * Simulates continuous batching in real time with two concurrent tasks. The prefill task takes
 * queued prompts in order of priority, one at a time, while the batch has a free slot. The decode
 * task produces one token for each running stream per step, and a step takes longer the more streams
 * are running. The prefix cache holds a limited number of tokens and evicts the least recently used
 * prefix first.
 */
import { profileOf } from './modelProfiles.ts'
import type { Generation } from './generation.ts'
import { sleep } from './standInServer.ts'

/** The simulated hardware of an engine. */
export interface BatchHardware {
  /** Relative speed: 1 for new hardware; 0.45 is plausible for old hardware. */
  readonly speed: number
  /** Maximum number of streams that decode at once. */
  readonly streamLimit: number
  /** Capacity of the prefix cache, in tokens. */
  readonly prefixCacheTokens: number
}

const millisecondsPerSecond = 1_000
/** A decoder that falls further behind its schedule than this drops the excess lag instead of catching up. */
const maximumDecodeLagMilliseconds = 20

/** The queue, the running batch and the prefix cache of an engine. */
export class Batch {
  /** Factor by which prefill and decoding are slowed down; 1 is normal speed. */
  slowdownFactor = 1
  /** No progress is made before this time, in milliseconds since the epoch. */
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

  /** The number of cached tokens of a prefix; 0 if it is not cached. */
  cachedTokens (prefixKey: string): number {
    return this.#cachedTokensByPrefix.get(prefixKey) ?? 0
  }

  /** Milliseconds between two tokens of a stream with the streams that are running now. */
  get betweenTokensMilliseconds (): number {
    let slowestStepMilliseconds = 0
    for (const generation of this.#runningGenerations) {
      const profile = profileOf(generation.plan.version)
      const stepMilliseconds = profile.decodeBaseMilliseconds + profile.decodePerStreamMilliseconds * this.#runningGenerations.size
      slowestStepMilliseconds = Math.max(slowestStepMilliseconds, stepMilliseconds)
    }
    return slowestStepMilliseconds * this.slowdownFactor / this.hardware.speed
  }

  /** Queues a generation behind all others of the same or a more urgent priority. */
  enqueue (generation: Generation): void {
    const position = this.#queuedGenerations.findIndex(other => other.plan.priority > generation.plan.priority)
    if (position === -1) this.#queuedGenerations.push(generation)
    else this.#queuedGenerations.splice(position, 0, generation)
    this.#notifyWaiters()
  }

  /** Marks a prefix as cached and most recently used, as after a prefill or an import of KV cache. */
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

  /** Stops the prefill and decode tasks. */
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

  /** Resolves at the next change of the queue or the batch. */
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
