/**
 * Links over TCP. A daemon sends requests over connections that it opened and handles requests over those
 * that it accepted. Two daemons that send each other requests have two connections, so no rule is needed
 * for which one to keep. A connection is opened at its first use and reused; after it closes, the next
 * request opens a new one.
 */
import { connect as connectPlain, createServer, isIP, type Server, type Socket } from 'node:net'
import { connect as connectSecure, createServer as createSecureServer, type Server as SecureServer } from 'node:tls'
import { type Clock, Err, InvariantViolation, Ok, type Result, retryIfHeldUp, sleepAfterInput, withReplyTimeout } from '../contract/index.ts'
import { type LinkCertificateFiles, type LinkCertificates, readCertificates, readCertificatesIfChanged } from './certificates.ts'
import { Connection } from './connection.ts'
import { type Link, LinkFailure, type LinkIdentity, type MessageType, type Peer } from './contract.ts'
import { encodeFrame, maximumHandshakeFrameBytes, maximumFrameBytes, readFrames } from './frames.ts'
import { acceptHandshake, dialHandshake, type FrameChannel } from './handshake.ts'

const tickIntervalMilliseconds = 500
const handshakeTimeoutMilliseconds = 2_000
/** A request over a connection that was opened for it waits for its reply for at least this share of its timeout. */
const minimumReplyShare = 0.5
const certificateCheckIntervalMilliseconds = 5_000
const maximumPort = 65_535
const drainTimeoutMilliseconds = 5_000
const drainPollIntervalMilliseconds = 20

export interface TcpLinkOptions {
  readonly identity: LinkIdentity
  /** Shared by all daemons; knowledge of it proves membership. */
  readonly secret: string
  readonly clock: Clock
  /** Certificate and key files. Without them the link is neither encrypted nor protected against tampering. */
  readonly tls?: LinkCertificateFiles
  /** Called when the handler of a message has thrown; the message is refused. */
  readonly onHandlerFailure?: (type: string, reason: string) => void
}

/** Bytes transferred over all connections of a link, without TCP and IP headers. */
export interface LinkTraffic {
  readonly bytesIn: number
  readonly bytesOut: number
}

type MessageHandler = (body: unknown, from: LinkIdentity) => Promise<Result<unknown, LinkFailure>>
type Handshake = typeof dialHandshake

/**
 * The links of one daemon.
 *
 * @example
 * const link = new TcpLink({ identity, secret, clock })
 * await link.listen('127.0.0.1:7000')
 */
export class TcpLink implements Link {
  readonly self: LinkIdentity
  readonly #secret: string
  readonly #clock: Clock
  readonly #certificateFiles: LinkCertificateFiles | undefined
  readonly #onHandlerFailure: (type: string, reason: string) => void
  readonly #handlers = new Map<string, MessageHandler>()
  readonly #dials = new Map<string, Promise<Result<Connection, LinkFailure>>>()
  /** Connections ready for requests, by address. */
  readonly #readyConnections = new Map<string, Connection>()
  readonly #connections = new Set<Connection>()
  readonly #sockets = new Set<Socket>()
  readonly #stopping = new AbortController()
  #certificates: LinkCertificates | undefined
  #server: Server | SecureServer | undefined
  #closedBytesIn = 0
  #closedBytesOut = 0

  constructor ({ identity, secret, clock, tls, onHandlerFailure = () => undefined }: TcpLinkOptions) {
    this.self = identity
    this.#secret = secret
    this.#clock = clock
    this.#certificateFiles = tls
    this.#onHandlerFailure = onHandlerFailure
  }

