/**
 * What this daemon knows of each endpoint by its own attempts: the work it has there, when it last
 * heard a byte and how answers end. Reports of load are late and cost; own work
 * is known at once, and a daemon's share of an endpoint's work is about its share of all callers.
 */
import { knownOrMade } from '../contract/index.ts'
import { instanceKey, type RoutedEndpoint } from '../routing/index.ts'
import { EndpointHealth } from './endpointHealth.ts'
import type { RequestWork } from './requestWork.ts'

/** How an attempt ended, as far as its endpoint is concerned. */
export const AttemptEnd = {
  /** Its answer came, whatever it says. */
  Answered: 'answered',
  /** The endpoint itself failed it, or broke off while it was there. */
  Failed: 'failed',
  /** It could not be reached or fell silent. */
  Lost: 'lost',
  /** It had no room and did not run it. */
  Full: 'full',
  /** Given up for a reason of the caller's or this daemon's. */
  Cancelled: 'cancelled'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** An attempt that is under way. */
export interface AttemptTracker {
  /** A byte of its answer came. */
  recordBytes (now: number): void
  /** Its first event or whole answer came. */
  recordResponseStart (now: number): void
  close (end: AttemptEnd, now: number): void
}

const unusedRetentionMilliseconds = 30_000

/** One endpoint as this daemon sees it. */
class EndpointLoad {
  readonly health = new EndpointHealth()
  /** Milliseconds of work under way. */
  workMilliseconds = 0
  inFlight = 0
  /** Attempts under way from which nothing was heard yet. */
  attemptsWithoutBytes = 0
  lastByteAt = Number.NEGATIVE_INFINITY
  lastUsedAt = Number.NEGATIVE_INFINITY
}

/**
 * The loads of all endpoints.
 *
 * @example
 * const work = loads.open(endpoint, usualWork(route, service, model, prompt, output), now)
 * work.close(AttemptEnd.Answered, later)
 */
export class EndpointLoads {
  readonly #loads = new Map<string, EndpointLoad>()

  /** Counts an attempt as under way. */
  track (endpoint: RoutedEndpoint, work: RequestWork, now: number): AttemptTracker {
    const load = this.#loadOf(endpoint)
    let remainingMilliseconds = work.prefillMilliseconds + work.generationMilliseconds
    let hasReceivedBytes = false
    let isOpen = true
    load.workMilliseconds += remainingMilliseconds
    load.inFlight++
    load.attemptsWithoutBytes++
    load.lastUsedAt = now
    const heard = (at: number) => {
      load.lastByteAt = at
      if (!hasReceivedBytes) load.attemptsWithoutBytes--
      hasReceivedBytes = true
    }
    return {
      recordBytes: heard,
      recordResponseStart: at => {
        heard(at)
        load.workMilliseconds -= work.prefillMilliseconds
        remainingMilliseconds -= work.prefillMilliseconds
      },
      close: (end, at) => {
        if (!isOpen) return
        isOpen = false
        load.workMilliseconds = Math.max(0, load.workMilliseconds - remainingMilliseconds)
        load.inFlight--
        if (!hasReceivedBytes) load.attemptsWithoutBytes--
        recordEnd(load.health, end, at)
      }
    }
  }

  /** Milliseconds of this daemon's work at an endpoint. */
  workMillisecondsAt (endpoint: RoutedEndpoint): number {
    return this.#loads.get(instanceKey(endpoint))?.workMilliseconds ?? 0
  }

  /** This daemon's attempts under way at an endpoint. */
  attemptsInFlightAt (endpoint: RoutedEndpoint): number {
    return this.#loads.get(instanceKey(endpoint))?.inFlight ?? 0
  }

  /** How many times as costly as a sound one an endpoint counts, for its failures. */
  costFactorOf (endpoint: RoutedEndpoint): number {
    return this.#loads.get(instanceKey(endpoint))?.health.costFactor ?? 1
  }

  mayTry (endpoint: RoutedEndpoint, now: number): boolean {
    const load = this.#loads.get(instanceKey(endpoint))
    return load === undefined || load.health.mayTry(now, load.inFlight)
  }

  /** Whether an endpoint has just said that it has no room. */
  isFull (endpoint: RoutedEndpoint, now: number): boolean {
    return this.#loads.get(instanceKey(endpoint))?.health.isFull(now) ?? false
  }

  /** Milliseconds since anything was heard from an endpoint. */
  silentMillisecondsOf (endpoint: RoutedEndpoint, now: number): number {
    return now - (this.#loads.get(instanceKey(endpoint))?.lastByteAt ?? Number.NEGATIVE_INFINITY)
  }

  /** Forgets incarnations that were not used for long. */
  sweep (now: number): void {
    for (const [key, load] of this.#loads) {
      if (load.inFlight === 0 && now - load.lastUsedAt > unusedRetentionMilliseconds) this.#loads.delete(key)
    }
  }

  #loadOf (endpoint: RoutedEndpoint): EndpointLoad {
    return knownOrMade(this.#loads, instanceKey(endpoint), () => new EndpointLoad())
  }
}

function recordEnd (health: EndpointHealth, end: AttemptEnd, now: number): void {
  if (end === AttemptEnd.Answered) health.recordResponse(false)
  if (end === AttemptEnd.Failed) health.recordResponse(true)
  if (end === AttemptEnd.Lost) health.recordLoss(now)
  if (end === AttemptEnd.Full) health.recordFull(now)
}
