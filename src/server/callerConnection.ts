/** One connection of a caller: what was read of it, and which of its responses are still open. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** The response to the latest request. */
interface LastResponse {
  readonly response: ServerResponse
  /** Whether the caller wants to keep the connection after it. */
  readonly mayKeepAlive: boolean
}

/**
 * @example
 * const connection = new CallerConnection(socket)
 * connection.add(request, response)
 * if (connection.isIdle) socket.destroy()
 */
export class CallerConnection {
  readonly socket: Socket
  readonly #openResponses = new Set<ServerResponse>()
  #last: LastResponse | undefined
  #isRetiring = false
  /** Bytes received up to the end of the latest whole request. */
  #wholeRequestBytes = 0
  #headCount = 0

  constructor (socket: Socket) {
    this.socket = socket
  }

  /** Responses of which the kernel has not taken all bytes yet. Node.js counts a response as ended before. */
  get openResponseCount (): number {
    return this.#openResponses.size
  }

  /** Number of requests whose heads have arrived. */
  get headCount (): number {
    return this.#headCount
  }

  /** Whether a request that was read to its end has not been answered. */
  get isAnswering (): boolean {
    return this.#answering.length > 0
  }

  /** Whether a request is being read whose head has arrived. */
  get isReadingBody (): boolean {
    return this.#answering.length < this.#openResponses.size
  }

  /** Whether a response has been sent in part. */
  get hasBegunResponse (): boolean {
    return [...this.#openResponses].some(({ headersSent }) => headersSent)
  }

  /** Resolves when the requests that were read to their end so far are answered. */
  async untilAnswered (): Promise<void> {
    await Promise.all(this.#answering.map(response => new Promise(resolve => response.once('close', resolve))))
  }

  get #answering (): readonly ServerResponse[] {
    return [...this.#openResponses].filter(({ req }) => req.complete)
  }

  /** Bytes that the kernel has not taken yet. */
  get unsentBytes (): number {
    return this.socket.destroyed ? 0 : this.socket.writableLength
  }

  /** Whether nothing is to be answered or sent, and no part of a further request has been read. */
  get isIdle (): boolean {
    return this.openResponseCount === 0 && this.unsentBytes === 0 && this.socket.bytesRead === this.#wholeRequestBytes
  }

  /**
   * Adds a request that has arrived on the connection.
   *
   * @returns false if it can't be answered, since an earlier response has announced the end of the connection
   */
  add (request: IncomingMessage, response: ServerResponse): boolean {
    if (this.#hasAnnouncedEnd) return false
    this.#headCount++
    this.#openResponses.add(response)
    const close = () => this.#openResponses.delete(response)
    response.once('finish', close)
    response.once('close', close)
    request.once('end', () => { this.#wholeRequestBytes = this.socket.bytesRead })
    this.#moveEnd(response)
    return true
  }

  /** Announces the end of the connection in its last response, unless the head of that has been sent. */
  retire (): void {
    this.#isRetiring = true
    if (this.#last !== undefined) announceEnd(this.#last.response)
  }

  get #hasAnnouncedEnd (): boolean {
    const response = this.#last?.response
    return response !== undefined && response.headersSent && !response.shouldKeepAlive
  }

  /** A response that is not the last any more must not end the connection. */
  #moveEnd (response: ServerResponse): void {
    if (this.#isRetiring && this.#last !== undefined && !this.#last.response.headersSent) this.#last.response.shouldKeepAlive = this.#last.mayKeepAlive
    this.#last = { response, mayKeepAlive: response.shouldKeepAlive }
    if (this.#isRetiring) announceEnd(response)
  }
}

/** Node.js writes `connection: close` with the head, and closes the connection after the response. */
function announceEnd (response: ServerResponse): void {
  if (!response.headersSent) response.shouldKeepAlive = false
}
