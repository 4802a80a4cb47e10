/**
 * What one daemon remembers between decisions: its own attempts, endpoints' standings, how long
 * answers are, and where a prefix was sent last. All of it is bounded and may be lost; it only makes
 * estimates better.
 */
import type { VersionName } from '../contract/index.ts'
import type { AttemptOutcome, EndpointView } from './contract.ts'
import { EndpointStanding } from './ejection.ts'
import type { EndpointMemory } from './endpointCandidates.ts'
import { InFlight } from './endpointInFlight.ts'

const rememberedUses = 20_000
const rememberedEndpoints = 4_096
const firstMeanCompletionTokens = 150
const learningRate = 0.05
const slownessBounds = { least: 0.5, most: 4 } as const
/** Shorter estimates are too near to noise to learn from. */
const shortestEstimateMilliseconds = 20

/** A daemon's own memory of endpoints. */
export class EndpointMemories {
  readonly #endpoints = new Map<string, EndpointMemory>()
  readonly #uses = new Map<string, string>()
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

  /** Learns from an attempt's times. */
  observeTimes (memory: EndpointMemory, version: VersionName, outcome: AttemptOutcome, expected: number): void {
    if (outcome.completionTokens > 0) {
      const mean = this.meanCompletionTokens(version)
      this.#completionTokens.set(version, mean + learningRate * (outcome.completionTokens - mean))
    }
    const first = outcome.firstTokenMilliseconds
    if (first === undefined || expected < shortestEstimateMilliseconds) return
    const ratio = Math.min(slownessBounds.most, Math.max(slownessBounds.least, first / expected))
    const target = Math.min(slownessBounds.most, Math.max(slownessBounds.least, memory.slowness * ratio))
    memory.slowness += learningRate * (target - memory.slowness)
  }

  /** The mean length of a version's answers, in tokens. */
  meanCompletionTokens (version: VersionName): number {
    return this.#completionTokens.get(version) ?? firstMeanCompletionTokens
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
