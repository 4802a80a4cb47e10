/** HTTP server for the load balancer's readiness checks and for metrics. */
import { createServer, type Server } from 'node:http'
import Koa from 'koa'
import { ConnectionGuard, TrackedConnections, listenOn } from '../server/index.ts'

/** The load balancer and whoever reads metrics need few; a crowd must not keep them out. */
const maximumConnections = 128
const maximumHeadBytes = 4 * 1024 * 1024
const headTimeoutMilliseconds = 3_000

export interface OperationsServerOptions {
  readonly readyPath: string
  readonly isReady: () => boolean
  readonly metrics: { text (): Promise<string> }
}

/** Serves readiness and metrics; may listen on several addresses. */
export class OperationsServer {
  readonly #application = new Koa()
  readonly #servers: Server[] = []

  constructor ({ readyPath, isReady: ready, metrics }: OperationsServerOptions) {
    this.#application.use(async context => {
      if (context.path === readyPath) {
        const isReady = ready()
        context.status = isReady ? 200 : 503
        context.body = { ready: isReady }
        return
      }
      if (context.path === '/metrics') {
        context.type = 'text/plain; version=0.0.4'
        context.body = await metrics.text()
        return
      }
      context.status = 404
      context.body = { error: `known paths: ${readyPath}, /metrics` }
    })
  }

  /** Listens at `IP:port`; returns the bound address. */
  async listen (address: string): Promise<string> {
    const serve = this.#application.callback()
    const server = createServer({ headersTimeout: headTimeoutMilliseconds }, (request, response) => {
      connections.add(request, response)
      serve(request, response)
    })
    const connections = new TrackedConnections(server)
    const guard = new ConnectionGuard({ connections: () => connections.all, maximumConnections, maximumHeadBytes, onClose: () => undefined })
    server.on('connection', () => guard.admit())
    this.#servers.push(server)
    return await listenOn(server, address)
  }

  /** Closes all listeners and connections. */
  close (): void {
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }
}
