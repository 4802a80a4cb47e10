/**
 * The HTTP listener for callers. It may listen before the program that serves its requests has been
 * loaded: callers then connect and wait, where they would otherwise be refused and try elsewhere.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerConnection } from './callerConnection.ts'
import { CloseCause } from './closeCause.ts'
import { ConnectionGuard, type ConnectionGuardOptions } from './connectionGuard.ts'
import { refuseConnect } from './connectRefusal.ts'
import { allowHalfOpen } from './halfClose.ts'
import { discardsInput } from './discardInput.ts'
import { IncomingBody } from './incomingBody.ts'
import { listenOn } from './listenOn.ts'
import { TrackedConnections } from './trackedConnections.ts'

/** Limit of the HTTP parser for request headers; the operator's limit is enforced by forwarding. */
const parserMaximumHeaderBytes = 64 * 1024
const parserHeadFactor = 2
const connectionCheckIntervalMilliseconds = 1_000
/** Node.js drops the fields of a head beyond a number of them; the size of heads is limited instead. */
const unlimitedFields = 0

export type ConnectionLimits = Omit<ConnectionGuardOptions, 'connections'>

/** Serves one request. */
export type RequestListener = (request: IncomingMessage, response: ServerResponse) => void

/**
 * @example
 * const listener = new CallerListener()
 * await listener.listen('127.0.0.1:8000')
 * listener.serveWith((request, response) => forwarding.handle(request, response))
 */
export class CallerListener {
  readonly server: Server
  readonly #connections: TrackedConnections
  #isRetiring = false
  #guard: ConnectionGuard | undefined
  #onClose: (cause: CloseCause) => void = () => undefined
  /** Start the work on requests that arrived before there was a program to serve them. */
  readonly #waiting: (() => void)[] = []
  #serve: RequestListener | undefined

  constructor () {
    this.server = createServer({ maxHeaderSize: parserMaximumHeaderBytes, connectionsCheckingInterval: connectionCheckIntervalMilliseconds, requireHostHeader: false }, (request, response) => this.#receive(request, response))
    this.server.maxHeadersCount = unlimitedFields
    allowHalfOpen(this.server)
    this.#connections = new TrackedConnections(this.server)
    refuseConnect(this.server, socket => this.connectionOf(socket))
    // An expectation that is not known is ignored, as RFC 9110 (10.1.1) allows.
    this.server.on('checkExpectation', (request, response) => this.#receive(request, response))
    this.server.on('connection', socket => {
      if (this.#isRetiring) this.#connections.of(socket)?.retire()
      this.#guard?.admit()
    })
  }

  /** From now on, connections give way to others within limits. */
  guardConnections ({ maximumConnections, maximumHeadBytes, onClose }: ConnectionLimits): void {
    this.#onClose = onClose
    this.#guard = new ConnectionGuard({ connections: () => this.connections, maximumConnections, maximumHeadBytes, onClose })
  }

  /**
   * Lets new connections send heads up to a size. The parser refuses larger ones while they arrive; what is a little
   * larger is read, so that it can be refused with its reason.
   */
  limitHeads (maximumBytes: number): void {
    const limits = this.server as { maxHeaderSize?: number }
    limits.maxHeaderSize = Math.min(parserMaximumHeaderBytes, maximumBytes * parserHeadFactor)
  }

  /** Open connections. */
  get connections (): readonly CallerConnection[] {
    return this.#connections.all
  }

  /** The open connection of a socket. */
  connectionOf (socket: Socket): CallerConnection | undefined {
    return this.#connections.of(socket)
  }

  /** Responses of open connections of which the kernel has not taken all bytes yet. */
  get openResponseCount (): number {
    return this.connections.reduce((sum, { openResponseCount }) => sum + openResponseCount, 0)
  }

  /** Listens at `IP:port`, unless it does already; returns the bound address. */
  async listen (address: string): Promise<string> {
    return this.server.listening ? address : await listenOn(this.server, address)
  }

  /** Serves the requests that are waiting and all further ones. */
  serveWith (serve: RequestListener): void {
    this.#serve = serve
    for (const start of this.#waiting.splice(0)) start()
  }

  /** Accepts no further connections; open ones stay. */
  stopListening (): void {
    this.#connections.stopListening()
  }

  /** From now on, the last response on each connection asks its caller to close it. */
  retireConnections (): void {
    this.#isRetiring = true
    for (const connection of this.connections) connection.retire()
  }

  /** Node.js keeps a request that was read until its turn comes, which it never does; its head is not needed any more. */
  #drop (request: IncomingMessage): void {
    request.rawHeaders.length = 0
    if (!discardsInput(request.socket)) request.resume()
  }

  /** A request that can't be answered is not served: HTTP lets a caller expect nothing after `connection: close`. */
  #receive (request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.of(request.socket)
    const wasEnding: boolean = connection?.endsAfterAnswers ?? true
    if (!this.#connections.add(request, response)) {
      if (!wasEnding && connection?.endsAfterAnswers === true) this.#onClose(CloseCause.RequestsAhead)
      this.#drop(request)
      return
    }
    IncomingBody.of(request)
    const start = () => this.#start(request, response)
    if (connection === undefined) start()
    else connection.start(response, start)
  }

  #start (request: IncomingMessage, response: ServerResponse): void {
    if (this.#serve === undefined) this.#waiting.push(() => this.#serve?.(request, response))
    else this.#serve(request, response)
  }
}
