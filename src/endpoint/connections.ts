/**
 * Connections to endpoints. Each address has a pool for exchanges whose responses identify
 * themselves (streams, whose frames carry the attempt id) or may safely be mixed up (load reports).
 * Every other exchange gets a dedicated connection, because on a reused connection a duplicate or
 * late response would be taken for the response to the next request.
 *
 * Middleboxes can drop connection state, usually for many connections at once. When one connection
 * times out, its whole pool is therefore retired: running exchanges continue, but no new exchange
 * uses its connections. Idle connections are closed after a few seconds for the same reason.
 */
import type { Socket } from 'node:net'
import { type Dispatcher, Pool, type buildConnector } from 'undici'
import type { Clock } from '../contract/index.ts'
import { ProgressClient, createConnector } from '../httpClient/index.ts'
import { Exchange } from './exchange.ts'
import type { ExchangeOptions } from './exchangeContract.ts'

export interface ConnectionOptions {
  readonly clock: Clock
  /** Milliseconds after which establishing a connection fails. */
  readonly connectTimeoutMilliseconds: number
  /** Idle connections are closed after this many milliseconds; 4,000 by default. */
  readonly keepAliveTimeoutMilliseconds?: number
  /** TCP by default. */
  readonly connectionFactory?: ConnectionFactory
}

/** Reusable connections to one address. */
export interface ConnectionPool extends Pick<Dispatcher, 'dispatch'> {
  /** Open connections plus running and queued exchanges. */
  readonly activeCount: number
  /** Closes the pool once its exchanges have ended. */
  close (): Promise<void>
  /** Closes all connections immediately. */
  destroy (): Promise<void>
}

/** Opens connections. Tests substitute a simulated network. */
export interface ConnectionFactory {
  /**
   * Whether a connection is failing in the current event-loop turn. A response without a length
   * ends when its connection closes, and the HTTP client reports a reset as such an end too.
   */
  readonly isFailing?: boolean
  /** What was received in one read with the given bytes, which the HTTP client is handing on, and follows them. */
  bytesBehind? (bytes: Buffer): Buffer
  createPool (address: string): ConnectionPool
  /** Opens a connection for one exchange, closed afterwards. */
  createSingleUse (address: string): Pick<Dispatcher, 'dispatch'>
}

const noBytes: Buffer = Buffer.alloc(0)
/** What is read of a connection before its exchange may pause it. What then is left is put back, which must not be much. */
const readBytes = 8 * 1024
/** What follows the end of a response is looked at no further. */
const maximumBytesBehind = 16 * 1024
const defaultKeepAliveTimeoutMilliseconds = 4_000

/** Connections of one client to its endpoints. */
export class Connections {
  readonly #factory: ConnectionFactory
  readonly #pools = new Map<string, ConnectionPool>()

  constructor (options: ConnectionOptions) {
    this.#factory = options.connectionFactory ?? new TcpConnectionFactory(options)
  }

  /** Starts an exchange on a pooled, possibly reused connection. */
  startPooled (address: string, exchange: ExchangeOptions): Exchange {
    return Exchange.start(() => this.#poolFor(address), this.#withConnectionState(exchange))
  }

  /** Starts an exchange on a new connection, closed afterwards. */
  startDedicated (address: string, exchange: ExchangeOptions): Exchange {
    return Exchange.start(() => this.#factory.createSingleUse(address), { ...this.#withConnectionState(exchange), closesConnection: true })
  }

  /** Excludes the open connections to an address from new exchanges. */
  retire (address: string): void {
    const pool = this.#pools.get(address)
    if (pool === undefined) return
    this.#pools.delete(address)
    pool.close().catch(() => undefined)
  }

  /** Closes all pooled connections immediately. */
  async close (): Promise<void> {
    const pools = [...this.#pools.values()]
    this.#pools.clear()
    await Promise.all(pools.map(pool => pool.destroy()))
  }

  #withConnectionState (exchange: ExchangeOptions): ExchangeOptions {
    return { ...exchange, isConnectionFailing: () => this.#factory.isFailing === true, bytesBehind: bytes => this.#factory.bytesBehind?.(bytes) ?? noBytes }
  }

  #poolFor (address: string): ConnectionPool {
    const existing = this.#pools.get(address)
    if (existing !== undefined) return existing
    this.#retireUnusedPools()
    const pool = this.#factory.createPool(address)
    this.#pools.set(address, pool)
    return pool
  }

  /** Addresses come and go with their VMs, so pools without connections are dropped. */
  #retireUnusedPools (): void {
    for (const [address, pool] of this.#pools) {
      if (pool.activeCount === 0) this.retire(address)
    }
  }
}

class TcpConnectionFactory implements ConnectionFactory {
  readonly #options: ConnectionOptions
  #isFailing = false
  /** The HTTP client parses what it has read before it reads again, so one read is kept for all connections. */
  #lastRead: Buffer = noBytes
  #peek: () => Buffer = () => noBytes

