/**
 * Requests of one service that wait for a place at one of its endpoints, all of which have limits that are used
 * up. More urgent requests go first; among equally urgent ones the organisations take turns, and within one the
 * oldest goes first. A request waits only if its turn is likely to come well before its deadline; otherwise it
 * is refused at once and told when to come back.
 */
import { type Clock, Err, Ok, type Result, dropOldest, getOrCreate } from '../contract/index.ts'

const maximumWaiting = 64
/** A request may wait for this share of the time that it has left. */
const maximumWaitShare = 0.5
const maximumQueues = 256
/** Time for a request whose turn has come to take its place. */
const turnMilliseconds = 10
/** Longest time between two looks at the places, which change with limits and gateways. */
const maximumSleepMilliseconds = 100
const millisecondsPerSecond = 1_000

/** A request that may wait. */
export interface WaitingRequest {
  readonly organisation: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly arrivedAt: number
  /** When it is refused rather than kept waiting. */
  readonly giveUpAt: number
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
  /** The places that may come at the endpoints that can serve the request. */
  readonly forecast: () => PlaceForecast
}

/** Places that may come to this gateway. */
export interface PlaceForecast {
  /** Milliseconds until the next place; infinite if none comes. */
  readonly millisecondsToPlace: number
  /** Places that come each second. */
  readonly placesPerSecond: number
}

/** Why a request does not wait. */
export interface NoPlaceInTime {
  /** When a place is likely to be free, in milliseconds from now; infinite if none comes. */
  readonly retryAfterMilliseconds: number
}

interface Waiter {
  readonly request: WaitingRequest
  readonly end: (result: Result<void, NoPlaceInTime>) => void
}

/**
 * @example
 * const turn = await queue.wait(request)
 * if (turn.err) refuse(turn.val.retryAfterMilliseconds)
 */
export class PlaceQueue {
  readonly #clock: Clock
  readonly #waiters: Waiter[] = []
  /** Organisations in the order of their last turns. */
  readonly #servedOrganisations = new Set<string>()
  #isRunning = false

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Number of waiting requests. */
  get length (): number {
    return this.#waiters.length
  }

  /**
   * Waits for the request's turn. The caller then has to look for a place at once; one that finds none may wait again.
   *
   * @returns an error if the turn would come too late, or was given to requests of other organisations
   */
  async wait (request: WaitingRequest): Promise<Result<void, NoPlaceInTime>> {
    const expectedMilliseconds = this.#expectedWait(request)
    if (this.#clock.now() + expectedMilliseconds > request.giveUpAt || request.signal.aborted) return Err({ retryAfterMilliseconds: expectedMilliseconds })
    if (this.#waiters.length >= maximumWaiting && !this.#displace(request)) return Err({ retryAfterMilliseconds: expectedMilliseconds })
    return await this.#enqueue(request)
  }

  #enqueue (request: WaitingRequest): Promise<Result<void, NoPlaceInTime>> {
    return new Promise(resolve => {
      const leave = () => this.#end(waiter, Err({ retryAfterMilliseconds: 0 }))
      const waiter: Waiter = {
        request,
        end: result => {
          request.signal.removeEventListener('abort', leave)
          resolve(result)
        }
      }
      this.#waiters.push(waiter)
      request.signal.addEventListener('abort', leave, { once: true })
      if (!this.#isRunning) this.#run()
    })
  }

  async #run (): Promise<void> {
    this.#isRunning = true
    while (this.#waiters.length > 0) {
      const waits = this.#waiters.map(waiter => ({ waiter, milliseconds: waiter.request.forecast().millisecondsToPlace }))
      const ready = waits.filter(({ milliseconds }) => milliseconds <= 0).map(({ waiter }) => waiter)
      if (ready.length > 0) {
        // A place that is free just as a wait ends goes to that request; to refuse it would help nobody.
        await this.#giveTurn(this.#firstOf(ready))
        continue
      }
      this.#endLate()
      if (this.#waiters.length > 0) await this.#clock.sleep(Math.min(maximumSleepMilliseconds, ...waits.map(({ milliseconds }) => milliseconds)))
    }
    this.#isRunning = false
  }

  async #giveTurn (next: Waiter): Promise<void> {
    this.#servedOrganisations.delete(next.request.organisation)
    this.#servedOrganisations.add(next.request.organisation)
    this.#end(next, Ok(undefined))
    await this.#clock.sleep(turnMilliseconds)
    this.#forgetAbsentOrganisations()
  }

  #firstOf (waiters: readonly Waiter[]): Waiter {
    const turns = [...this.#servedOrganisations]
    const isBefore = (left: Waiter, right: Waiter) =>
      left.request.priority - right.request.priority ||
      turns.indexOf(left.request.organisation) - turns.indexOf(right.request.organisation) ||
      left.request.arrivedAt - right.request.arrivedAt
    return waiters.reduce((first, waiter) => isBefore(waiter, first) < 0 ? waiter : first)
  }

  #endLate (): void {
    const now = this.#clock.now()
    const late = this.#waiters.filter(({ request }) => request.giveUpAt <= now)
    for (const waiter of late) this.#end(waiter, Err({ retryAfterMilliseconds: waiter.request.forecast().millisecondsToPlace }))
  }

  /** Makes room for an organisation with few waiting requests at the expense of the one with most; returns whether it did. */
  #displace ({ organisation }: WaitingRequest): boolean {
    const counts = new Map<string, number>()
    for (const { request } of this.#waiters) counts.set(request.organisation, (counts.get(request.organisation) ?? 0) + 1)
    const [largest, most] = [...counts].reduce((first, entry) => entry[1] > first[1] ? entry : first)
    if ((counts.get(organisation) ?? 0) + 1 >= most) return false
    const newest = this.#waiters.filter(({ request }) => request.organisation === largest).at(-1)
    if (newest === undefined) return false
    this.#end(newest, Err({ retryAfterMilliseconds: this.#expectedWait(newest.request) }))
    return true
  }

  /** Requests that go before are those that are more urgent, and the equally urgent ones. */
  #expectedWait ({ priority, forecast }: WaitingRequest): number {
    const { millisecondsToPlace, placesPerSecond } = forecast()
    const before = this.#waiters.filter(({ request }) => request.priority <= priority).length
    if (before === 0) return millisecondsToPlace
    return placesPerSecond > 0 ? millisecondsToPlace + before * millisecondsPerSecond / placesPerSecond : Number.POSITIVE_INFINITY
  }

  #end (waiter: Waiter, result: Result<void, NoPlaceInTime>): void {
    const index = this.#waiters.indexOf(waiter)
    if (index < 0) return
    this.#waiters.splice(index, 1)
    waiter.end(result)
  }

  #forgetAbsentOrganisations (): void {
    const waiting = new Set(this.#waiters.map(({ request }) => request.organisation))
    for (const organisation of this.#servedOrganisations) if (!waiting.has(organisation)) this.#servedOrganisations.delete(organisation)
  }
}

/** One queue for each service. */
export class PlaceQueues {
  readonly #clock: Clock
  readonly #queues = new Map<string, PlaceQueue>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** The queue of a service. */
  of (service: string): PlaceQueue {
    const queue = getOrCreate(this.#queues, service, () => new PlaceQueue(this.#clock))
    dropOldest(this.#queues, maximumQueues)
    return queue
  }
}

/**
 * When a request is refused rather than kept waiting for a place.
 *
 * @example
 * const giveUpAt = latestTurn(clock.now(), request.deadline)
 */
export function latestTurn (now: number, deadline: number): number {
  return now + Math.max(0, deadline - now) * maximumWaitShare
}
