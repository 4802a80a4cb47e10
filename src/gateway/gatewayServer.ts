/** HTTP server for callers. During a planned stop it drains. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { untilInputIsRead } from '../contract/index.ts'
import type { CallerLimits } from '../routing/index.ts'
import { CloseCause, HeadTimeLimits, type ResponseTurn, immediateTurn } from '../server/index.ts'
import { Drain, type DrainOptions } from './drain.ts'
import { HeadRefusals } from './headRefusals.ts'
import { breakOffResponse } from './responseFraming.ts'

export interface GatewayServerOptions extends DrainOptions {
  /** Forwards a request; it is passed on when its turn comes. */
  readonly handle: (request: IncomingMessage, response: ServerResponse, turn: ResponseTurn) => Promise<void>
  /** Refuses a request that arrives too late in a planned stop. */
  readonly refuseLate: (request: IncomingMessage, response: ServerResponse) => void
}

export class GatewayServer {
  readonly #options: GatewayServerOptions
  readonly #drain: Drain
  readonly #headLimits: HeadTimeLimits

  constructor (options: GatewayServerOptions) {
    this.#options = options
    this.#drain = new Drain(options)
    this.#headLimits = new HeadTimeLimits(options.listener)
    new HeadRefusals(options.listener, this.#headLimits, options.log).begin()
  }

  /** Whether a planned stop has begun. */
  get isDraining (): boolean {
    return this.#drain.hasBegun
  }

  /** Serves callers at `IP:port`; returns the bound address. */
  async listen (address: string): Promise<string> {
    const { listener, log } = this.#options
    listener.serveWith((request, response) => {
      this.#serve(request, response).catch(error => {
        log.error('request_failed', { reason: error instanceof Error ? error.stack : String(error) })
        breakOffResponse(response, CloseCause.Failure)
      })
    })
    return await listener.listen(address)
  }

  /** Applies the operator's time limits for callers. */
  applyLimits (limits: CallerLimits): void {
    this.#headLimits.apply(limits.headerTimeoutMilliseconds, limits.idleTimeoutMilliseconds)
    this.#options.listener.limitHeads(limits.maximumHeaderBytes)
  }

  /**
   * Stops the server: closes the listener once the load balancer has noticed, then waits for all answers.
   *
   * @param graceMilliseconds after which remaining connections are closed
   */
  async drain (graceMilliseconds: number): Promise<void> {
    await this.#drain.run(graceMilliseconds)
  }

  /** A busy process may read a request long after its caller has left; what ended the connection is read first. */
  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, handle, listener, refuseLate } = this.#options
    await untilInputIsRead(clock)
    if (this.#drain.isTooLate) return refuseLate(request, response)
    await handle(request, response, listener.connectionOf(request.socket)?.turnOf(response) ?? immediateTurn)
  }
}