  /** Bytes transferred since the start. */
  get traffic (): LinkTraffic {
    const sockets = [...this.#sockets]
    return {
      bytesIn: sockets.reduce((sum, socket) => sum + socket.bytesRead, this.#closedBytesIn),
      bytesOut: sockets.reduce((sum, socket) => sum + socket.bytesWritten, this.#closedBytesOut)
    }
  }

  /**
   * Starts to accept connections.
   *
   * @param address `IP:port`; port 0 selects any free port
   * @returns the address that the link listens on, or why it can't listen
   * @example
   * const address = await link.listen('10.0.0.7:7000')
   */
  async listen (address: string): Promise<Result<string, LinkFailure>> {
    if (this.#certificateFiles !== undefined) {
      const certificates = await readCertificates(this.#certificateFiles)
      if (certificates.err) return certificates
      this.#certificates = certificates.val
    }
    const server = this.#createServer()
    const bound = await bind(server, address)
    if (bound.err) return bound
    this.#server = server
    this.#runTicks()
    if (this.#certificateFiles !== undefined) this.#watchCertificates(this.#certificateFiles)
    return bound
  }

  /** Stops accepting requests, waits for active ones to finish up to a timeout, then closes all connections. */
  async close (): Promise<void> {
    this.#stopping.abort()
    this.#server?.close()
    const deadline = this.#clock.now() + drainTimeoutMilliseconds
    while (this.#isHandlingRequests() && this.#clock.now() < deadline) await this.#clock.sleep(drainPollIntervalMilliseconds)
    await Promise.all([...this.#connections].map(connection => connection.end()))
    for (const socket of this.#sockets) socket.destroy()
  }

  async connect (peer: Peer, timeoutMilliseconds: number): Promise<void> {
    const isReady = this.#readyConnectionTo(peer) !== undefined || this.#stopping.signal.aborted
    if (!isReady) await this.#openTo(peer, timeoutMilliseconds)
  }

  async request<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>> {
    if (this.#stopping.signal.aborted) return Err(new LinkFailure('the link is closing', false))
    const ready = this.#readyConnectionTo(peer)
    if (ready !== undefined) return ready.request(type, body, timeoutMilliseconds)
    const startedAt = this.#clock.now()
    const connection = await this.#openTo(peer, timeoutMilliseconds)
    if (connection.err) return connection
    const remaining = timeoutMilliseconds - (this.#clock.now() - startedAt)
    return connection.val.request(type, body, Math.max(remaining, timeoutMilliseconds * minimumReplyShare))
  }

  #readyConnectionTo (peer: Peer): Connection | undefined {
    const ready = this.#readyConnections.get(peer.address)
    return ready?.acceptsRequests && isPeer(ready, peer) ? ready : undefined
  }

  async #openTo (peer: Peer, timeoutMilliseconds: number): Promise<Result<Connection, LinkFailure>> {
    // A peer ends a handshake in which this process was held up for long.
    const connection = await retryIfHeldUp(this.#clock, () => this.#withTimeout(this.#connectionTo(peer), timeoutMilliseconds), ({ ok }) => ok)
    if (connection.ok) this.#readyConnections.set(peer.address, connection.val)
    return connection
  }

  handle<Body, Reply> (type: MessageType<Body, Reply>, handler: (body: Body, from: LinkIdentity) => Promise<Reply>): void {
    this.#handlers.set(type.name, async (body, from) => {
      const checked = type.body.safeParse(body)
      if (!checked.success) return Err(new LinkFailure(`the body of ${type.name} is malformed`, false))
      return Ok(await handler(checked.data, from))
    })
  }

  #createServer (): Server | SecureServer {
    const certificates = this.#certificates
    if (certificates === undefined) return createServer({ noDelay: true }, socket => this.#accept(socket))
    return createSecureServer({ ...certificates, requestCert: true, rejectUnauthorized: true }, socket => this.#accept(socket))
  }

  async #accept (socket: Socket): Promise<void> {
    const opened = await this.#open(socket, acceptHandshake)
    if (opened.ok) this.#connections.add(opened.val)
  }

  async #connectionTo (peer: Peer): Promise<Result<Connection, LinkFailure>> {
    const known = this.#dials.get(peer.address)
    const connection = await known
    if (connection?.ok && connection.val.acceptsRequests && isPeer(connection.val, peer)) return connection
    if (this.#dials.get(peer.address) === known) this.#dials.set(peer.address, this.#dial(peer))
    const dialled = await (this.#dials.get(peer.address) ?? this.#dial(peer))
    if (dialled.err || isPeer(dialled.val, peer)) return dialled
    return Err(new LinkFailure(`${dialled.val.peer.name} answers at the address of ${peer.name}`, false))
  }

  async #dial (peer: Peer): Promise<Result<Connection, LinkFailure>> {
    const socket = this.#connect(peer.address)
    if (socket.err) return socket
    const opened = await this.#open(socket.val, dialHandshake)
    if (opened.ok) this.#connections.add(opened.val)
    return opened
  }

  #connect (address: string): Result<Socket, LinkFailure> {
    const { host, port } = splitAddress(address)
    if (isIP(host) === 0 || !(port > 0 && port <= maximumPort)) return Err(new LinkFailure(`${JSON.stringify(address)} is not an IP address and port`, false))
    const certificates = this.#certificates
    if (certificates === undefined) return Ok(connectPlain({ host, port, noDelay: true }))
    // The certificate's authority proves membership. Daemons are reached by IP address, which certificates need not name.
    return Ok(connectSecure({ ...certificates, host, port, checkServerIdentity: () => undefined }).setNoDelay(true))
  }

  async #open (socket: Socket, handshake: Handshake): Promise<Result<Connection, LinkFailure>> {
    this.#track(socket)
    const limit = { maximumBytes: maximumHandshakeFrameBytes }
    const frames = readFrames(socket, limit)
    const channel: FrameChannel = {
      receive: async () => (await frames.next()).value ?? undefined,
      send: frame => socket.write(encodeFrame(frame).unwrap())
    }
    const peer = await this.#withTimeout(handshake(channel, this.self, this.#secret), handshakeTimeoutMilliseconds)
    if (peer.err) {
      socket.destroy()
      return peer
    }
    limit.maximumBytes = maximumFrameBytes
    const connection = new Connection({ socket, peer: peer.val, clock: this.#clock, handler: (type, body, from) => this.#dispatch(type, body, from) })
    connection.run(frames).finally(() => this.#removeConnection(connection))
    return Ok(connection)
  }

  #removeConnection (connection: Connection): void {
    this.#connections.delete(connection)
    for (const [address, ready] of this.#readyConnections) {
      if (ready === connection) this.#readyConnections.delete(address)
    }
  }

  #track (socket: Socket): void {
    this.#sockets.add(socket)
    // The frame reader treats the error as the end of the stream.
    socket.on('error', () => undefined)
    socket.on('close', () => {
      this.#sockets.delete(socket)
      this.#closedBytesIn += socket.bytesRead
      this.#closedBytesOut += socket.bytesWritten
    })
  }

  async #dispatch (type: string, body: unknown, from: LinkIdentity): Promise<Result<unknown, LinkFailure>> {
    const handler = this.#handlers.get(type)
    if (handler === undefined) return Err(new LinkFailure(`unknown message type ${type}`, false))
    try {
      return await handler(body, from)
    } catch (error) {
      if (error instanceof InvariantViolation) throw error
      this.#onHandlerFailure(type, error instanceof Error ? error.stack ?? error.message : String(error))
      return Err(new LinkFailure(`the handler of ${type} failed`, true))
    }
  }

  /** Runs the timer shared by all connections. What has arrived is read before a connection is judged. */
  async #runTicks (): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      const dueAt = this.#clock.now() + tickIntervalMilliseconds
      await sleepAfterInput(this.#clock, tickIntervalMilliseconds, this.#stopping.signal)
      const now = this.#clock.now()
      for (const connection of this.#connections) connection.tick(now, Math.max(0, now - dueAt))
    }
  }

  async #watchCertificates (files: LinkCertificateFiles): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.#clock.sleep(certificateCheckIntervalMilliseconds, this.#stopping.signal)
      const renewed = this.#certificates && await readCertificatesIfChanged(files, this.#certificates)
      if (renewed === undefined) continue
      this.#certificates = renewed
      if (this.#server !== undefined && 'setSecureContext' in this.#server) this.#server.setSecureContext({ ...renewed })
    }
  }

  #isHandlingRequests (): boolean {
    return [...this.#connections].some(connection => connection.activeRequests > 0)
  }

  async #withTimeout<Value> (work: Promise<Result<Value, LinkFailure>>, timeoutMilliseconds: number): Promise<Result<Value, LinkFailure>> {
    const outcome = await withReplyTimeout(this.#clock, timeoutMilliseconds, work)
    return outcome ?? Err(new LinkFailure(`no connection within ${timeoutMilliseconds} ms`, false))
  }
}

function isPeer (connection: Connection, peer: Peer): boolean {
  return peer.name === '' || connection.peer.name === peer.name
}

function splitAddress (address: string): { readonly host: string, readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

function bind (server: Server | SecureServer, address: string): Promise<Result<string, LinkFailure>> {
  const { host, port } = splitAddress(address)
  return new Promise(resolve => {
    server.once('error', error => resolve(Err(new LinkFailure(`can't listen at ${address}: ${error.message}`, false))))
    server.listen({ host, port }, () => {
      const bound = server.address()
      const boundPort = typeof bound === 'object' && bound !== null ? bound.port : port
      resolve(Ok(`${address.slice(0, address.lastIndexOf(':'))}:${boundPort}`))
    })
  })
}
