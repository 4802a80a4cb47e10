/** One connection of a caller: what was read of it, and which of its responses are still open. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { recordCallerLeft } from './closeCause.ts'
import { discardInput, discardsInput } from './discardInput.ts'
import { markFollowed } from './followedResponse.ts'
import { LingeringClose } from './lingeringClose.ts'
import type { ParsedSocket } from './parsedSocket.ts'
import { ResponseQueue } from './responseQueue.ts'
import type { ResponseTurn } from './responseTurn.ts'

/** Requests that a caller may send ahead of their answers. */
const maximumOpenResponses = 64

/** Numbers of requests that have no complete answer. */
export interface UnfinishedRequests {
  /** Those whose body is arriving. */
  readonly arriving: number
  /** Those that were read to their end and whose turn had come. */
  readonly unanswered: number
  /** Those whose answer has been sent in part. */
  readonly begun: number
  /** Those that waited for the answers ahead of them, and were not passed on. */
  readonly waiting: number
}

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
  readonly #lingeringClose: LingeringClose
  readonly #openResponses = new ResponseQueue()
  #last: LastResponse | undefined
  #isRetiring = false
  #takesRequests = true
  #endsAfterAnswers = false
  /** Bytes received up to the end of the latest whole request. */
  #wholeRequestBytes = 0
  #headCount = 0
  #lastActiveAt = performance.now()

  constructor (socket: Socket) {
    this.socket = socket
    this.#lingeringClose = new LingeringClose(socket)
    // Node.js calls it after an answer that announced the end of its connection.
    socket.destroySoon = () => this.#end()
    socket.once('end', () => {
      recordCallerLeft(socket)
      this.retire()
    })
    socket.once('error', () => recordCallerLeft(socket))
    socket.once('close', () => this.#closeQueued())
  }

  /** Responses of which the kernel has not taken all bytes yet. Node.js counts a response as ended before. */
  get openResponseCount (): number {
    return this.#openResponses.size
  }

  /** Number of requests whose heads have arrived. */
  get headCount (): number {
    return this.#headCount
  }

  /** When the connection was opened, or a request was last read or answered on it, in milliseconds of the process. */
  get lastActiveAt (): number {
    return this.#lastActiveAt
  }

  /** Bytes of a head that has not arrived completely. */
  get unfinishedHeadBytes (): number {
    return this.isReadingBody || discardsInput(this.socket) ? 0 : this.socket.bytesRead - this.#wholeRequestBytes
  }

  /** Whether the caller has sent as many requests ahead of their answers as it may. */
  get hasManyRequests (): boolean {
    return this.#openResponses.size >= maximumOpenResponses
  }

  /** Whether the connection ends when the requests that it has taken are answered. */
  get endsAfterAnswers (): boolean {
    return this.#endsAfterAnswers
  }

  /** Whether a request that was read to its end has not been answered. */
  get isAnswering (): boolean {
    return this.#answering.length > 0
  }

  /** Whether a request is being read whose head has arrived. */
  get isReadingBody (): boolean {
    return this.#answering.length < this.#openResponses.size
  }

  /** The response whose turn it is to be sent. */
  get leavingResponse (): ServerResponse | undefined {
    return this.#openResponses.all.find(({ socket }) => socket !== null)
  }

  /** Whether a response has been sent in part. */
  get hasBegunResponse (): boolean {
    return this.#openResponses.all.some(({ headersSent }) => headersSent)
  }

  /** The requests that have no complete answer, by their state. */
  get unfinishedRequests (): UnfinishedRequests {
    const { all } = this.#openResponses
    const [first] = all
    const begun = first?.headersSent === true ? 1 : 0
    const arriving = all.filter(({ req }, index) => !req.complete && index >= begun).length
    const unanswered = begun === 0 && first?.req.complete === true ? 1 : 0
    return { arriving, unanswered, begun, waiting: all.length - arriving - unanswered - begun }
  }

  /** Resolves when the requests that were read to their end so far are answered. */
  async untilAnswered (): Promise<void> {
    await Promise.all(this.#answering.map(response => new Promise(resolve => response.once('close', resolve))))
  }

  get #answering (): readonly ServerResponse[] {
    return this.#openResponses.all.filter(({ req }) => req.complete)
  }

  /** Whether its end was announced, and its caller has yet to close its side. */
  get isClosing (): boolean {
    return this.#lingeringClose.isPending
  }

  /** Bytes that the kernel has not taken yet. */
  get unsentBytes (): number {
    return this.socket.destroyed ? 0 : this.socket.writableLength
  }

  /** Whether nothing is to be answered or sent, and no part of a further request has been read. */
  get isIdle (): boolean {
    return !this.isClosing && this.openResponseCount === 0 && this.unsentBytes === 0 && this.socket.bytesRead === this.#wholeRequestBytes && !this.#hasBegunHead
  }

  /** Bytes alone don't show a head whose first part came in one packet with the request before. */
  get #hasBegunHead (): boolean {
    const { parser } = this.socket as ParsedSocket
    return this.#headCount > 0 && (parser?.duration?.() ?? 0) > 0
  }

  /**
   * Adds a request that has arrived on the connection.
   *
   * @returns false if it can't be answered, since an earlier response has announced the end of the connection or a head was refused
   */
  add (request: IncomingMessage, response: ServerResponse): boolean {
    if (!this.#takesRequests || this.#hasAnnouncedEnd || this.socket.destroyed) return false
    if (this.hasManyRequests) {
      this.endAfterAnswers()
      return false
    }
    this.#headCount++
    this.#lastActiveAt = performance.now()
    this.#openResponses.add(response)
    const close = () => {
      this.#openResponses.remove(response)
      this.#lastActiveAt = performance.now()
      if (this.#endsAfterAnswers && this.openResponseCount === 0) this.#end()
    }
    response.once('finish', close)
    response.once('close', close)
    request.once('end', () => { this.#wholeRequestBytes = this.socket.bytesRead })
    this.#moveEnd(response)
    return true
  }

  /** Starts the work on a request that was added, once few others of this connection are worked on. */
  start (response: ServerResponse, start: () => void): void {
    this.#openResponses.start(response, start)
  }

  /** The turn of a request that was added. */
  turnOf (response: ServerResponse): ResponseTurn {
    return this.#openResponses.turnOf(response)
  }

  /** Takes no further requests; those that were added are served. */
  stopRequests (): void {
    this.#takesRequests = false
  }

  /** Takes no further requests, discards what arrives, and ends the connection when those that were added are answered. */
  endAfterAnswers (): void {
    if (this.#endsAfterAnswers) return
    this.#endsAfterAnswers = true
    this.stopRequests()
    this.retire()
    discardInput(this.socket)
  }

  /** Announces the end of the connection in its last response, unless the head of that has been sent. */
  retire (): void {
    this.#isRetiring = true
    if (this.#last !== undefined) announceEnd(this.#last.response)
  }

  /** Ends the connection behind its first response, which may have been broken off. */
  #end (): void {
    const [first] = this.#openResponses.all
    const isBrokenOff = first !== undefined && !first.writableEnded
    this.stopRequests()
    this.#openResponses.close()
    if (isBrokenOff) this.#lingeringClose.beginBrokenOff()
    else this.#lingeringClose.begin()
  }

  /** Node.js tells only the response whose turn it is that its connection has closed. */
  #closeQueued (): void {
    this.#openResponses.close()
    for (const response of this.#openResponses.all) {
      if (response.socket !== null) continue
      response.destroy()
      response.emit('close')
    }
  }

  get #hasAnnouncedEnd (): boolean {
    const response = this.#last?.response
    return response !== undefined && response.headersSent && !response.shouldKeepAlive
  }

  /** A response that is not the last any more must not end the connection. */
  #moveEnd (response: ServerResponse): void {
    if (this.#last !== undefined) markFollowed(this.#last.response)
    if (this.#isRetiring && this.#last !== undefined && !this.#last.response.headersSent) this.#last.response.shouldKeepAlive = this.#last.mayKeepAlive
    this.#last = { response, mayKeepAlive: response.shouldKeepAlive }
    if (this.#isRetiring) announceEnd(response)
  }
}

/** Node.js writes `connection: close` with the head, and closes the connection after the response. */
function announceEnd (response: ServerResponse): void {
  if (!response.headersSent) response.shouldKeepAlive = false
}
