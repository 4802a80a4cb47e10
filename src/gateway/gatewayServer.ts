/**
 * HTTP server for callers. During a planned stop it accepts connections until the load balancer has
 * taken the VM out, asks callers on keep-alive connections to close them, and ends when every answer
 * has been handed to the kernel.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import type { Clock } from '../contract/index.ts'
import { type CallerListener, HeadTimeLimits, untilInputIsRead } from '../server/index.ts'
import type { Log } from '../observe/index.ts'
import type { CallerLimits } from '../routing/index.ts'
import { CallerConnections } from './callerConnections.ts'
import { HeadRefusals } from './headRefusals.ts'
import { type PlannedStop, signalDelayMilliseconds } from './plannedStop.ts'
import { cutResponse } from './responseFraming.ts'

/** Time until the load balancer, which checks once a second, has taken this VM out after two failed checks. */
const balancerRemovalMilliseconds = 2_400
/** The platform expects an answer to a request that was sent later than this after its signal, also if the stop ends meanwhile. */
const excusedRequestMilliseconds = 3_000
/** A request that arrives later than this after the stop began might be cut off by its end. */
const lateRequestMilliseconds = excusedRequestMilliseconds - signalDelayMilliseconds
/** Time before the end of a stop in which waiting requests are refused and the refusals are sent. */
const refusalMilliseconds = 300
const drainPollIntervalMilliseconds = 50
const nanosecondsPerMillisecond = 1_000_000

export interface GatewayServerOptions {
  readonly listener: CallerListener
  readonly plannedStop: PlannedStop
  readonly clock: Clock
  readonly log: Log
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>
  /** Refuses a request that arrives too late in a planned stop. */
  readonly refuseLate: (request: IncomingMessage, response: ServerResponse) => void
  readonly requestsInFlight: () => number
}

export class GatewayServer {
  readonly #options: GatewayServerOptions
  readonly #connections: CallerConnections
  readonly #headLimits: HeadTimeLimits
  readonly #headRefusals: HeadRefusals
  #drainingSince: number | undefined

  constructor (options: GatewayServerOptions) {
    this.#options = options
    this.#connections = new CallerConnections(options.listener, options.log)
    this.#headLimits = new HeadTimeLimits(options.listener)
    this.#headRefusals = new HeadRefusals(options.listener, this.#headLimits, options.log)
  }

  /** Whether a planned stop has begun. */
  get isDraining (): boolean {
    return this.#drainingSince !== undefined
  }

  /** Serves callers at `IP:port`; returns the bound address. */
  async listen (address: string): Promise<string> {
    const { listener, log } = this.#options
    listener.serveWith((request, response) => {
      this.#serve(request, response).catch(error => {
        log.error('request_failed', { reason: error instanceof Error ? error.stack : String(error) })
        cutResponse(response)
      })
    })
    return await listener.listen(address)
  }

  /** Applies the operator's time limits for callers. */
  applyLimits (limits: CallerLimits): void {
    this.#headLimits.apply(limits.headerTimeoutMilliseconds, limits.idleTimeoutMilliseconds)
  }

  /**
   * Stops the server: closes the listener once the load balancer has noticed, then waits for all answers.
   *
   * @param graceMilliseconds after which remaining connections are closed
   */
  async drain (graceMilliseconds: number): Promise<void> {
    const { clock, listener, plannedStop, requestsInFlight, log } = this.#options
    const eventLoopDelay = monitorEventLoopDelay()
    eventLoopDelay.enable()
    const startedAt = clock.now()
    this.#drainingSince = startedAt
    plannedStop.begin(startedAt + graceMilliseconds - refusalMilliseconds)
    listener.retireConnections()
    await clock.sleep(Math.max(0, Math.min(balancerRemovalMilliseconds, graceMilliseconds - refusalMilliseconds)))
    await untilInputIsRead(clock)
    this.#connections.stopListening()
    while (clock.now() - startedAt < graceMilliseconds) {
      this.#connections.closeIdle()
      if (requestsInFlight() === 0 && this.#connections.openResponseCount === 0) break
      plannedStop.endWaits()
      await clock.sleep(drainPollIntervalMilliseconds)
      await untilInputIsRead(clock)
    }
    const cut = requestsInFlight()
    if (cut > 0) plannedStop.cut()
    this.#connections.closeAll()
    eventLoopDelay.disable()
    log.info('drained', {
      milliseconds: Math.round(clock.now() - startedAt),
      cut,
      unsent: this.#connections.unsentCount,
      longestEventLoopDelay: Math.round(eventLoopDelay.max / nanosecondsPerMillisecond)
    })
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#headRefusals.isRefused(request.socket)) {
      request.resume()
      return
    }
    if (this.#drainingSince !== undefined) {
      const isLate = this.#options.clock.now() - this.#drainingSince > lateRequestMilliseconds
      if (isLate) return this.#options.refuseLate(request, response)
    }
    await this.#options.handle(request, response)
  }
}
