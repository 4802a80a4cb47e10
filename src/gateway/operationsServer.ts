/** HTTP server for the load balancer's readiness checks and for metrics. */
import { createServer, type Server } from 'node:http'
import Koa from 'koa'
import { listenOn } from '../server/index.ts'

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
    const server = createServer(this.#application.callback())
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