  constructor (options: ConnectionOptions) {
    this.#options = options
  }

  get isFailing (): boolean {
    return this.#isFailing
  }

  bytesBehind (bytes: Buffer): Buffer {
    const read = this.#lastRead
    if (bytes.buffer !== read.buffer) return noBytes
    const behind = read.subarray(bytes.byteOffset + bytes.length - read.byteOffset)
    return Buffer.concat([behind, this.#peek()])
  }

  createPool (address: string): ConnectionPool {
    return new TcpPool(`http://${address}`, { factory: origin => new ProgressClient(origin, this.#clientOptions()) })
  }

  createSingleUse (address: string): Dispatcher {
    return new ProgressClient(`http://${address}`, this.#clientOptions())
  }

  /** Registers its error listener first, so that a failure is recorded before the HTTP client handles it. */
  #connector (): buildConnector.connector {
    const connect = createConnector(this.#options.clock, this.#options.connectTimeoutMilliseconds)
    return (options, callback) => connect(options, (...opened) => {
      const [, socket] = opened
      if (socket) this.#follow(socket)
      callback(...opened)
    })
  }

  #follow (socket: Socket): void {
    socket.on('error', () => this.#markFailing())
    // A reset that arrives together with data is reported as an orderly end, but a connection that was reset has no peer.
    socket.on('end', () => { if (socket.remoteAddress === undefined) this.#markFailing() })
    this.#readInParts(socket)
  }

  /**
   * Makes the HTTP client read a connection in small parts. It would otherwise take all that has arrived, put back what
   * it does not parse when it is paused, and let Node.js read more each time, as if nothing were waiting.
   *
   * The end of a connection is told only once the client is resumed: it can't take it while it is paused.
   */
  #readInParts (socket: Socket): void {
    const read = socket.read.bind(socket)
    const unshift = socket.unshift.bind(socket)
    let isPausedAtEnd = false
    // With a size, Node.js does not tell the end together with the last bytes.
    const readAtMost = (size: number): unknown => read(Math.min(size, socket.readableLength) || undefined)
    const peek = () => {
      if (socket.readableLength === 0) return noBytes
      const bytes = readAtMost(maximumBytesBehind)
      if (!Buffer.isBuffer(bytes)) return noBytes
      unshift(bytes)
      return bytes
    }
    socket.unshift = bytes => {
      isPausedAtEnd = bytes.length === 0 && socket.readableLength === 0
      unshift(bytes)
    }
    socket.read = size => {
      // Node.js itself reads nothing, to have more read or to tell the end.
      if (size === 0 && isPausedAtEnd) return null
      isPausedAtEnd = false
      const bytes = size === undefined ? readAtMost(readBytes) : read(size)
      if (!Buffer.isBuffer(bytes)) return bytes
      this.#lastRead = bytes
      this.#peek = peek
      return bytes
    }
  }

  #markFailing (): void {
    this.#isFailing = true
    process.nextTick(() => { this.#isFailing = false })
  }

  #clientOptions () {
    const keepAliveTimeoutMilliseconds = this.#options.keepAliveTimeoutMilliseconds ?? defaultKeepAliveTimeoutMilliseconds
    return {
      pipelining: 1,
      keepAliveTimeout: keepAliveTimeoutMilliseconds,
      keepAliveMaxTimeout: keepAliveTimeoutMilliseconds,
      connect: this.#connector(),
      headersTimeout: 0,
      bodyTimeout: 0
    }
  }
}

class TcpPool extends Pool implements ConnectionPool {
  get activeCount (): number {
    const { connected, pending, running } = this.stats
    return connected + pending + running
  }
}
