/**
 * Tracks each endpoint from this daemon's own attempts: its work in progress, when the last byte was
 * received and how attempts end. The daemon's own work is known at once; that of the others is in `fleetLoad`.
 */
import { getOrCreate } from '../contract/index.ts'
import { type EndpointWork, loadKey } from '../fleetLoad/index.ts'
import { instanceKey, type RoutedEndpoint } from '../routing/index.ts'
import { EndpointHealth } from './endpointHealth.ts'
import type { RequestWork } from './requestWork.ts'

/** Outcome of an attempt, as far as its endpoint is concerned. */
export const AttemptEnd = {
  /** A response was received, whatever its content. */
  Answered: 'answered',
  /** The endpoint failed the request, or broke it off while it was reachable. */
  Failed: 'failed',
  /** The endpoint was unreachable. */
  Lost: 'lost',
  /** Nothing was received for so long that the attempt was given up; the endpoint may be sound. */
  Silent: 'silent',
  /** The endpoint had no capacity and did not execute the request. */
  Full: 'full',
  /** Abandoned for a reason on the caller's or this daemon's side. */
  Cancelled: 'cancelled'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** Tracks one attempt in progress. */
export interface AttemptTracker {
  /** Records that bytes of the response were received. */
  recordBytes (now: number): void
  /** Records the first event or the complete response; prefill is done from then on. */
  recordResponseStart (now: number): void
  /** Milliseconds since the last byte was received from the endpoint, by any attempt, without those in which none could be; infinite if none was. */
  silentMilliseconds (now: number): number
  /** Milliseconds since the endpoint was last seen to accept a connection, without those in which it could not be; infinite if it never was. */
  unacceptedMilliseconds (now: number): number
  /** Time that requests wait at the endpoint before their turn, in milliseconds. */
  waitMilliseconds (now: number): number
  close (end: AttemptEnd, now: number): void
}

const unusedRetentionMilliseconds = 30_000
/** Weight of the latest response in the mean of the waits. */
const waitSmoothing = 0.3
/** A wait that was seen counts half after this time. */
const waitHalfLifeMilliseconds = 2_000
/** Weight of the latest response in the mean time from the start of a response to its end. */
const durationSmoothing = 0.05
/** Assumed before the first response has ended. */
const initialDurationMilliseconds = 1_000

class EndpointLoad {
  readonly health = new EndpointHealth()
  /** Estimated work in progress. */
  workMilliseconds = 0
  inFlight = 0
  runsModels = false
  /** Attempts in progress that have received no bytes yet. */
  attemptsWithoutBytes = 0
  lastByteAt = Number.NEGATIVE_INFINITY
  heldUpBeforeLastByte = 0
  lastAcceptedAt = Number.NEGATIVE_INFINITY
  heldUpBeforeLastAcceptance = 0
  lastUsedAt = Number.NEGATIVE_INFINITY
  #waitMilliseconds = 0
  #waitSeenAt = Number.NEGATIVE_INFINITY

  /** Time that requests wait there before their turn, as their responses showed it. */
  waitMillisecondsAt (now: number): number {
    return this.#waitMilliseconds * 0.5 ** ((now - this.#waitSeenAt) / waitHalfLifeMilliseconds)
  }

  recordWait (milliseconds: number, now: number): void {
    const before = this.waitMillisecondsAt(now)
    this.#waitMilliseconds = before + waitSmoothing * (milliseconds - before)
    this.#waitSeenAt = now
  }
}

/**
 * @example
 * const work = loads.track(endpoint, estimateWork(route, service, model, prompt, output), now)
 * work.close(AttemptEnd.Answered, later)
 */
export class EndpointLoads {
  readonly #loads = new Map<string, EndpointLoad>()
  readonly #onModelWork: (now: number) => void
  readonly #heldUpMilliseconds: () => number
  #meanResponseMilliseconds = initialDurationMilliseconds

  /**
   * @param onModelWork called when an attempt at an endpoint with models begins
   * @param heldUpMilliseconds for how long the event loop was held up so far; that time says nothing of an endpoint
   */
  constructor (onModelWork: (now: number) => void = () => undefined, heldUpMilliseconds: () => number = () => 0) {
    this.#onModelWork = onModelWork
    this.#heldUpMilliseconds = heldUpMilliseconds
  }

  /** Adds an attempt to the endpoint's load. */
  track (endpoint: RoutedEndpoint, work: RequestWork, now: number): AttemptTracker {
    const load = this.#loadOf(endpoint)
    const runsModels = endpoint.models.length > 0
    load.runsModels = runsModels
    if (runsModels) this.#onModelWork(now)
    let respondedAt: number | undefined
    let remainingMilliseconds = work.prefillMilliseconds + work.generationMilliseconds
    let hasReceivedBytes = false
    let isOpen = true
    load.workMilliseconds += remainingMilliseconds
    load.inFlight++
    load.attemptsWithoutBytes++
    load.lastUsedAt = now
    const heldUpBefore = this.#heldUpMilliseconds()
    const recordBytes = (at: number) => {
      load.lastByteAt = at
      load.heldUpBeforeLastByte = this.#heldUpMilliseconds()
      load.health.recordBytes()
      if (!hasReceivedBytes) load.attemptsWithoutBytes--
      hasReceivedBytes = true
    }
    return {
      recordBytes,
      recordResponseStart: at => {
        recordBytes(at)
        load.health.recordResponseStart()
        respondedAt = at
        load.recordWait(Math.max(0, at - now - (this.#heldUpMilliseconds() - heldUpBefore) - work.prefillMilliseconds), at)
        load.workMilliseconds -= work.prefillMilliseconds
        remainingMilliseconds -= work.prefillMilliseconds
      },
      silentMilliseconds: at => this.#heardMilliseconds(at - load.lastByteAt, load.heldUpBeforeLastByte),
      unacceptedMilliseconds: at => this.#heardMilliseconds(at - load.lastAcceptedAt, load.heldUpBeforeLastAcceptance),
      waitMilliseconds: at => load.waitMillisecondsAt(at),
      close: (end, at) => {
        if (!isOpen) return
        isOpen = false
        load.workMilliseconds = Math.max(0, load.workMilliseconds - remainingMilliseconds)
        load.inFlight--
        if (!hasReceivedBytes) load.attemptsWithoutBytes--
        recordEnd(load, end, at)
        if (runsModels && end === AttemptEnd.Answered && respondedAt !== undefined) this.#recordDuration(at - respondedAt)
      }
    }
  }

  /** This daemon's estimated work in progress at an endpoint. */
  workMillisecondsAt (endpoint: RoutedEndpoint): number {
    return this.#loads.get(instanceKey(endpoint))?.workMilliseconds ?? 0
  }

  /** Number of this daemon's attempts in flight at an endpoint. */
  attemptsInFlightAt (endpoint: RoutedEndpoint): number {
    return this.#loads.get(instanceKey(endpoint))?.inFlight ?? 0
  }

  /** This daemon's work in progress at endpoints that run models, by the endpoint's `loadKey`. */
  modelWork (): Map<number, EndpointWork> {
    const work = new Map<number, EndpointWork>()
    for (const [instance, { inFlight, runsModels, workMilliseconds }] of this.#loads) {
      if (runsModels && inFlight > 0) work.set(loadKey(instance), { runs: inFlight, workMilliseconds })
    }
    return work
  }

  /** Mean time from the start of a model's response to its end, for which a request occupies its endpoint. */
  get meanResponseMilliseconds (): number {
    return this.#meanResponseMilliseconds
  }

  /** Time that requests wait at an endpoint before their turn, from the responses of the last seconds. */
  waitMillisecondsAt (endpoint: RoutedEndpoint, now: number): number {
    return this.#loads.get(instanceKey(endpoint))?.waitMillisecondsAt(now) ?? 0
  }

  /** Multiplier of an endpoint's cost for its failures; 1 for a healthy one. */
  costFactorOf (endpoint: RoutedEndpoint): number {
    return this.#loads.get(instanceKey(endpoint))?.health.costFactor ?? 1
  }

  mayTry (endpoint: RoutedEndpoint, now: number): boolean {
    const load = this.#loads.get(instanceKey(endpoint))
    return load === undefined || load.health.mayTry(now, load.inFlight)
  }

  /** Whether an endpoint is excluded because it has fallen silent. */
  isSilent (endpoint: RoutedEndpoint, now: number): boolean {
    return this.#loads.get(instanceKey(endpoint))?.health.isSilent(now) ?? false
  }

  /** Whether an endpoint has just refused a request for lack of capacity. */
  isFull (endpoint: RoutedEndpoint, now: number): boolean {
    return this.#loads.get(instanceKey(endpoint))?.health.isFull(now) ?? false
  }

  /** Records that an endpoint wants no requests until a time, in milliseconds of the process's clock. */
  recordOverload (endpoint: RoutedEndpoint, until: number): void {
    this.#loadOf(endpoint).health.recordOverload(until)
  }

  /** Whether an endpoint wants no requests now; checked again immediately before each send. */
  isOverloaded (endpoint: RoutedEndpoint, now: number): boolean {
    return this.#loads.get(instanceKey(endpoint))?.health.isOverloaded(now) ?? false
  }

  /**
   * How long it takes until one of the endpoints wants requests again.
   *
   * @returns milliseconds; 0 if one of them wants requests now, or if there are none
   * @example
   * const milliseconds = loads.overloadMilliseconds(registry.servingEndpoints('engines', now), now)
   */
  overloadMilliseconds (endpoints: readonly RoutedEndpoint[], now: number): number {
    if (endpoints.length === 0) return 0
    const ends = endpoints.map(endpoint => this.#loads.get(instanceKey(endpoint))?.health.overloadedUntil ?? now)
    return Math.max(0, Math.min(...ends) - now)
  }

  /** Records that an endpoint has accepted a connection, so it is alive although none of its runs receives anything. */
  recordAcceptance (endpoint: RoutedEndpoint, now: number): void {
    const load = this.#loads.get(instanceKey(endpoint))
    if (load === undefined) return
    load.lastAcceptedAt = now
    load.heldUpBeforeLastAcceptance = this.#heldUpMilliseconds()
  }

  /** Removes incarnations that have not been used within the retention period. */
  sweep (now: number): void {
    for (const [key, load] of this.#loads) {
      if (load.inFlight === 0 && !load.health.isOverloaded(now) && now - load.lastUsedAt > unusedRetentionMilliseconds) this.#loads.delete(key)
    }
  }

  /** Part of a time in which the endpoint could be heard. */
  #heardMilliseconds (milliseconds: number, heldUpBefore: number): number {
    return Math.max(0, milliseconds - (this.#heldUpMilliseconds() - heldUpBefore))
  }

  #recordDuration (milliseconds: number): void {
    this.#meanResponseMilliseconds += durationSmoothing * (milliseconds - this.#meanResponseMilliseconds)
  }

  #loadOf (endpoint: RoutedEndpoint): EndpointLoad {
    return getOrCreate(this.#loads, instanceKey(endpoint), () => new EndpointLoad())
  }
}

function recordEnd ({ health, inFlight }: EndpointLoad, end: AttemptEnd, now: number): void {
  if (end === AttemptEnd.Answered) health.recordResponse(false)
  if (end === AttemptEnd.Failed) health.recordResponse(true)
  if (end === AttemptEnd.Lost) health.recordLoss(now)
  if (end === AttemptEnd.Silent) health.recordSilence(now, inFlight)
  if (end === AttemptEnd.Full) health.recordFull(now)
}
