/** HTTP server for operators and monitoring: health, metrics and daemon status. */
import { createServer, type Server } from 'node:http'
import Koa from 'koa'
import { listenOn } from '../server/index.ts'

export interface OperatorServerOptions {
  /** Renders metrics in Prometheus' text format. */
  readonly metrics: { text (): Promise<string> }
  /** Whether this daemon accepts callers; reported to load balancers. */
  readonly isReady: () => boolean
  /** Returns the daemon's state as a JSON document. */
  readonly status: () => unknown
}

/** Serves the health, metrics and status paths. */
export class OperatorServer {
  readonly #server: Server

  constructor (options: OperatorServerOptions) {
    const application = new Koa()
    application.use(async context => {
      switch (context.path) {
        case '/health/live':
          context.body = { live: true }
          return
        case '/health/ready':
          context.status = options.isReady() ? 200 : 503
          context.body = { ready: options.isReady() }
          return
        case '/metrics':
          context.type = 'text/plain; version=0.0.4'
          context.body = await options.metrics.text()
          return
        case '/status':
          context.body = options.status()
          return
        default:
          context.status = 404
          context.body = { error: 'known paths: /health/live, /health/ready, /metrics, /status' }
      }
    })
    this.#server = createServer(application.callback())
  }

  /**
   * Starts listening.
   *
   * @param address `IP:port`; port 0 selects a free port
   * @returns the bound `IP:port`
   */
  async listen (address: string): Promise<string> {
    return await listenOn(this.#server, address)
  }

  /** Stops listening and closes all connections. */
  async close (): Promise<void> {
    this.#server.closeAllConnections()
    await new Promise<void>(resolve => this.#server.close(() => resolve()))
  }
}
