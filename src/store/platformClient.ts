/**
 * One connection pool to one of the platform's services.
 *
 * What a failure can have done to a write rests on where it struck: an error of the connecting phase
 * precedes every byte of the request, so nothing was applied; anything later may have been. An
 * answer of 503 with `{"applied": false}` is the service's own word that nothing was applied.
 *
 * Requests are not pipelined, for the HTTP library sends those behind a broken one again: a second
 * copy of an applied transaction would be answered with a conflict that is not one.
 *
 * Where a connection fails or stays silent until the time-out, those that were open beside it may
 * be silent too, so nothing new is put on them. Each request carries an id; a reply that names
 * another is not taken, for a reply that comes twice would answer the next question.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { Pool } from 'undici'
import { Err, Ok, type Result } from '../contract/index.ts'
import { PlatformUnavailable } from './platformServices.ts'

/** Where a service of the platform listens and how long it is waited for. */
export interface PlatformClientOptions {
  /** `IP:port`. */
  readonly address: string
  /** Milliseconds for a whole call, connecting included. */
  readonly timeoutMilliseconds: number
  /** Connections held at most; 8 where it is not given. */
  readonly maximumConnections?: number
}

/** A whole answer of the platform. */
export interface PlatformResponse {
  readonly status: number
  readonly body: Uint8Array
}

/** What is asked of the platform. */
export interface PlatformRequest {
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly path: string
  readonly body?: string | Uint8Array
  /** Whether it changes anything when it arrives. */
  readonly isWrite: boolean
}

const defaultMaximumConnections = 8
/** An idle connection is given up after this, before something in between can lose track of it. */
const keepAliveTimeoutMilliseconds = 4_000
const jsonType = 'application/json'
const binaryType = 'application/octet-stream'
const notFoundStatus = 404
const unavailableStatus = 503
const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'
])

/** A pool of connections that answers every question with a reply or the reason for none. */
export class PlatformClient {
  readonly #options: PlatformClientOptions
  /** Tells this connection's requests from every other's. */
  readonly #clientId = randomUUID()
  #requestCount = 0
  #pool: Pool

  constructor (options: PlatformClientOptions) {
    this.#options = options
    this.#pool = createPool(options)
  }

  /** Asks once; a reply of 404 is passed on, any other failure is `PlatformUnavailable`. */
  async request (request: PlatformRequest): Promise<Result<PlatformResponse, PlatformUnavailable>> {
    const pool = this.#pool
    const requestId = `${this.#clientId}-${this.#requestCount++}`
    try {
      const response = await pool.request({
        method: request.method,
        path: request.path,
        body: request.body ?? null,
        headers: { 'x-request-id': requestId, 'content-type': typeof request.body === 'string' ? jsonType : binaryType },
        signal: AbortSignal.timeout(this.#options.timeoutMilliseconds)
      })
      const body = new Uint8Array(await response.body.arrayBuffer())
      const fault = responseFault(response.headers, requestId)
      if (fault !== undefined) {
        this.#replacePool(pool)
        return Err(new PlatformUnavailable(fault, request.isWrite))
      }
      return checkStatus({ status: response.statusCode, body }, request.isWrite)
    } catch (error) {
      const isConnectFailure = isConnectError(error)
      if (!isConnectFailure) this.#replacePool(pool)
      return Err(new PlatformUnavailable(reasonOf(error), request.isWrite && !isConnectFailure))
    }
  }

  /** Asks with a JSON body and reads a JSON reply; undefined where the reply is 404. */
  async requestJson (request: PlatformRequest): Promise<Result<unknown, PlatformUnavailable>> {
    const reply = await this.request(request)
    if (reply.err) return reply
    if (reply.val.status === notFoundStatus) return Ok(undefined)
    const value = parseJson(reply.val.body)
    if (value === undefined) return Err(new PlatformUnavailable('the reply is not JSON', request.isWrite))
    return Ok(value)
  }

  /** Closes the connections at once; calls that run fail. */
  async close (): Promise<void> {
    await this.#pool.destroy()
  }

  /** Puts nothing new on connections that were open when one of them failed. */
  #replacePool (pool: Pool): void {
    if (pool !== this.#pool) return
    this.#pool = createPool(this.#options)
    pool.close().catch(() => undefined)
  }
}

function createPool (options: PlatformClientOptions): Pool {
  return new Pool(`http://${options.address}`, {
    connections: options.maximumConnections ?? defaultMaximumConnections,
    pipelining: 1,
    keepAliveTimeout: keepAliveTimeoutMilliseconds,
    keepAliveMaxTimeout: keepAliveTimeoutMilliseconds,
    connect: { timeout: options.timeoutMilliseconds },
    headersTimeout: 0,
    bodyTimeout: 0
  })
}

/** Decodes a JSON body; undefined where it is not JSON. */
export function parseJson (body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'))
  } catch {
    return undefined
  }
}

/** Why a reply can't be believed, if so. A body that is ended only by the connection's close may have been cut. */
function responseFault (headers: IncomingHttpHeaders, requestId: string): string | undefined {
  const named = headers['x-request-id']
  if (named !== undefined && named !== requestId) return 'the reply names another request'
  const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
  return isFramed ? undefined : 'the reply has no length'
}

function checkStatus (reply: PlatformResponse, isWrite: boolean): Result<PlatformResponse, PlatformUnavailable> {
  const isExpected = reply.status < 300 || reply.status === notFoundStatus
  if (isExpected) return Ok(reply)
  const mayHaveApplied = isWrite && !saysNotApplied(reply)
  return Err(new PlatformUnavailable(`status ${reply.status}`, mayHaveApplied))
}

function saysNotApplied (reply: PlatformResponse): boolean {
  if (reply.status !== unavailableStatus) return false
  const value = parseJson(reply.body)
  return typeof value === 'object' && value !== null && 'applied' in value && value.applied === false
}

function isConnectError (error: unknown): boolean {
  const code = error instanceof Error && 'code' in error ? error.code : undefined
  return typeof code === 'string' && connectErrorCodes.has(code)
}

function reasonOf (error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error)
}
