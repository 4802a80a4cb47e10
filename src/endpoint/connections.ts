/**
 * Connections to endpoints. A pool for each address carries what names its answers itself: streams,
 * whose frames name their attempt, and reports. Everything else gets a connection for its one
 * exchange, for on a connection that is used again a reply that comes twice or late would be taken
 * for the next one's.
 *
 * Something between the two ends can lose track of connections, and then does so of many at once:
 * when one was found silent its whole pool is retired. Its running exchanges go on, and nothing new
 * is put on its connections. An idle connection is closed after a few seconds for the same reason.
 */
import { Client, type Dispatcher, Pool, buildConnector } from 'undici'
import { Exchange, type ExchangeOptions } from './exchange.ts'

/** How connections are opened. */
export interface ConnectionOptions {
  /** Milliseconds that connecting may take. */
  readonly connectTimeoutMilliseconds: number
  /** Milliseconds after which an idle connection is closed; 4,000 where it is not given. */
  readonly keepAliveTimeoutMilliseconds?: number
  /** Opens the connections; over TCP where it is not given. */
  readonly connectionFactory?: ConnectionFactory
}

/** Connections to one address that can be used again. */
export interface ConnectionPool extends Pick<Dispatcher, 'dispatch'> {
  /** Connections that stand, and exchanges that run or wait. */
  readonly activeCount: number
  /** Closes it when its exchanges have ended. */
  close (): Promise<void>
  /** Cuts its connections. */
  destroy (): Promise<void>
}

/** Opens connections; a test puts a network of its own in its place. */
export interface ConnectionFactory {
  /**
   * Whether a connection is failing in this very turn of the event loop. An answer without a length
   * ends with its connection; the HTTP client takes a reset for such an end as well.
   */
  readonly isFailing?: boolean
  createPool (address: string): ConnectionPool
  /** A connection for one exchange, which closes after it. */
  createSingleUse (address: string): Pick<Dispatcher, 'dispatch'>
}

const defaultKeepAliveTimeoutMilliseconds = 4_000

/** All connections of one client to its endpoints. */
export class Connections {
  readonly #factory: ConnectionFactory
  readonly #pools = new Map<string, ConnectionPool>()

  constructor (options: ConnectionOptions) {
    this.#factory = options.connectionFactory ?? new TcpConnectionFactory(options)
  }

  /** Starts an exchange on a connection that may have served others before. */
  startPooled (address: string, exchange: ExchangeOptions): Exchange {
    return Exchange.start(this.#poolFor(address), this.#withFailureCheck(exchange))
  }

  /** Starts an exchange on a connection of its own, which is closed after it. */
  startDedicated (address: string, exchange: ExchangeOptions): Exchange {
    return Exchange.start(this.#factory.createSingleUse(address), { ...this.#withFailureCheck(exchange), closesConnection: true })
  }

  /** Puts nothing new on the connections that are open to an address. */
  retire (address: string): void {
    const pool = this.#pools.get(address)
    if (pool === undefined) return
    this.#pools.delete(address)
    pool.close().catch(() => undefined)
  }

  /** Cuts all connections of the pools. */
  async close (): Promise<void> {
    const pools = [...this.#pools.values()]
    this.#pools.clear()
    await Promise.all(pools.map(pool => pool.destroy()))
  }

  #withFailureCheck (exchange: ExchangeOptions): ExchangeOptions {
    return { ...exchange, isConnectionFailing: () => this.#factory.isFailing === true }
  }

  #poolFor (address: string): ConnectionPool {
    const existing = this.#pools.get(address)
    if (existing !== undefined) return existing
    this.#retireUnusedPools()
    const pool = this.#factory.createPool(address)
    this.#pools.set(address, pool)
    return pool
  }

  /** Addresses come and go with their VMs; pools without a connection are forgotten. */
  #retireUnusedPools (): void {
    for (const [address, pool] of this.#pools) {
      if (pool.activeCount === 0) this.retire(address)
    }
  }
}

class TcpConnectionFactory implements ConnectionFactory {
  readonly #options: ConnectionOptions
  #isFailing = false

  constructor (options: ConnectionOptions) {
    this.#options = options
  }

  get isFailing (): boolean {
    return this.#isFailing
  }

  createPool (address: string): ConnectionPool {
    return new TcpPool(`http://${address}`, this.#clientOptions())
  }

  createSingleUse (address: string): Dispatcher {
    return new Client(`http://${address}`, this.#clientOptions())
  }

  /** Notes a connection's failure before the HTTP client hears of it. */
  #connector (): buildConnector.connector {
    const connect = buildConnector({ timeout: this.#options.connectTimeoutMilliseconds })
    return (options, callback) => connect(options, (...opened) => {
      const [, socket] = opened
      socket?.on('error', () => this.#markFailing())
      callback(...opened)
    })
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
