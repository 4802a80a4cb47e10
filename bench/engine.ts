/**
 * One engine: accelerators of one runner that serve one version. A request waits, by priority, for a
 * place in the batch and for an accelerator that prefills it; then it decodes together with the
 * others. Prefill is done in chunks beside the decoding, so a more urgent prompt takes over an
 * accelerator that prefills a less urgent one, which goes on later from where it was. All streams of an engine decode at one pace, which depends on how many there are, so the
 * engine keeps a single count of tokens decoded per stream and each stream ends when the count
 * reaches its own mark: a batch of any size costs one event at each coming and going.
 */
import type { LoadReport, Place, Priority, VersionName } from '../src/contract/index.ts'
import { PrefixCache } from './prefixCache.ts'
import type { VirtualTime } from './virtualTime.ts'
import type { WorldHardware, WorldVersion } from './world.ts'

/** What an engine is made of. */
export interface EngineParts {
  readonly name: string
  readonly place: Place
  readonly version: WorldVersion
  readonly versionName: VersionName
  readonly hardware: WorldHardware
  readonly accelerators: number
}

/** A request as an engine sees it. */
export interface EngineJob {
  readonly promptTokens: number
  readonly outputTokens: number
  readonly priority: Priority
  /** It is cancelled by its caller at this moment. */
  readonly deadline: number
  readonly session: string | undefined
  readonly prefixKey: string
  readonly sharedPrefixTokens: number
  onFirstToken (cachedTokens: number): void
  onFinish (): void
  onFailure (): void
}

interface Decoding {
  readonly job: EngineJob
  readonly endsAtToken: number
}

interface Prefill {
  readonly cachedTokens: number
  readonly endsAt: number
}

/** A fake model engine in virtual time. */
export class FakeEngine {
  readonly parts: EngineParts
  readonly #time: VirtualTime
  readonly #cache: PrefixCache
  readonly #queues: EngineJob[][] = [[], [], []]
  /** In order of their ends, soonest last. */
  readonly #decoding: Decoding[] = []
  readonly #prefilling = new Map<EngineJob, Prefill>()
  /** Prefills that a more urgent prompt interrupted; their end is the time that is left. */
  readonly #interrupted = new Map<EngineJob, Prefill>()
  /** Prompt tokens of all queued requests that were not cached when they came. */
  #queuedTokens = 0
  readonly #queuedTokensOf = new Map<EngineJob, number>()
  #tokens = 0
  #tokensAt = 0
  #generation = 0
  #incarnation = 1
  #alive = true

  constructor (parts: EngineParts, time: VirtualTime) {
    this.parts = parts
    this.#time = time
    this.#cache = new PrefixCache(parts.hardware.prefixCacheTokens * parts.accelerators)
  }

  get alive (): boolean {
    return this.#alive
  }

