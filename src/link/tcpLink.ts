/**
 * Links over TCP. A daemon asks over connections that it dialled itself and answers over those that
 * it accepted: two daemons that ask each other have two connections, and neither needs a rule for
 * which of two to keep. A connection is dialled at its first use and kept; when it closes, the next
 * ask dials anew.
 */
import { connect as connectPlain, createServer, type Server, type Socket } from 'node:net'
import { connect as connectSecure, createServer as createSecureServer, type Server as SecureServer } from 'node:tls'
import { type Clock, Err, Ok, type Result } from '../contract/index.ts'
import { type LinkCertificateFiles, type LinkCertificates, readCertificates, readIfChanged } from './certificates.ts'
import { Connection } from './connection.ts'
import { type Link, LinkFailure, type LinkIdentity, type MessageType, type Peer } from './contract.ts'
import { encodeFrame, handshakeFrameBytes, maximumFrameBytes, readFrames } from './frames.ts'
import { acceptHandshake, dialHandshake, type FrameChannel } from './handshake.ts'

const tickMilliseconds = 500
const handshakeMilliseconds = 2_000
const certificateCheckMilliseconds = 5_000
const drainMilliseconds = 5_000
const drainStepMilliseconds = 20

/** What a link is made of. */
export interface TcpLinkOptions {
  readonly identity: LinkIdentity
  /** Known to all daemons; proves membership. */
  readonly secret: string
  readonly clock: Clock
  /** Key files; without them the link is neither encrypted nor protected against changes on the way. */
  readonly tls?: LinkCertificateFiles
}

/** Bytes that a link has moved over all its connections, without the headers of TCP and IP. */
export interface LinkTraffic {
  readonly bytesIn: number
  readonly bytesOut: number
}

