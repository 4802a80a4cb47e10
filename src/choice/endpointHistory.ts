/**
 * What one daemon remembers between decisions: its own attempts, endpoints' standings, how long
 * answers are, and where a prefix was sent last. All of it is bounded and may be lost; it only makes
 * estimates better.
 */
import { Priority, type VersionName } from '../contract/index.ts'
import type { AttemptOutcome, EndpointView } from './contract.ts'
import { OutlierState } from './outlierEjection.ts'
import type { EndpointState } from './endpointCandidates.ts'
import type { TypicalRequest } from './endpointLoadEstimate.ts'
import { InFlightAttempts } from './endpointInFlight.ts'

const maximumPlacements = 20_000
const maximumEndpoints = 4_096
const initialMeanCompletionTokens = 150
const initialRemainingMilliseconds = 30_000
const smoothingFactor = 0.05
const latencyFactorBounds = { minimum: 0.5, maximum: 4 } as const
const queueFactorBounds = { minimum: 0.05, maximum: 4 } as const
/** Shorter queues are too near to noise to learn from. */
const minimumQueueMilliseconds = 100

/** A daemon's own memory of endpoints. */
export class EndpointHistory {
  readonly #endpoints = new Map<string, EndpointState>()
  readonly #placements = new Map<string, string>()
  readonly #queueFactors: Record<Priority, number> = {
    [Priority.Interactive]: 0.5,
    [Priority.Normal]: 1,
    [Priority.Background]: 2
  }

  readonly #meanRemainingMilliseconds = new Map<VersionName, number>()
  readonly #meanCompletionTokens = new Map<VersionName, number>()

  /** The memory of an endpoint. */
  stateOf (name: string): EndpointState {
    const known = this.#endpoints.get(name)
    if (known !== undefined) return known
    if (this.#endpoints.size >= maximumEndpoints) this.#evictIdle()
    const state = { inFlight: new InFlightAttempts(), outlierState: new OutlierState(), latencyFactor: 1 }
    this.#endpoints.set(name, state)
    return state
  }

  /** Takes in the news of all endpoints, also of those that can't be used now. */
  observeHealth (views: readonly EndpointView[], now: number): void {
    for (const view of views) {
      this.stateOf(view.endpoint.name).outlierState.observeHealth(view.healthy, view.report?.incarnation, now)
    }
  }

  /** Learns how long a version's answers are. */
  observeCompletionLength (version: VersionName, { completionTokens }: AttemptOutcome): void {
    if (completionTokens === 0) return
    const mean = this.meanCompletionTokens(version)
    this.#meanCompletionTokens.set(version, mean + smoothingFactor * (completionTokens - mean))
  }

  /** Learns how much of a queue a priority waits for: a report does not say who is in it. */
  observeQueue (priority: Priority, queueMilliseconds: number, waitedMilliseconds: number): void {
    if (queueMilliseconds < minimumQueueMilliseconds) return
    const observed = Math.min(queueFactorBounds.maximum, Math.max(queueFactorBounds.minimum, waitedMilliseconds / queueMilliseconds))
    this.#queueFactors[priority] += smoothingFactor * (observed - this.#queueFactors[priority])
  }

  /** The part of a queue that a priority waits for. */
  queueFactor (priority: Priority): number {
    return this.#queueFactors[priority]
  }

  /** The mean length of a version's answers, in tokens. */
  meanCompletionTokens (version: VersionName): number {
    return this.#meanCompletionTokens.get(version) ?? initialMeanCompletionTokens
  }

  /** Learns how much time a version's requests have. */
  observeRequest (version: VersionName, remainingMilliseconds: number): void {
    const mean = this.#meanRemainingMilliseconds.get(version) ?? remainingMilliseconds
    this.#meanRemainingMilliseconds.set(version, mean + smoothingFactor * (remainingMilliseconds - mean))
  }

  /** What is usual of a version's requests. */
  typicalRequest (version: VersionName): TypicalRequest {
    const remainingMilliseconds = this.#meanRemainingMilliseconds.get(version) ?? initialRemainingMilliseconds
    return { completionTokens: this.meanCompletionTokens(version), remainingMilliseconds }
  }

  /** Where this daemon sent a key last. */
  lastPlacement (key: string): string | undefined {
    return this.#placements.get(key)
  }

  /** Remembers where a key was sent; the longest unused is forgotten first. */
  rememberPlacement (key: string, endpoint: string): void {
    this.#placements.delete(key)
    this.#placements.set(key, endpoint)
    if (this.#placements.size <= maximumPlacements) return
    const oldest = this.#placements.keys().next().value
    if (oldest !== undefined) this.#placements.delete(oldest)
  }

  /** Forgets where a key was sent. */
  forgetPlacement (key: string): void {
    this.#placements.delete(key)
  }

  #evictIdle (): void {
    for (const [name, state] of this.#endpoints) {
      if (state.inFlight.openCount === 0) this.#endpoints.delete(name)
    }
  }
}

/** An endpoint's slowness after an attempt that took `ratio` times as long as was expected. */
export function updatedLatencyFactor (latencyFactor: number, ratio: number): number {
  const observed = Math.min(latencyFactorBounds.maximum, Math.max(latencyFactorBounds.minimum, latencyFactor * ratio))
  return latencyFactor + smoothingFactor * (observed - latencyFactor)
}