  /** Streams that run or wait, over its places. */
  get fullness (): number {
    const waiting = this.#queues.reduce((sum, queue) => sum + queue.length, 0)
    return (this.#decoding.length + this.#prefilling.size + waiting) / this.#places()
  }

  /** Takes a request; one that reaches a dead engine fails. */
  submit (job: EngineJob): void {
    if (!this.#alive) return job.onFailure()
    this.#queues[job.priority]!.push(job)
    this.#countQueued(job, job.promptTokens - this.#expectedCached(job))
    this.#interruptFor(job.priority)
    this.#startPrefills()
  }

  /** Puts a prompt into the cache without running it, for a run that starts with warm caches. */
  warm (job: Pick<EngineJob, 'session' | 'prefixKey' | 'sharedPrefixTokens' | 'promptTokens' | 'outputTokens'>): void {
    this.#cache.keep(job.prefixKey, job.sharedPrefixTokens)
    if (job.session !== undefined) this.#cache.keep(job.session, job.promptTokens + job.outputTokens)
  }

  /** Dies with all it holds. */
  die (): void {
    this.#alive = false
    this.#generation++
    const lost = [...this.#queues.flat(), ...this.#prefilling.keys(), ...this.#decoding.map(entry => entry.job)]
    this.#queues.forEach(queue => { queue.length = 0 })
    this.#prefilling.clear()
    this.#interrupted.clear()
    this.#queuedTokensOf.clear()
    this.#queuedTokens = 0
    this.#decoding.length = 0
    this.#cache.clear()
    for (const job of lost) job.onFailure()
  }

  /** Starts again, empty. */
  restart (): void {
    this.#alive = true
    this.#incarnation++
  }

  /** Its load now. */
  report (): LoadReport {
    const now = this.#time.now()
    const queued = this.#queues.reduce((sum, queue) => sum + queue.length, 0)
    const begun = [...this.#prefilling.values()].reduce((sum, { endsAt }) => sum + (endsAt - now) / 1_000 * this.#prefillRate(), 0)
    const idle = this.#prefilling.size < this.parts.accelerators
    return {
      at: now,
      incarnation: this.#incarnation,
      versions: [this.parts.versionName],
      running: this.#decoding.length + this.#prefilling.size,
      queued,
      queuedPromptTokens: idle && queued === 0 ? 0 : Math.round((begun + this.#queuedTokens) / this.parts.accelerators),
      streamLimit: this.#places(),
      prefillTokensPerSecond: this.#prefillRate(),
      betweenTokensMilliseconds: this.#betweenTokens(),
      leaving: false
    }
  }

  #places (): number {
    return this.parts.accelerators * this.parts.hardware.streams
  }

  /** Prompt tokens a second of one accelerator, which is what one prompt gets. */
  #prefillRate (): number {
    return this.parts.version.prefillTokensPerSecond * this.parts.hardware.speed
  }

  #betweenTokens (): number {
    const { base, perStream } = this.parts.version.decodeMilliseconds
    const batch = Math.max(1, this.#decoding.length / this.parts.accelerators)
    return (base + perStream * batch) / this.parts.hardware.speed
  }

  #countQueued (job: EngineJob, tokens: number): void {
    this.#queuedTokens += tokens - (this.#queuedTokensOf.get(job) ?? 0)
    if (tokens > 0) this.#queuedTokensOf.set(job, tokens)
    else this.#queuedTokensOf.delete(job)
  }

  #expectedCached (job: EngineJob): number {
    const own = job.session === undefined ? 0 : this.#cache.peek(job.session)
    const shared = Math.min(job.sharedPrefixTokens, this.#cache.peek(job.prefixKey))
    return Math.min(job.promptTokens - 1, Math.max(own, shared))
  }

  #cached (job: EngineJob): number {
    const own = job.session === undefined ? 0 : this.#cache.use(job.session)
    const shared = Math.min(job.sharedPrefixTokens, this.#cache.use(job.prefixKey))
    return Math.min(job.promptTokens - 1, Math.max(own, shared))
  }

  #keep (job: EngineJob): void {
    this.#cache.keep(job.prefixKey, job.sharedPrefixTokens)
    if (job.session !== undefined) this.#cache.keep(job.session, job.promptTokens)
  }

  #startPrefills (): void {
    while (this.#prefilling.size < this.parts.accelerators && this.#decoding.length + this.#prefilling.size < this.#places()) {
      const job = this.#next()
      if (job === undefined) return
      this.#prefill(job)
    }
  }

  #next (): EngineJob | undefined {
    for (const queue of this.#queues) {
      while (queue.length > 0) {
        const job = queue.shift()!
        this.#countQueued(job, 0)
        if (this.#time.now() < job.deadline) return job
        this.#interrupted.delete(job)
        job.onFailure()
      }
    }
    return undefined
  }

  /** Frees an accelerator for a more urgent prompt, where all are busy and one prefills a less urgent one. */
  #interruptFor (priority: Priority): void {
    if (this.#prefilling.size < this.parts.accelerators) return
    for (const [job, prefill] of this.#prefilling) {
      if (job.priority <= priority) continue
      this.#prefilling.delete(job)
      this.#interrupted.set(job, { cachedTokens: prefill.cachedTokens, endsAt: prefill.endsAt - this.#time.now() })
      this.#countQueued(job, this.#leftOf(job))
      this.#queues[job.priority]!.unshift(job)
      return
    }
  }

  /** Prompt tokens that are left to prefill. */
  #leftOf (job: EngineJob): number {
    const interrupted = this.#interrupted.get(job)
    if (interrupted !== undefined) return interrupted.endsAt / 1_000 * this.#prefillRate()
    return job.promptTokens - this.#cached(job)
  }

  #prefill (job: EngineJob): void {
    const cachedTokens = this.#interrupted.get(job)?.cachedTokens ?? this.#cached(job)
    const duration = this.#leftOf(job) / this.#prefillRate() * 1_000
    this.#interrupted.delete(job)
    const prefill = { cachedTokens, endsAt: this.#time.now() + duration }
    this.#prefilling.set(job, prefill)
    this.#time.after(duration, () => {
      if (this.#prefilling.get(job) === prefill) this.#endPrefill(job, cachedTokens)
    })
  }

  #endPrefill (job: EngineJob, cachedTokens: number): void {
    this.#prefilling.delete(job)
    this.#keep(job)
    this.#decode(job)
    job.onFirstToken(cachedTokens)
    this.#startPrefills()
  }

  #decode (job: EngineJob): void {
    this.#countTokens()
    const entry = { job, endsAtToken: this.#tokens + job.outputTokens - 1 }
    let index = this.#decoding.length
    while (index > 0 && this.#decoding[index - 1]!.endsAtToken < entry.endsAtToken) index--
    this.#decoding.splice(index, 0, entry)
    this.#awaitNextEnd()
  }

  /** Brings the count of tokens up to now, at the pace of the batch as it was until now. */
  #countTokens (): void {
    const now = this.#time.now()
    this.#tokens += (now - this.#tokensAt) / this.#betweenTokens()
    this.#tokensAt = now
  }

  #awaitNextEnd (): void {
    const generation = ++this.#generation
    const next = this.#decoding.at(-1)
    if (next === undefined) return
    const left = Math.max(0, next.endsAtToken - this.#tokens) * this.#betweenTokens()
    this.#time.after(left, () => {
      if (generation === this.#generation) this.#endFinished()
    })
  }

  /** What was generated is cached with the prompt, for the session's next turn begins with both. */
  #finish (job: EngineJob): void {
    if (job.session !== undefined) this.#cache.keep(job.session, job.promptTokens + job.outputTokens)
    job.onFinish()
  }

  #endFinished (): void {
    this.#countTokens()
    const finished: EngineJob[] = []
    while (this.#decoding.length > 0 && this.#decoding.at(-1)!.endsAtToken <= this.#tokens + 1e-6) finished.push(this.#decoding.pop()!.job)
    this.#awaitNextEnd()
    this.#startPrefills()
    for (const job of finished) this.#finish(job)
  }
}
