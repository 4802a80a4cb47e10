/**
 * A simulated engine: the accelerators of one runner that serve one version. Requests queue by priority
 * for a free stream in the batch and for an accelerator to prefill them; then they decode together with
 * the other streams of the batch. Prefill runs in chunks beside decoding, so a prompt of higher priority
 * preempts the prefill of one of lower priority, which later resumes where it stopped.
 *
 * All streams of an engine decode at the same speed, which depends on the batch size. The engine
 * therefore keeps one count of tokens decoded per stream, and a stream ends when the count reaches its
 * own final value: whatever the batch size, a stream costs one event when it joins and one when it ends.
 */
import type { LoadReport, Place, Priority, VersionName } from '../src/contract/index.ts'
import { PrefixCache } from './prefixCache.ts'
import type { VirtualTime } from './virtualTime.ts'
import type { WorldHardware, WorldVersion } from './world.ts'

/** An engine's identity, version and hardware. */
export interface EngineOptions {
  readonly name: string
  readonly place: Place
  readonly version: WorldVersion
  readonly versionName: VersionName
  readonly hardware: WorldHardware
  readonly accelerators: number
}

/** A request to an engine, with callbacks for its progress. */
export interface EngineJob {
  readonly promptTokens: number
  readonly outputTokens: number
  readonly priority: Priority
  /** Time, in milliseconds of virtual time, at which the caller cancels the request. */
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

/** A model engine in virtual time, with a prefix cache, priority queues and batched decoding. */
export class SimulatedEngine {
  readonly options: EngineOptions
  readonly #time: VirtualTime
  readonly #cache: PrefixCache
  readonly #queues: EngineJob[][] = [[], [], []]
  /** Sorted by final token in descending order, so that the stream that ends next is the last element. */
  readonly #decoding: DecodingStream[] = []
  readonly #prefilling = new Map<EngineJob, Prefill>()
  /** Preempted prefills; their `endsAt` holds the remaining milliseconds, not a time. */
  readonly #preempted = new Map<EngineJob, Prefill>()
  /** Prompt tokens of all queued requests, without those that were cached on arrival. */
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

  /** Running and queued streams divided by the stream limit; above 1 when requests queue for a full batch. */
  get loadRatio (): number {
    const queued = this.#queues.reduce((sum, queue) => sum + queue.length, 0)
    return (this.#decoding.length + this.#prefilling.size + queued) / this.#streamLimit()
  }

  /** Queues a request; it fails at once if the engine is down. */
  submit (job: EngineJob): void {
    if (!this.#isAlive) return job.onFailure()
    this.#queues[job.priority]!.push(job)
    this.#setQueuedTokens(job, job.promptTokens - this.#peekCachedTokens(job))
    this.#preemptFor(job.priority)
    this.#startPrefills()
  }

  /** Caches a prompt without running it, so that a run starts with warm caches. */
  warmCache (job: Pick<EngineJob, 'session' | 'prefixKey' | 'sharedPrefixTokens' | 'promptTokens' | 'outputTokens'>): void {
    this.#cache.put(job.prefixKey, job.sharedPrefixTokens)
    if (job.session !== undefined) this.#cache.put(job.session, job.promptTokens + job.outputTokens)
  }

  /** Stops the engine: all its requests fail and its cache is lost. */
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

  /** Restarts the engine without requests or cache, under a new incarnation. */
  restart (): void {
    this.#isAlive = true
    this.#incarnation++
  }

  /** The current load, as an engine reports it to the daemons. */
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

  /** Prefill rate of one accelerator, since a prompt is prefilled by a single accelerator. */
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

  /** Preempts a prefill of lower priority if all accelerators are busy. */
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

  /** Prompt tokens still to prefill: the rest of a preempted prefill, otherwise the tokens that are not cached. */
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

  /**
   * Advances the token count to the current time. Must run before the batch changes, because it uses the
   * decoding speed of the present batch.
   */
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

  /** Caches the generated tokens with the prompt, because the session's next prompt begins with both. */
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
