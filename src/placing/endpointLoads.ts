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
export const WorkEnd = {
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
export type WorkEnd = typeof WorkEnd[keyof typeof WorkEnd]

/** An attempt that is under way. */
export interface EndpointWork {
  /** A byte of its answer came. */
  heard (now: number): void
  /** Its first event or whole answer came. */
  begun (now: number): void
  close (end: WorkEnd, now: number): void
}

const forgetAfterMilliseconds = 30_000

/** One endpoint as this daemon sees it. */
class EndpointLoad {
  readonly health = new EndpointHealth()
  /** Milliseconds of work under way. */
  work = 0
  inFlight = 0
  /** Attempts under way from which nothing was heard yet. */
  unheard = 0
  heardAt = Number.NEGATIVE_INFINITY
  usedAt = Number.NEGATIVE_INFINITY
}

/**
 * The loads of all endpoints.
 *
 * @example
 * const work = loads.open(endpoint, usualWork(route, service, model, prompt, output), now)
 * work.close(WorkEnd.Answered, later)
 */
export class EndpointLoads {
  readonly #loads = new Map<string, EndpointLoad>()

  /** Counts an attempt as under way. */
  open (endpoint: RoutedEndpoint, work: RequestWork, now: number): EndpointWork {
    const load = this.#loadOf(endpoint)
    let remaining = work.prefillMilliseconds + work.answerMilliseconds
    let isHeard = false
    let isOpen = true
    load.work += remaining
    load.inFlight++
    load.unheard++
    load.usedAt = now
    const heard = (at: number) => {
      load.heardAt = at
      if (!isHeard) load.unheard--
      isHeard = true
    }
    return {
      heard,
      begun: at => {
        heard(at)
        load.work -= work.prefillMilliseconds
        remaining -= work.prefillMilliseconds
      },
      close: (end, at) => {
        if (!isOpen) return
        isOpen = false
        load.work = Math.max(0, load.work - remaining)
        load.inFlight--
        if (!isHeard) load.unheard--
        observeEnd(load.health, end, at)
      }
    }
  }

  /** Milliseconds of this daemon's work at an endpoint. */
  workAt (endpoint: RoutedEndpoint): number {
    return this.#loads.get(instanceKey(endpoint))?.work ?? 0
  }

  /** This daemon's attempts under way at an endpoint. */
  inFlightAt (endpoint: RoutedEndpoint): number {
    return this.#loads.get(instanceKey(endpoint))?.inFlight ?? 0
  }

  /** How many times as costly as a sound one an endpoint counts, for its failures. */
  burdenOf (endpoint: RoutedEndpoint): number {
    return this.#loads.get(instanceKey(endpoint))?.health.burden ?? 1
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
  silenceOf (endpoint: RoutedEndpoint, now: number): number {
    return now - (this.#loads.get(instanceKey(endpoint))?.heardAt ?? Number.NEGATIVE_INFINITY)
  }

  /** Forgets incarnations that were not used for long. */
  sweep (now: number): void {
    for (const [key, load] of this.#loads) {
      if (load.inFlight === 0 && now - load.usedAt > forgetAfterMilliseconds) this.#loads.delete(key)
    }
  }

  #loadOf (endpoint: RoutedEndpoint): EndpointLoad {
    return knownOrMade(this.#loads, instanceKey(endpoint), () => new EndpointLoad())
  }
}

function observeEnd (health: EndpointHealth, end: WorkEnd, now: number): void {
  if (end === WorkEnd.Answered) health.observeAnswer(false)
  if (end === WorkEnd.Failed) health.observeAnswer(true)
  if (end === WorkEnd.Lost) health.observeLoss(now)
  if (end === WorkEnd.Full) health.observeFull(now)
}
