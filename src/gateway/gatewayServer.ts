/** HTTP server for callers. During a planned stop it drains. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerLimits } from '../routing/index.ts'
import { untilInputIsRead } from '../server/index.ts'
import { Drain, type DrainOptions } from './drain.ts'
import { cutResponse } from './responseFraming.ts'

export interface GatewayServerOptions extends DrainOptions {
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>
  /** Refuses a request that arrives too late in a planned stop. */
  readonly refuseLate: (request: IncomingMessage, response: ServerResponse) => void
}

export class GatewayServer {
  readonly #options: GatewayServerOptions
  readonly #drain: Drain

  constructor (options: GatewayServerOptions) {
    this.#options = options
    this.#drain = new Drain(options)
    options.listener.server.on('clientError', (error: Error & { readonly code?: string }, socket) => this.#refuseMalformed(error, socket as Socket))
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
        cutResponse(response)
      })
    })
    return await listener.listen(address)
  }

  /** Applies the operator's time limits for callers. */
  applyLimits (limits: CallerLimits): void {
    const { server } = this.#options.listener
    server.headersTimeout = limits.headerTimeoutMilliseconds
    server.keepAliveTimeout = limits.idleTimeoutMilliseconds
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
    await untilInputIsRead(this.#options.clock)
    if (this.#drain.isTooLate) return this.#options.refuseLate(request, response)
    await this.#options.handle(request, response)
  }

  #refuseMalformed (error: Error & { readonly code?: string }, socket: Socket): void {
    this.#options.log.info('request_malformed', { reason: error.code ?? error.message, caller: `${socket.remoteAddress}:${socket.remotePort}`, sentBytes: socket.bytesWritten })
    if (!socket.writable || socket.bytesWritten > 0) {
      socket.destroy()
      return
    }
    const status = statusLines[error.code ?? ''] ?? '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`)
  }
}

const statusLines: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}
