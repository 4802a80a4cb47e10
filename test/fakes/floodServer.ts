/** A TCP server that answers each request with bytes that never end, or stop, until the caller closes the connection. */
import { type AddressInfo, createServer, type Socket } from 'node:net'

/** The head of a response and the block that follows it again and again. */
export interface Flood {
  readonly begin: (request: string) => string
  readonly block: string
  /** Bytes after which nothing more is sent, although the response is not whole; without end by default. */
  readonly maximumBytes?: number
}

const blockBytes = 16 * 1024

export class FloodServer {
  /** Bytes that connections took before they were closed. */
  sentBytes = 0
  /** Connections that have sent a request and are still open. */
  openConnections = 0
  /** Requests that have arrived. */
  requests = 0
  readonly #server = createServer(socket => this.#serve(socket))
  readonly #sockets = new Set<Socket>()
  readonly #flood: Flood

  constructor (flood: Flood) {
    this.#flood = flood
  }

  async listen (): Promise<string> {
    await new Promise<void>(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  async close (): Promise<void> {
    for (const socket of this.#sockets) socket.destroy()
    await new Promise<void>(resolve => this.#server.close(() => resolve()))
  }

  #serve (socket: Socket): void {
    this.#sockets.add(socket)
    let request = ''
    let isFlooding = false
    socket.on('error', () => socket.destroy())
    socket.on('close', () => {
      this.#sockets.delete(socket)
      if (isFlooding) this.openConnections--
    })
    socket.on('data', bytes => {
      request += bytes.toString('latin1')
      if (isFlooding || !request.includes('\r\n\r\n')) return
      isFlooding = true
      this.requests++
      this.openConnections++
      this.#write(socket, this.#flood.begin(request), this.#flood.maximumBytes ?? Number.POSITIVE_INFINITY)
    })
  }

  #write (socket: Socket, text: string, bytesLeft: number): void {
    const block = this.#flood.block.repeat(Math.ceil(blockBytes / this.#flood.block.length))
    if (socket.destroyed || text.length > bytesLeft) return
    this.sentBytes += text.length
    socket.write(text, () => setImmediate(() => this.#write(socket, block, bytesLeft - text.length)))
  }
}

/** The value of a header in the text of a request. */
export function headerIn (request: string, name: string): string {
  return new RegExp(`^${name}: *(.*)\\r$`, 'im').exec(request)?.[1] ?? ''
}
