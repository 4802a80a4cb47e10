/**
 * The HTTP server that all stand-ins share. It tracks its open sockets, so that a fault can cut them,
 * leave them silent or stop the whole server for a while.
 */
import { createServer, type IncomingHttpHeaders, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** A running stand-in. */
export interface StandIn {
  /** The `IP:port` it listens on. */
  readonly address: string
  /** Stops at once and cuts all open connections. */
  close (): Promise<void>
}

/** A completely read request to a stand-in and the means to respond to it. */
export interface HttpExchange {
  readonly method: string
  /** The decoded segments of the path. */
  readonly path: readonly string[]
  readonly query: URLSearchParams
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  readonly response: ServerResponse
  readonly socket: Socket
  /** Whether a reply is discarded, as if it were lost in the network. */
  readonly isReplyDropped: boolean
}

/** Handles one request; if it throws, the client receives status 400. */
export type ExchangeHandler = (exchange: HttpExchange) => Promise<void>

const maximumBodyBytes = 64 * 1024 * 1024

/** A server that can be stopped and restarted on the same address. */
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

  get sockets (): ReadonlySet<Socket> {
    return this.#sockets
  }

  /** Starts to listen; port 0 selects a free port, which is kept over restarts. */
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

  /** Cuts all connections and refuses new ones for a while, like a process that crashes and is restarted. */
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

/** Sends a JSON response, unless the connection is closed or a response was already sent. */
export function replyJson (exchange: HttpExchange, status: number, value: unknown): void {
  replyBytes(exchange, status, 'application/json', Buffer.from(JSON.stringify(value)))
}

/** Sends a binary response, unless the connection is closed or a response was already sent. */
export function replyBytes (exchange: HttpExchange, status: number, contentType: string, body: Buffer): void {
  const { response } = exchange
  if (exchange.isReplyDropped || response.destroyed || response.headersSent) return
  response.writeHead(status, { 'content-type': contentType, 'content-length': body.length })
  response.end(body)
}

/** Parses the JSON body of a request; an empty body counts as an empty object. */
export function parseJsonBody (exchange: HttpExchange): unknown {
  return exchange.body.length === 0 ? {} : JSON.parse(exchange.body.toString('utf8'))
}

/** Waits in real time; a negative duration counts as 0. */
export function sleep (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, milliseconds)))
}
