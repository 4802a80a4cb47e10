/**
 * A pool of connections to one service whose open connections may all fall silent without a reset. When a call fails
 * otherwise than by being unable to connect, the connections that were open at that time may be silent too: calls after it
 * go over connections that are opened after it, while calls that are running over the earlier ones may end.
 */
import type { Dispatcher, Pool } from 'undici'
import { createPool } from './progressClient.ts'

type PoolOptions = Parameters<typeof createPool>[1]

const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'
])

/** A failure before a connection was open: nothing of the request was sent. */
export function isConnectError (error: unknown): boolean {
  const code = error instanceof Error && 'code' in error ? error.code : undefined
  return typeof code === 'string' && connectErrorCodes.has(code)
}

/** The connections that one call uses; a failure of the call is told to the pool with it. */
export type ConnectionGeneration = Pick<Dispatcher, 'request'>

/**
 * Hands out connections and replaces all of them after a failure.
 *
 * @example
 * const connections = pool.current
 * const response = await connections.request({ method: 'GET', path: '/' }).catch(error => pool.reportFailure(connections, error))
 */
export class RenewablePool {
  readonly #origin: string
  readonly #options: PoolOptions
  readonly #retired = new Set<Pool>()
  #current: Pool

  constructor (origin: string, options: PoolOptions) {
    this.#origin = origin
    this.#options = options
    this.#current = createPool(origin, options)
  }

  /** The connections for the next call. */
  get current (): ConnectionGeneration {
    return this.#current
  }

  /** Replaces the connections that a failed call used, unless they were replaced already or the call could not connect. */
  reportFailure (used: ConnectionGeneration, error?: unknown): void {
    if (used === this.#current && !isConnectError(error)) this.renew()
  }

  /** The connections that are open now get no new calls; their running calls may end. */
  renew (): void {
    const retired = this.#current
    this.#current = createPool(this.#origin, this.#options)
    this.#retired.add(retired)
    retired.close().catch(() => undefined).finally(() => this.#retired.delete(retired))
  }

  /** Closes all connections at once; running calls fail. */
  async destroy (): Promise<void> {
    await Promise.all([this.#current, ...this.#retired].map(pool => pool.destroy()))
  }
}
