/** The server that operators and their tools reach: health, metrics and this daemon's status. */
import { createServer, type Server } from 'node:http'
import Koa from 'koa'
import { listenOn } from '../server/index.ts'

/** What the server shows. */
export interface OperatorServerOptions {
  /** Metrics in Prometheus' text format. */
  readonly metrics: { text (): Promise<string> }
  /** Whether callers may be sent here. */
  readonly isReady: () => boolean
  /** A JSON document of this daemon's state. */
  readonly status: () => unknown
}

/** Serves operators. */
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
   * Listens.
   *
   * @param address `IP:port`; port 0 takes a free one
   * @returns the `IP:port` that is listened on
   */
  async listen (address: string): Promise<string> {
    return await listenOn(this.#server, address)
  }

  /** Stops serving. */
  async close (): Promise<void> {
    this.#server.closeAllConnections()
    await new Promise<void>(resolve => this.#server.close(() => resolve()))
  }
}
