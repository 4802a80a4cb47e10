/**
 * Connections to endpoints: a pool for each address, and connections for one exchange only.
 * Something between the two ends can lose track of connections, and then does so of many at once:
 * when one was found silent the whole pool is retired. Its running exchanges go on, and nothing new
 * is put on its connections. An idle connection is closed after a few seconds for the same reason.
 */
import { Client, Pool } from 'undici'
import { Exchange, type ExchangeOptions } from './exchange.ts'

/** How connections are opened. */
export interface ConnectionOptions {
  /** Milliseconds that connecting may take. */
  readonly connectTimeoutMilliseconds: number
  /** Milliseconds after which an idle connection is closed; 4,000 where it is not given. */
  readonly idleMilliseconds?: number
}

const defaultIdleMilliseconds = 4_000

/** All connections of one client to its endpoints. */
export class Connections {
  readonly #options: ConnectionOptions
  readonly #pools = new Map<string, Pool>()

  constructor (options: ConnectionOptions) {
    this.#options = options
  }

  /** Starts an exchange on a connection that may have served others before. */
  pooled (address: string, exchange: ExchangeOptions): Exchange {
    return Exchange.start(this.#poolOf(address), exchange)
  }

  /** Starts an exchange on a connection of its own, which is closed after it. */
  fresh (address: string, exchange: ExchangeOptions): Exchange {
    const client = new Client(`http://${address}`, this.#clientOptions())
    const headers = { ...exchange.headers, connection: 'close' }
    return Exchange.start(client, { ...exchange, headers })
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

  #poolOf (address: string): Pool {
    const known = this.#pools.get(address)
    if (known !== undefined) return known
    this.#dropUnused()
    const pool = new Pool(`http://${address}`, this.#clientOptions())
    this.#pools.set(address, pool)
    return pool
  }

  /** Addresses come and go with their VMs; pools without a connection are forgotten. */
  #dropUnused (): void {
    for (const [address, { stats }] of this.#pools) {
      if (stats.connected + stats.pending + stats.running === 0) this.retire(address)
    }
  }

  #clientOptions () {
    const idleMilliseconds = this.#options.idleMilliseconds ?? defaultIdleMilliseconds
    return {
      pipelining: 1,
      keepAliveTimeout: idleMilliseconds,
      keepAliveMaxTimeout: idleMilliseconds,
      connect: { timeout: this.#options.connectTimeoutMilliseconds },
      headersTimeout: 0,
      bodyTimeout: 0
    }
  }
}
