/**
 * State that one daemon keeps between decisions: its attempts in flight, the outlier state of endpoints,
 * mean answer lengths, and the last endpoint of each prefix. Its size is bounded and it may be lost; it
 * only improves estimates.
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
/** Shorter queues are too noisy to learn from. */
const minimumQueueMilliseconds = 100

/** One daemon's observations of endpoints. */
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

  /** Returns the state of an endpoint, created on first use. */
  stateOf (name: string): EndpointState {
    const known = this.#endpoints.get(name)
    if (known !== undefined) return known
    if (this.#endpoints.size >= maximumEndpoints) this.#evictIdle()
    const state = { inFlight: new InFlightAttempts(), outlierState: new OutlierState(), latencyFactor: 1 }
    this.#endpoints.set(name, state)
    return state
  }

  /** Updates the health of all endpoints, including unusable ones. */
  observeHealth (views: readonly EndpointView[], now: number): void {
    for (const view of views) {
      this.stateOf(view.endpoint.name).outlierState.observeHealth(view.healthy, view.report?.incarnation, now)
    }
  }

  /** Updates the mean answer length of a version. */
  observeCompletionLength (version: VersionName, { completionTokens }: AttemptOutcome): void {
    if (completionTokens === 0) return
    const mean = this.meanCompletionTokens(version)
    this.#meanCompletionTokens.set(version, mean + smoothingFactor * (completionTokens - mean))
  }

  /** Learns the queue factor of a priority, because a report does not list the priorities in a queue. */
  observeQueue (priority: Priority, queueMilliseconds: number, waitedMilliseconds: number): void {
    if (queueMilliseconds < minimumQueueMilliseconds) return
    const observed = Math.min(queueFactorBounds.maximum, Math.max(queueFactorBounds.minimum, waitedMilliseconds / queueMilliseconds))
    this.#queueFactors[priority] += smoothingFactor * (observed - this.#queueFactors[priority])
  }

  /** Ratio of the wait of a priority to the time for the whole queue. */
  queueFactor (priority: Priority): number {
    return this.#queueFactors[priority]
  }

  /** Mean answer length of a version, in tokens. */
  meanCompletionTokens (version: VersionName): number {
    return this.#meanCompletionTokens.get(version) ?? initialMeanCompletionTokens
  }

  /** Updates the mean remaining time of a version's requests. */
  observeRequest (version: VersionName, remainingMilliseconds: number): void {
    const mean = this.#meanRemainingMilliseconds.get(version) ?? remainingMilliseconds
    this.#meanRemainingMilliseconds.set(version, mean + smoothingFactor * (remainingMilliseconds - mean))
  }

  /** Typical length and remaining time of a version's requests. */
  typicalRequest (version: VersionName): TypicalRequest {
    const remainingMilliseconds = this.#meanRemainingMilliseconds.get(version) ?? initialRemainingMilliseconds
    return { completionTokens: this.meanCompletionTokens(version), remainingMilliseconds }
  }

  /** The endpoint that this daemon last sent a key to. */
  lastPlacement (key: string): string | undefined {
    return this.#placements.get(key)
  }

  /** Records the endpoint of a key; the least recently used key is evicted first. */
  rememberPlacement (key: string, endpoint: string): void {
    this.#placements.delete(key)
    this.#placements.set(key, endpoint)
    if (this.#placements.size <= maximumPlacements) return
    const oldest = this.#placements.keys().next().value
    if (oldest !== undefined) this.#placements.delete(oldest)
  }

  /** Removes the recorded endpoint of a key. */
  forgetPlacement (key: string): void {
    this.#placements.delete(key)
  }

  #evictIdle (): void {
    for (const [name, state] of this.#endpoints) {
      if (state.inFlight.openCount === 0) this.#endpoints.delete(name)
    }
  }
}

/** Latency factor of an endpoint after an attempt that took `ratio` times the expected time. */
export function updatedLatencyFactor (latencyFactor: number, ratio: number): number {
  const observed = Math.min(latencyFactorBounds.maximum, Math.max(latencyFactorBounds.minimum, latencyFactor * ratio))
  return latencyFactor + smoothingFactor * (observed - latencyFactor)
}
