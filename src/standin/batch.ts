/**
 * Continuous batching in real time. Two tasks share the work: one takes queued prompts, most urgent
 * first, and prefills them one after another while the batch has a place; the other makes one token
 * for each stream of the batch, and takes the longer the more streams there are. Prompt prefixes
 * are cached up to a number of tokens, the least recently used given up first.
 */
import { characterOf } from './models.ts'
import type { Generation } from './generation.ts'
import { pause } from './httpFrame.ts'

/** The hardware of an engine's stand-in. */
export interface BatchHardware {
  /** 1 for new hardware; 0.45 is a plausible old one. */
  readonly speed: number
  /** Streams that decode at once. */
  readonly streamLimit: number
  /** Tokens of prompt prefixes kept. */
  readonly prefixCacheTokens: number
}

const millisecondsInSecond = 1_000
/** How far behind its pace the decoder may fall and still catch up. */
const catchUpMilliseconds = 20

/** An engine's queue, batch and prefix cache. */
export class Batch {
  /** Factor by which everything is slower than it should be. */
  slowness = 1
  /** Stands still until this moment, milliseconds since the epoch. */
  frozenUntil = 0
  readonly hardware: BatchHardware
  #queue: Generation[] = []
  readonly #running = new Set<Generation>()
  readonly #prefixes = new Map<string, number>()
  #prefilling: Generation | undefined
  #stopped = false
  #wakeUps: Array<() => void> = []

  constructor (hardware: BatchHardware) {
    this.hardware = hardware
    this.#prefill().catch(() => undefined)
    this.#decode().catch(() => undefined)
  }

  get running (): number {
    return this.#running.size
  }

  get queued (): number {
    return this.#queue.length + (this.#prefilling === undefined ? 0 : 1)
  }

  get queuedPromptTokens (): number {
    return this.#queue.reduce((sum, generation) => sum + generation.plan.promptTokens, 0)
  }

  /** Cached tokens of a prefix. */
  cachedTokens (prefixKey: string): number {
    return this.#prefixes.get(prefixKey) ?? 0
  }

  /** Milliseconds between two tokens of a stream at the present batch. */
  get betweenTokensMilliseconds (): number {
    let slowest = 0
    for (const generation of this.#running) {
      const character = characterOf(generation.plan.version)
      const step = character.decodeBaseMilliseconds + character.decodeStreamMilliseconds * this.#running.size
      slowest = Math.max(slowest, step)
    }
    return slowest * this.slowness / this.hardware.speed
  }

  /** Queues a generation behind those that are as urgent. */
  add (generation: Generation): void {
    const position = this.#queue.findIndex(queued => queued.plan.priority > generation.plan.priority)
    if (position === -1) this.#queue.push(generation)
    else this.#queue.splice(position, 0, generation)
    this.#wake()
  }

  /** Keeps a prefix as cached, as an import of KV cache does. */
  remember (prefixKey: string, tokens: number): void {
    const known = this.#prefixes.get(prefixKey) ?? 0
    this.#prefixes.delete(prefixKey)
    this.#prefixes.set(prefixKey, Math.max(known, tokens))
    let sum = [...this.#prefixes.values()].reduce((total, cached) => total + cached, 0)
    for (const [key, cached] of this.#prefixes) {
      if (sum <= this.hardware.prefixCacheTokens) break
      this.#prefixes.delete(key)
      sum -= cached
    }
  }

  /** Ends both tasks. */
  stop (): void {
    this.#stopped = true
    this.#wake()
  }

  async #prefill (): Promise<void> {
    while (!this.#stopped) {
      await this.#thaw()
      const hasPlace = this.#running.size < this.hardware.streamLimit
      const next = hasPlace ? this.#queue.shift() : undefined
      if (next === undefined) await this.#change()
      else if (!next.isOver) await this.#admit(next)
    }
  }

  async #admit (generation: Generation): Promise<void> {
    this.#prefilling = generation
    const { plan } = generation
    generation.startedAt = Date.now()
    generation.cachedTokens = Math.min(this.cachedTokens(plan.prefixKey), plan.promptTokens)
    const rate = characterOf(plan.version).prefillTokensPerSecond * this.hardware.speed / this.slowness
    await pause((plan.promptTokens - generation.cachedTokens) / rate * millisecondsInSecond)
    await this.#thaw()
    this.remember(plan.prefixKey, plan.promptTokens)
    this.#prefilling = undefined
    if (!generation.isOver) this.#running.add(generation)
    this.#wake()
  }

  async #decode (): Promise<void> {
    let due = performance.now()
    while (!this.#stopped) {
      await this.#thaw()
      if (this.#running.size === 0) {
        await this.#change()
        due = performance.now()
        continue
      }
      due = Math.max(due + this.betweenTokensMilliseconds, performance.now() - catchUpMilliseconds)
      await pause(due - performance.now())
      if (this.frozenUntil <= Date.now()) this.#makeTokens()
    }
  }

  #makeTokens (): void {
    for (const generation of this.#running) {
      if (!generation.isOver) generation.step()
      if (!generation.isOver) continue
      this.#running.delete(generation)
      this.#wake()
    }
  }

  /** Fulfilled when the queue or the batch changes. */
  #change (): Promise<void> {
    return new Promise(resolve => this.#wakeUps.push(resolve))
  }

  #wake (): void {
    const wakeUps = this.#wakeUps
    this.#wakeUps = []
    for (const wake of wakeUps) wake()
  }

  async #thaw (): Promise<void> {
    while (this.frozenUntil > Date.now()) await pause(this.frozenUntil - Date.now())
  }
}