type Answer = (body: unknown, from: LinkIdentity) => Promise<Result<unknown, LinkFailure>>
type Opener = typeof dialHandshake

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
  readonly #files: LinkCertificateFiles | undefined
  readonly #answers = new Map<string, Answer>()
  readonly #dialled = new Map<string, Promise<Result<Connection, LinkFailure>>>()
  /** Connections that are ready for asks, by address. */
  readonly #opened = new Map<string, Connection>()
  readonly #connections = new Set<Connection>()
  readonly #sockets = new Set<Socket>()
  readonly #stopping = new AbortController()
  #certificates: LinkCertificates | undefined
  #server: Server | SecureServer | undefined
  #closedIn = 0
  #closedOut = 0

  constructor ({ identity, secret, clock, tls }: TcpLinkOptions) {
    this.self = identity
    this.#secret = secret
    this.#clock = clock
    this.#files = tls
  }

  /** Bytes moved since the start. */
  get traffic (): LinkTraffic {
    const sockets = [...this.#sockets]
    return {
      bytesIn: sockets.reduce((sum, socket) => sum + socket.bytesRead, this.#closedIn),
      bytesOut: sockets.reduce((sum, socket) => sum + socket.bytesWritten, this.#closedOut)
    }
  }

  /**
   * Starts to accept connections.
   *
   * @param address `IP:port`; port 0 takes any free one
   * @returns the address it listens at, or why it can't
   * @example
   * const address = await link.listen('10.0.0.7:7000')
   */
  async listen (address: string): Promise<Result<string, LinkFailure>> {
    if (this.#files !== undefined) {
      const certificates = await readCertificates(this.#files)
      if (certificates.err) return certificates
      this.#certificates = certificates.val
    }
    const server = this.#createServer()
    const bound = await bind(server, address)
    if (bound.err) return bound
    this.#server = server
    this.#watch()
    if (this.#files !== undefined) this.#watchCertificates(this.#files)
    return bound
  }

  /** Stops: accepts nothing new, lets asks of others that are being answered finish, then closes. */
  async close (): Promise<void> {
    this.#stopping.abort()
    this.#server?.close()
    const deadline = this.#clock.now() + drainMilliseconds
    while (this.#isAnswering() && this.#clock.now() < deadline) await this.#clock.sleep(drainStepMilliseconds)
    await Promise.all([...this.#connections].map(connection => connection.end()))
    for (const socket of this.#sockets) socket.destroy()
  }

  async ask<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number): Promise<Result<Reply, LinkFailure>> {
    if (this.#stopping.signal.aborted) return Err(new LinkFailure('the link is closing', false))
    const open = this.#opened.get(peer.address)
    if (open?.open && isNamed(open, peer)) return open.ask(type, body, timeoutMilliseconds)
    const startedAt = this.#clock.now()
    const connection = await this.#within(this.#connectionTo(peer), timeoutMilliseconds)
    if (connection.err) return connection
    this.#opened.set(peer.address, connection.val)
    const remaining = timeoutMilliseconds - (this.#clock.now() - startedAt)
    return connection.val.ask(type, body, remaining)
  }

  answer<Body, Reply> (type: MessageType<Body, Reply>, handler: (body: Body, from: LinkIdentity) => Promise<Reply>): void {
    this.#answers.set(type.name, async (body, from) => {
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
    const known = this.#dialled.get(peer.address)
    const connection = await known
    if (connection?.ok && connection.val.open && isNamed(connection.val, peer)) return connection
    if (this.#dialled.get(peer.address) === known) this.#dialled.set(peer.address, this.#dial(peer))
    const dialled = await (this.#dialled.get(peer.address) ?? this.#dial(peer))
    if (dialled.err || isNamed(dialled.val, peer)) return dialled
    return Err(new LinkFailure(`${dialled.val.peer.name} answers at the address of ${peer.name}`, false))
  }

  async #dial (peer: Peer): Promise<Result<Connection, LinkFailure>> {
    const socket = this.#connect(peer.address)
    const opened = await this.#open(socket, dialHandshake)
    if (opened.ok) this.#connections.add(opened.val)
    return opened
  }

  #connect (address: string): Socket {
    const { host, port } = splitAddress(address)
    const certificates = this.#certificates
    if (certificates === undefined) return connectPlain({ host, port, noDelay: true })
    // A certificate proves membership by its authority; daemons are reached by IP number, which certificates needn't name.
    return connectSecure({ ...certificates, host, port, checkServerIdentity: () => undefined }).setNoDelay(true)
  }

  async #open (socket: Socket, handshake: Opener): Promise<Result<Connection, LinkFailure>> {
    this.#track(socket)
    const limit = { bytes: handshakeFrameBytes }
    const frames = readFrames(socket, limit)
    const channel: FrameChannel = {
      receive: async () => (await frames.next()).value ?? undefined,
      send: frame => socket.write(encodeFrame(frame).unwrap())
    }
    const peer = await this.#within(handshake(channel, this.self, this.#secret), handshakeMilliseconds)
    if (peer.err) {
      socket.destroy()
      return peer
    }
    limit.bytes = maximumFrameBytes
    const connection = new Connection({ socket, peer: peer.val, clock: this.#clock, handler: (type, body, from) => this.#handle(type, body, from) })
    connection.run(frames).finally(() => this.#forget(connection))
    return Ok(connection)
  }

  #forget (connection: Connection): void {
    this.#connections.delete(connection)
    for (const [address, open] of this.#opened) {
      if (open === connection) this.#opened.delete(address)
    }
  }

  #track (socket: Socket): void {
    this.#sockets.add(socket)
    // The reader of the connection sees the error as the end of its frames.
    socket.on('error', () => undefined)
    socket.on('close', () => {
      this.#sockets.delete(socket)
      this.#closedIn += socket.bytesRead
      this.#closedOut += socket.bytesWritten
    })
  }

  async #handle (type: string, body: unknown, from: LinkIdentity): Promise<Result<unknown, LinkFailure>> {
    const answer = this.#answers.get(type)
    if (answer === undefined) return Err(new LinkFailure(`unknown message type ${type}`, false))
    return answer(body, from)
  }

  /** The one timer of all connections. */
  async #watch (): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.#clock.sleep(tickMilliseconds, this.#stopping.signal)
      const now = this.#clock.now()
      for (const connection of this.#connections) connection.tick(now)
    }
  }

  async #watchCertificates (files: LinkCertificateFiles): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.#clock.sleep(certificateCheckMilliseconds, this.#stopping.signal)
      const renewed = this.#certificates && await readIfChanged(files, this.#certificates)
      if (renewed === undefined) continue
      this.#certificates = renewed
      if (this.#server !== undefined && 'setSecureContext' in this.#server) this.#server.setSecureContext({ ...renewed })
    }
  }

  #isAnswering (): boolean {
    return [...this.#connections].some(connection => connection.handling > 0)
  }

  async #within<Value> (work: Promise<Result<Value, LinkFailure>>, milliseconds: number): Promise<Result<Value, LinkFailure>> {
    const done = new AbortController()
    const late = this.#clock.sleep(milliseconds, done.signal)
    const outcome = await Promise.race([work, late])
    // A reason spares the making of an exception that nobody reads.
    done.abort('done')
    return outcome ?? Err(new LinkFailure(`no connection within ${milliseconds} ms`, false))
  }
}

function isNamed (connection: Connection, peer: Peer): boolean {
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
