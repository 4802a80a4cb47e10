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
export interface EngineOptions {
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

interface DecodingStream {
  readonly job: EngineJob
  readonly finalToken: number
}

interface Prefill {
  readonly cachedTokens: number
  readonly endsAt: number
}

/** A fake model engine in virtual time. */
export class SimulatedEngine {
  readonly options: EngineOptions
  readonly #time: VirtualTime
  readonly #cache: PrefixCache
  readonly #queues: EngineJob[][] = [[], [], []]
  /** In order of their ends, soonest last. */
  readonly #decoding: DecodingStream[] = []
  readonly #prefilling = new Map<EngineJob, Prefill>()
  /** Prefills that a more urgent prompt interrupted; their end is the time that is left. */
  readonly #preempted = new Map<EngineJob, Prefill>()
  /** Prompt tokens of all queued requests that were not cached when they came. */
  #queuedTokens = 0
  readonly #queuedTokensByJob = new Map<EngineJob, number>()
  #tokensPerStream = 0
  #tokensCountedAt = 0
  #completionGeneration = 0
  #incarnation = 1
  #isAlive = true

  constructor (options: EngineOptions, time: VirtualTime) {
    this.options = options
    this.#time = time
    this.#cache = new PrefixCache(options.hardware.prefixCacheTokens * options.accelerators)
  }

  get isAlive (): boolean {
    return this.#isAlive
  }

  /** Streams that run or wait, over its places. */
  get loadRatio (): number {
    const queued = this.#queues.reduce((sum, queue) => sum + queue.length, 0)
    return (this.#decoding.length + this.#prefilling.size + queued) / this.#streamLimit()
  }

  /** Takes a request; one that reaches a dead engine fails. */
  submit (job: EngineJob): void {
    if (!this.#isAlive) return job.onFailure()
    this.#queues[job.priority]!.push(job)
    this.#setQueuedTokens(job, job.promptTokens - this.#peekCachedTokens(job))
    this.#preemptFor(job.priority)
    this.#startPrefills()
  }

  /** Puts a prompt into the cache without running it, for a run that starts with warm caches. */
  warmCache (job: Pick<EngineJob, 'session' | 'prefixKey' | 'sharedPrefixTokens' | 'promptTokens' | 'outputTokens'>): void {
    this.#cache.put(job.prefixKey, job.sharedPrefixTokens)
    if (job.session !== undefined) this.#cache.put(job.session, job.promptTokens + job.outputTokens)
  }

  /** Dies with all it holds. */
  crash (): void {
    this.#isAlive = false
    this.#completionGeneration++
    const lost = [...this.#queues.flat(), ...this.#prefilling.keys(), ...this.#decoding.map(entry => entry.job)]
    this.#queues.forEach(queue => { queue.length = 0 })
    this.#prefilling.clear()
    this.#preempted.clear()
    this.#queuedTokensByJob.clear()
    this.#queuedTokens = 0
    this.#decoding.length = 0
    this.#cache.clear()
    for (const job of lost) job.onFailure()
  }

  /** Starts again, empty. */
  restart (): void {
    this.#isAlive = true
    this.#incarnation++
  }

  /** Its load now. */
  report (): LoadReport {
    const now = this.#time.now()
    const queued = this.#queues.reduce((sum, queue) => sum + queue.length, 0)
    const prefillingTokens = [...this.#prefilling.values()].reduce((sum, { endsAt }) => sum + (endsAt - now) / 1_000 * this.#prefillTokensPerSecond(), 0)
    const hasIdleAccelerator = this.#prefilling.size < this.options.accelerators
    return {
      at: now,
      incarnation: this.#incarnation,
      versions: [this.options.versionName],
      running: this.#decoding.length + this.#prefilling.size,
      queued,
      queuedPromptTokens: hasIdleAccelerator && queued === 0 ? 0 : Math.round((prefillingTokens + this.#queuedTokens) / this.options.accelerators),
      streamLimit: this.#streamLimit(),
      prefillTokensPerSecond: this.#prefillTokensPerSecond(),
      betweenTokensMilliseconds: this.#interTokenMilliseconds(),
      leaving: false
    }
  }

  #streamLimit (): number {
    return this.options.accelerators * this.options.hardware.streams
  }

  /** Prompt tokens a second of one accelerator, which is what one prompt gets. */
  #prefillTokensPerSecond (): number {
    return this.options.version.prefillTokensPerSecond * this.options.hardware.speed
  }

  #interTokenMilliseconds (): number {
    const { base, perStream } = this.options.version.decodeMilliseconds
    const batch = Math.max(1, this.#decoding.length / this.options.accelerators)
    return (base + perStream * batch) / this.options.hardware.speed
  }

  #setQueuedTokens (job: EngineJob, tokens: number): void {
    this.#queuedTokens += tokens - (this.#queuedTokensByJob.get(job) ?? 0)
    if (tokens > 0) this.#queuedTokensByJob.set(job, tokens)
    else this.#queuedTokensByJob.delete(job)
  }

  #peekCachedTokens (job: EngineJob): number {
    const sessionTokens = job.session === undefined ? 0 : this.#cache.peek(job.session)
    const sharedTokens = Math.min(job.sharedPrefixTokens, this.#cache.peek(job.prefixKey))
    return Math.min(job.promptTokens - 1, Math.max(sessionTokens, sharedTokens))
  }

  #useCachedTokens (job: EngineJob): number {
    const sessionTokens = job.session === undefined ? 0 : this.#cache.use(job.session)
    const sharedTokens = Math.min(job.sharedPrefixTokens, this.#cache.use(job.prefixKey))
    return Math.min(job.promptTokens - 1, Math.max(sessionTokens, sharedTokens))
  }

  #cachePrompt (job: EngineJob): void {
    this.#cache.put(job.prefixKey, job.sharedPrefixTokens)
    if (job.session !== undefined) this.#cache.put(job.session, job.promptTokens)
  }

  #startPrefills (): void {
    while (this.#prefilling.size < this.options.accelerators && this.#decoding.length + this.#prefilling.size < this.#streamLimit()) {
      const job = this.#dequeue()
      if (job === undefined) return
      this.#startPrefill(job)
    }
  }

  #dequeue (): EngineJob | undefined {
    for (const queue of this.#queues) {
      while (queue.length > 0) {
        const job = queue.shift()!
        this.#setQueuedTokens(job, 0)
        if (this.#time.now() < job.deadline) return job
        this.#preempted.delete(job)
        job.onFailure()
      }
    }
    return undefined
  }

  /** Frees an accelerator for a more urgent prompt, where all are busy and one prefills a less urgent one. */
  #preemptFor (priority: Priority): void {
    if (this.#prefilling.size < this.options.accelerators) return
    for (const [job, prefill] of this.#prefilling) {
      if (job.priority <= priority) continue
      this.#prefilling.delete(job)
      this.#preempted.set(job, { cachedTokens: prefill.cachedTokens, endsAt: prefill.endsAt - this.#time.now() })
      this.#setQueuedTokens(job, this.#remainingPrefillTokens(job))
      this.#queues[job.priority]!.unshift(job)
      return
    }
  }

  /** Prompt tokens that are left to prefill. */
  #remainingPrefillTokens (job: EngineJob): number {
    const preempted = this.#preempted.get(job)
    if (preempted !== undefined) return preempted.endsAt / 1_000 * this.#prefillTokensPerSecond()
    return job.promptTokens - this.#useCachedTokens(job)
  }

