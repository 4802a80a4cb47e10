/**
 * What one daemon remembers between decisions: its own attempts, endpoints' standings, how long
 * answers are, and where a prefix was sent last. All of it is bounded and may be lost; it only makes
 * estimates better.
 */
import { Priority, type VersionName } from '../contract/index.ts'
import type { AttemptOutcome, EndpointView } from './contract.ts'
import { EndpointStanding } from './ejection.ts'
import type { EndpointMemory } from './endpointCandidates.ts'
import type { UsualRequest } from './endpointEstimate.ts'
import { InFlight } from './endpointInFlight.ts'

const rememberedUses = 20_000
const rememberedEndpoints = 4_096
const firstMeanCompletionTokens = 150
const firstRemainingMilliseconds = 30_000
const learningRate = 0.05
const slownessBounds = { least: 0.5, most: 4 } as const
const queueShareBounds = { least: 0.05, most: 4 } as const
/** Shorter queues are too near to noise to learn from. */
const shortestQueueMilliseconds = 100

/** A daemon's own memory of endpoints. */
export class EndpointMemories {
  readonly #endpoints = new Map<string, EndpointMemory>()
  readonly #uses = new Map<string, string>()
  readonly #queueShares: Record<Priority, number> = {
    [Priority.Interactive]: 0.5,
    [Priority.Normal]: 1,
    [Priority.Background]: 2
  }

  readonly #remaining = new Map<VersionName, number>()
  readonly #completionTokens = new Map<VersionName, number>()

  /** The memory of an endpoint. */
  of (name: string): EndpointMemory {
    const known = this.#endpoints.get(name)
    if (known !== undefined) return known
    if (this.#endpoints.size >= rememberedEndpoints) this.#forgetIdle()
    const memory = { inFlight: new InFlight(), standing: new EndpointStanding(), slowness: 1 }
    this.#endpoints.set(name, memory)
    return memory
  }

  /** Takes in the news of all endpoints, also of those that can't be used now. */
  readNews (views: readonly EndpointView[], now: number): void {
    for (const view of views) {
      this.of(view.endpoint.name).standing.observeNews(view.healthy, view.report?.incarnation, now)
    }
  }

  /** Learns how long a version's answers are. */
  observeLength (version: VersionName, { completionTokens }: AttemptOutcome): void {
    if (completionTokens === 0) return
    const mean = this.meanCompletionTokens(version)
    this.#completionTokens.set(version, mean + learningRate * (completionTokens - mean))
  }

  /** Learns how much of a queue a priority waits for: a report does not say who is in it. */
  observeQueue (priority: Priority, queueMilliseconds: number, waitedMilliseconds: number): void {
    if (queueMilliseconds < shortestQueueMilliseconds) return
    const seen = Math.min(queueShareBounds.most, Math.max(queueShareBounds.least, waitedMilliseconds / queueMilliseconds))
    this.#queueShares[priority] += learningRate * (seen - this.#queueShares[priority])
  }

  /** The part of a queue that a priority waits for. */
  queueShare (priority: Priority): number {
    return this.#queueShares[priority]
  }

  /** The mean length of a version's answers, in tokens. */
  meanCompletionTokens (version: VersionName): number {
    return this.#completionTokens.get(version) ?? firstMeanCompletionTokens
  }

  /** Learns how much time a version's requests have. */
  observeRequest (version: VersionName, remainingMilliseconds: number): void {
    const mean = this.#remaining.get(version) ?? remainingMilliseconds
    this.#remaining.set(version, mean + learningRate * (remainingMilliseconds - mean))
  }

  /** What is usual of a version's requests. */
  usualRequest (version: VersionName): UsualRequest {
    const remainingMilliseconds = this.#remaining.get(version) ?? firstRemainingMilliseconds
    return { completionTokens: this.meanCompletionTokens(version), remainingMilliseconds }
  }

  /** Where this daemon sent a key last. */
  lastUse (key: string): string | undefined {
    return this.#uses.get(key)
  }

  /** Remembers where a key was sent; the longest unused is forgotten first. */
  rememberUse (key: string, endpoint: string): void {
    this.#uses.delete(key)
    this.#uses.set(key, endpoint)
    if (this.#uses.size <= rememberedUses) return
    const oldest = this.#uses.keys().next().value
    if (oldest !== undefined) this.#uses.delete(oldest)
  }

  /** Forgets where a key was sent. */
  forgetUse (key: string): void {
    this.#uses.delete(key)
  }

  #forgetIdle (): void {
    for (const [name, memory] of this.#endpoints) {
      if (memory.inFlight.open === 0) this.#endpoints.delete(name)
    }
  }
}

/** An endpoint's slowness after an attempt that took `ratio` times as long as was expected. */
export function learnedSlowness (slowness: number, ratio: number): number {
  const seen = Math.min(slownessBounds.most, Math.max(slownessBounds.least, slowness * ratio))
  return slowness + learningRate * (seen - slowness)
}
