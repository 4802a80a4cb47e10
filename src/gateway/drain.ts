/**
 * The drain of the server for callers in a planned stop. It accepts connections until the load balancer
 * has taken the VM out, asks callers on keep-alive connections to close them, and ends when every answer
 * has been handed to the kernel, or when its time is over.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { type Clock, untilInputIsRead } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import type { CallerListener } from '../server/index.ts'
import { CallerConnections } from './callerConnections.ts'
import { type PlannedStop, signalDelayMilliseconds } from './plannedStop.ts'
import { type CutRequest, cutFields } from './requestTimes.ts'

/** Time until the load balancer, which checks once a second, has taken this VM out after two failed checks. */
const balancerRemovalMilliseconds = 2_400
/** The platform expects an answer to a request that was sent later than this after its signal, also if the stop ends meanwhile. */
const excusedRequestMilliseconds = 3_000
/** A request that arrives later than this after the stop began might be cut off by its end. */
const lateRequestMilliseconds = excusedRequestMilliseconds - signalDelayMilliseconds
/** Time before the end of a stop in which waiting requests are refused and the refusals are sent. */
const refusalMilliseconds = 300
/** Time before the end of a stop in which runs that are still at work are ended and their callers told so. */
const cutMilliseconds = 100
const pollIntervalMilliseconds = 50
const nanosecondsPerMillisecond = 1_000_000

export interface DrainOptions {
  readonly listener: CallerListener
  readonly plannedStop: PlannedStop
  readonly clock: Clock
  readonly log: Log
  readonly requestsInFlight: () => number
  /** Those of them whose body has been read. */
  readonly readRequests: () => readonly CutRequest[]
}

/**
 * @example
 * const drain = new Drain({ listener, plannedStop, clock, log, requestsInFlight: () => forwarding.inFlight, readRequests: () => forwarding.readRequests })
 * await drain.run(7_000)
 */
export class Drain {
  readonly #options: DrainOptions
  readonly #connections: CallerConnections
  #startedAt: number | undefined

  constructor (options: DrainOptions) {
    this.#options = options
    this.#connections = new CallerConnections(options.listener, options.log)
  }

  /** Whether the planned stop has begun. */
  get hasBegun (): boolean {
    return this.#startedAt !== undefined
  }

  /** Whether a request that arrives now comes too late to be served. */
  get isTooLate (): boolean {
    return this.#startedAt !== undefined && this.#options.clock.now() - this.#startedAt > lateRequestMilliseconds
  }

  /** @param graceMilliseconds after which remaining connections are closed */
  async run (graceMilliseconds: number): Promise<void> {
    const { clock, listener, plannedStop } = this.#options
    const eventLoopDelay = monitorEventLoopDelay()
    eventLoopDelay.enable()
    const startedAt = clock.now()
    this.#startedAt = startedAt
    const lastSendMilliseconds = Math.max(0, graceMilliseconds - refusalMilliseconds)
    plannedStop.begin(startedAt + lastSendMilliseconds)
    listener.retireConnections()
    await this.#untilBalancerHasLeft(startedAt + Math.min(balancerRemovalMilliseconds, lastSendMilliseconds))
    await untilInputIsRead(clock)
    listener.stopListening()
    await this.#untilAnswered(startedAt + graceMilliseconds - cutMilliseconds)
    const cutRequestFields = cutFields(this.#options.readRequests(), startedAt)
    const cut = this.#cutRuns()
    // A starved process may come here late; callers get their answers all the same.
    await this.#untilAnswered(clock.now() + cutMilliseconds)
    this.#connections.closeAll()
    eventLoopDelay.disable()
    this.#options.log.info('drained', {
      milliseconds: Math.round(clock.now() - startedAt),
      cut,
      ...cutRequestFields,
      unsent: this.#connections.unsentCount,
      longestEventLoopDelay: Math.round(eventLoopDelay.max / nanosecondsPerMillisecond)
    })
  }

  /** Waits that have reached their limits end meanwhile. */
  async #untilBalancerHasLeft (leavesAt: number): Promise<void> {
    const { clock, plannedStop } = this.#options
    while (clock.now() < leavesAt) {
      await clock.sleep(Math.min(pollIntervalMilliseconds, leavesAt - clock.now()))
      plannedStop.endWaits()
    }
  }

  async #untilAnswered (endsAt: number): Promise<void> {
    const { clock, plannedStop } = this.#options
    while (clock.now() < endsAt) {
      this.#connections.closeIdle()
      if (this.#isAllAnswered) return
      plannedStop.endWaits()
      await clock.sleep(Math.min(pollIntervalMilliseconds, endsAt - clock.now()))
      await untilInputIsRead(clock)
    }
  }

  get #isAllAnswered (): boolean {
    const { listener, requestsInFlight } = this.#options
    return requestsInFlight() === 0 && listener.openResponseCount === 0 && !listener.connections.some(({ isClosing }) => isClosing)
  }

  /** Ends what is still at work; returns how many requests were in flight. */
  #cutRuns (): number {
    const { plannedStop, requestsInFlight } = this.#options
    const cut = requestsInFlight()
    if (cut > 0) plannedStop.cut()
    return cut
  }
}