  #startPrefill (job: EngineJob): void {
    const cachedTokens = this.#preempted.get(job)?.cachedTokens ?? this.#useCachedTokens(job)
    const durationMilliseconds = this.#remainingPrefillTokens(job) / this.#prefillTokensPerSecond() * 1_000
    this.#preempted.delete(job)
    const prefill = { cachedTokens, endsAt: this.#time.now() + durationMilliseconds }
    this.#prefilling.set(job, prefill)
    this.#time.after(durationMilliseconds, () => {
      if (this.#prefilling.get(job) === prefill) this.#completePrefill(job, cachedTokens)
    })
  }

  #completePrefill (job: EngineJob, cachedTokens: number): void {
    this.#prefilling.delete(job)
    this.#cachePrompt(job)
    this.#startDecoding(job)
    job.onFirstToken(cachedTokens)
    this.#startPrefills()
  }

  #startDecoding (job: EngineJob): void {
    this.#updateTokenCount()
    const entry = { job, finalToken: this.#tokensPerStream + job.outputTokens - 1 }
    let index = this.#decoding.length
    while (index > 0 && this.#decoding[index - 1]!.finalToken < entry.finalToken) index--
    this.#decoding.splice(index, 0, entry)
    this.#scheduleNextCompletion()
  }

  /** Brings the count of tokens up to now, at the pace of the batch as it was until now. */
  #updateTokenCount (): void {
    const now = this.#time.now()
    this.#tokensPerStream += (now - this.#tokensCountedAt) / this.#interTokenMilliseconds()
    this.#tokensCountedAt = now
  }

  #scheduleNextCompletion (): void {
    const generation = ++this.#completionGeneration
    const next = this.#decoding.at(-1)
    if (next === undefined) return
    const remainingMilliseconds = Math.max(0, next.finalToken - this.#tokensPerStream) * this.#interTokenMilliseconds()
    this.#time.after(remainingMilliseconds, () => {
      if (generation === this.#completionGeneration) this.#completeFinishedStreams()
    })
  }

  /** What was generated is cached with the prompt, for the session's next turn begins with both. */
  #completeStream (job: EngineJob): void {
    if (job.session !== undefined) this.#cache.put(job.session, job.promptTokens + job.outputTokens)
    job.onFinish()
  }

  #completeFinishedStreams (): void {
    this.#updateTokenCount()
    const finished: EngineJob[] = []
    while (this.#decoding.length > 0 && this.#decoding.at(-1)!.finalToken <= this.#tokensPerStream + 1e-6) finished.push(this.#decoding.pop()!.job)
    this.#scheduleNextCompletion()
    this.#startPrefills()
    for (const job of finished) this.#completeStream(job)
  }
}
