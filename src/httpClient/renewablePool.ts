/**
 * A pool of connections to one service whose open connections may all fall silent without a reset. When a call fails
 * otherwise than by being unable to connect, the connections that were open at that time may be silent too: calls after it
 * go over connections that are opened after it, while calls that are running over the earlier ones may end.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Pool } from 'undici'
import { Err, type Result } from '../contract/index.ts'
import { readBoundedResponse } from './boundedResponse.ts'
import { type PoolOptions, createPool } from './progressClient.ts'

/** Longer than any reply of the platform. */
const maximumReplyBytes = 16 * 1024 * 1024

const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'
])

export interface PoolRequest<Value> {
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly path: string
  readonly headers?: Record<string, string>
  readonly body?: string | Uint8Array
  /** Aborts when the reply is overdue, by the tools of the clock, never by a timer of its own. */
  readonly overdue: AbortSignal
  /** Aborts when nobody waits for the reply any more, which tells nothing of the connection. */
  readonly ended?: AbortSignal
  /** Takes what is wanted from a reply, or returns why it can't be trusted. */
  readonly read: (reply: PoolReply) => Result<Value, string>
}

/** A reply that was read whole. */
export interface PoolReply {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** Why no reply was read. */
export class PoolFailure {
  readonly reason: string
  /** False if no connection was open, so that nothing of the request was sent. */
  readonly mayHaveBeenSent: boolean

  constructor (reason: string, mayHaveBeenSent = true) {
    this.reason = reason
    this.mayHaveBeenSent = mayHaveBeenSent
  }
}

/**
 * Sends requests over a pool of connections, and replaces all of them after a failure.
 *
 * @example
 * const pool = new RenewablePool('http://10.0.0.1:80', { clock, connectTimeoutMilliseconds: 1_000 })
 * const reply = await pool.request({ method: 'GET', path: '/', overdue: timeout.signal, read: reply => Ok(reply.status) })
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

  /** Sends a request once and reads its reply. */
  async request<Value> (request: PoolRequest<Value>): Promise<Result<Value, PoolFailure>> {
    const used = this.#current
    const reply = await sendOver(used, request)
    const isBlamed = reply.err && reply.val.mayHaveBeenSent && request.ended?.aborted !== true
    // The connections that the call used may have been replaced already.
    if (isBlamed && used === this.#current) this.renew()
    return reply
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

async function sendOver<Value> (pool: Pool, { method, path, headers, body, overdue, ended, read }: PoolRequest<Value>): Promise<Result<Value, PoolFailure>> {
  const signal = ended === undefined ? overdue : AbortSignal.any([overdue, ended])
  try {
    const response = await endAtOnce(pool.request({ method, path, headers, body: body ?? null, signal }), signal)
    const bytes = await readBoundedResponse(response.body, maximumReplyBytes)
    const value = bytes.andThen(wholeBody => read({ status: response.statusCode, headers: response.headers, body: wholeBody }))
    return value.mapErr(reason => new PoolFailure(reason))
  } catch (error) {
    const mayHaveBeenSent = !(error instanceof UnsentRequest) && !isConnectError(error)
    return Err(new PoolFailure(reasonOf(error), mayHaveBeenSent))
  }
}

/** A request that was over before it had a connection. */
class UnsentRequest extends Error {}

/**
 * Ends a request once it is over. The HTTP library rejects one that has a connection in the same turn of the event loop. Of
 * any other it takes notice only when there is a connection, and then sends nothing.
 */
function endAtOnce<Reply> (request: Promise<Reply>, over: AbortSignal): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const end = () => { setImmediate(() => reject(new UnsentRequest(reasonOf(over.reason)))) }
    over.addEventListener('abort', end, { once: true })
    request.finally(() => over.removeEventListener('abort', end)).then(resolve, reject)
  })
}

/** Whether a failure came before a connection was open. */
function isConnectError (error: unknown): boolean {
  const code = error instanceof Error && 'code' in error ? error.code : undefined
  return typeof code === 'string' && connectErrorCodes.has(code)
}

function reasonOf (error: unknown): string {
  return error instanceof Error ? error.message || error.name : String(error)
}
