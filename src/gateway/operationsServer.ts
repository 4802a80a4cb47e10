/** Readiness for the balancer and metrics for operators. */
import { createServer, type Server } from 'node:http'
import Koa from 'koa'
import { listenOn } from '../server/index.ts'

/** What the server shows. */
export interface OperationsServerOptions {
  readonly readyPath: string
  readonly isReady: () => boolean
  readonly metrics: { text (): Promise<string> }
}

/** Serves the balancer and operators; it may listen at several addresses. */
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

  /** Listens at `IP:port`; returns the address that is listened on. */
  async listen (address: string): Promise<string> {
    const server = createServer(this.#application.callback())
    this.#servers.push(server)
    return await listenOn(server, address)
  }

  /** Stops serving. */
  close (): void {
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }
}
