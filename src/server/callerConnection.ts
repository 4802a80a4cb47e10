/** One connection of a caller: what was read of it, and which of its responses are still open. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/**
 * @example
 * const connection = new CallerConnection(socket)
 * connection.add(request, response)
 * if (connection.isIdle) socket.destroy()
 */
export class CallerConnection {
  readonly socket: Socket
  readonly #openResponses = new Set<ServerResponse>()
  /** Bytes received up to the end of the latest whole request. */
  #wholeRequestBytes = 0

  constructor (socket: Socket) {
    this.socket = socket
  }

  /** Responses of which the kernel has not taken all bytes yet. Node.js counts a response as ended before. */
  get openResponseCount (): number {
    return this.#openResponses.size
  }

  /** Bytes that the kernel has not taken yet. */
  get unsentBytes (): number {
    return this.socket.destroyed ? 0 : this.socket.writableLength
  }

  /** Whether nothing is to be answered or sent, and no part of a further request has been read. */
  get isIdle (): boolean {
    return this.openResponseCount === 0 && this.unsentBytes === 0 && this.socket.bytesRead === this.#wholeRequestBytes
  }

  /** Adds a request that has arrived on the connection. */
  add (request: IncomingMessage, response: ServerResponse): void {
    this.#openResponses.add(response)
    const close = () => this.#openResponses.delete(response)
    response.once('finish', close)
    response.once('close', close)
    request.once('end', () => { this.#wholeRequestBytes = this.socket.bytesRead })
  }
}
