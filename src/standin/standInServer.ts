/**
 * The frame that all stand-ins share: a small HTTP server that keeps its open sockets, so that a
 * fault can cut them, hold them silent, or take the whole server away for a while.
 */
import { createServer, type IncomingHttpHeaders, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** A running stand-in. */
export interface StandIn {
  /** `IP:port` it listens on. */
  readonly address: string
  /** Stops it at once: open connections are cut. */
  close (): Promise<void>
}

/** One request to a stand-in, read whole, and the way to answer it. */
export interface HttpExchange {
  readonly method: string
  /** The decoded segments of the path. */
  readonly path: readonly string[]
  readonly query: URLSearchParams
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  readonly response: ServerResponse
  readonly socket: Socket
  /** Its replies are lost on their way. */
  readonly isReplyDropped: boolean
}

/** Answers a visit. */
export type ExchangeHandler = (exchange: HttpExchange) => Promise<void>

const maximumBodyBytes = 64 * 1024 * 1024

/** A server that can be taken away and brought back on the same address. */
export class StandInServer implements StandIn {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #address = ''
  #isClosed = false

  constructor (handler: ExchangeHandler) {
    this.#server = createServer((request, response) => {
      const chunks: Buffer[] = []
      let size = 0
      request.on('data', (chunk: Buffer) => {
        size += chunk.length
        if (size > maximumBodyBytes) request.socket.destroy()
        else chunks.push(chunk)
      })
      request.on('end', () => {
        const url = new URL(request.url ?? '/', 'http://stand-in')
        const path = url.pathname.split('/').filter(segment => segment !== '').map(decodeURIComponent)
        const requestId = request.headers['x-request-id']
        if (requestId !== undefined) response.setHeader('x-request-id', requestId)
        const exchange = { method: request.method ?? 'GET', path, query: url.searchParams, headers: request.headers, body: Buffer.concat(chunks), response, socket: request.socket, isReplyDropped: false }
        handler(exchange).catch(() => replyJson(exchange, 400, { error: 'malformed request' }))
      })
    })
    this.#server.on('connection', socket => this.#trackSocket(socket))
  }

  get address (): string {
    return this.#address
  }

  /** The sockets that are open now. */
  get sockets (): ReadonlySet<Socket> {
    return this.#sockets
  }

  /** Listens; port 0 takes a free one, which later calls keep. */
  async listen (address: string): Promise<void> {
    const colon = address.lastIndexOf(':')
    const host = address.slice(0, colon)
    const port = Number(address.slice(colon + 1))
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, resolve)
    })
    const bound = this.#server.address() as AddressInfo
    this.#address = `${bound.address}:${bound.port}`
  }

  /** Refuses connections and cuts the open ones for a while, as a process that dies and is started again. */
  async restartAfter (milliseconds: number): Promise<void> {
    await this.#stopListening()
    await sleep(milliseconds)
    if (!this.#isClosed) await this.listen(this.#address)
  }

  async close (): Promise<void> {
    this.#isClosed = true
    await this.#stopListening()
  }

  async #stopListening (): Promise<void> {
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    for (const socket of this.#sockets) socket.destroy()
    await closed
  }

  #trackSocket (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.once('close', () => this.#sockets.delete(socket))
  }
}

/** Answers a visit with a JSON body, unless its connection is gone. */
export function replyJson (exchange: HttpExchange, status: number, value: unknown): void {
  replyBytes(exchange, status, 'application/json', Buffer.from(JSON.stringify(value)))
}

/** Answers a visit with bytes, unless its connection is gone. */
export function replyBytes (exchange: HttpExchange, status: number, contentType: string, body: Buffer): void {
  const { response } = exchange
  if (exchange.isReplyDropped || response.destroyed || response.headersSent) return
  response.writeHead(status, { 'content-type': contentType, 'content-length': body.length })
  response.end(body)
}

/** Reads a visit's JSON body; an empty one is an empty object. */
export function parseJsonBody (exchange: HttpExchange): unknown {
  return exchange.body.length === 0 ? {} : JSON.parse(exchange.body.toString('utf8'))
}

/** Waits on the machine's clock. */
export function sleep (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, milliseconds)))
}
