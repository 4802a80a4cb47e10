/**
 * A connection pool to one of the platform's services.
 *
 * Whether a failed write may have been applied depends on when it failed: a connect error occurs before
 * any byte of the request is sent, so nothing was applied; after a later error the write may have been. A
 * 503 response with `{"applied": false}` states that nothing was applied.
 *
 * Requests are not pipelined, because the HTTP library resends those queued behind a failed one: a second
 * copy of an applied transaction would be answered with a false conflict.
 *
 * Each request carries an id, and a reply with another id is rejected: otherwise a duplicated reply would
 * answer the next request.
 */
import { randomUUID } from 'node:crypto'
import { type Clock, Err, Ok, type Result, replyTimeoutSignal } from '../contract/index.ts'
import { PlatformUnavailable } from './platformServices.ts'
import { type PoolReply, RenewablePool } from '../httpClient/index.ts'

export interface PlatformClientOptions {
  /** `IP:port`. */
  readonly address: string
  readonly clock: Clock
  /** Timeout of a whole call including connecting, in milliseconds. */
  readonly timeoutMilliseconds: number
  /** Maximum number of connections; 8 by default. */
  readonly maximumConnections?: number
}

/** A complete response of the platform. */
export interface PlatformResponse {
  readonly status: number
  readonly body: Uint8Array
}

export interface PlatformRequest {
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly path: string
  readonly body?: string | Uint8Array
  /** Whether the request changes state. */
  readonly isWrite: boolean
}

const defaultMaximumConnections = 8
/** An idle connection is closed after this time, before a middlebox can drop its state. */
const keepAliveTimeoutMilliseconds = 4_000
const jsonType = 'application/json'
const binaryType = 'application/octet-stream'
const notFoundStatus = 404
const unavailableStatus = 503

/** Sends requests over a connection pool and returns failures as values. */
export class PlatformClient {
  readonly #options: PlatformClientOptions
  /** Makes request ids unique across clients. */
  readonly #clientId = randomUUID()
  readonly #pool: RenewablePool
  #requestCount = 0

  constructor (options: PlatformClientOptions) {
    this.#options = options
    this.#pool = createClientPool(options)
  }

  /** Sends a request once. A 404 response is returned; any other failure is `PlatformUnavailable`. */
  async request (request: PlatformRequest): Promise<Result<PlatformResponse, PlatformUnavailable>> {
    const requestId = `${this.#clientId}-${this.#requestCount++}`
    const timeout = replyTimeoutSignal(this.#options.clock, this.#options.timeoutMilliseconds)
    const reply = await this.#pool.request({
      method: request.method,
      path: request.path,
      body: request.body,
      headers: { 'x-request-id': requestId, 'content-type': typeof request.body === 'string' ? jsonType : binaryType },
      overdue: timeout.signal,
      read: received => checkTrust(received, requestId)
    })
    timeout.cancel()
    if (reply.err) return Err(new PlatformUnavailable(reply.val.reason, request.isWrite && reply.val.mayHaveBeenSent))
    return checkStatus({ status: reply.val.status, body: new Uint8Array(reply.val.body) }, request.isWrite)
  }

  /** Sends a request and parses the JSON response; undefined if the response is 404. */
  async requestJson (request: PlatformRequest): Promise<Result<unknown, PlatformUnavailable>> {
    const reply = await this.request(request)
    if (reply.err) return reply
    if (reply.val.status === notFoundStatus) return Ok(undefined)
    const value = parseJson(reply.val.body)
    if (value === undefined) return Err(new PlatformUnavailable('the reply is not JSON', request.isWrite))
    return Ok(value)
  }

  /** Closes the connections at once; calls in progress fail. */
  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}

function createClientPool (options: PlatformClientOptions): RenewablePool {
  return new RenewablePool(`http://${options.address}`, {
    connections: options.maximumConnections ?? defaultMaximumConnections,
    pipelining: 1,
    keepAliveTimeout: keepAliveTimeoutMilliseconds,
    keepAliveMaxTimeout: keepAliveTimeoutMilliseconds,
    clock: options.clock,
    connectTimeoutMilliseconds: options.timeoutMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0
  })
}

/** Parses a JSON body; undefined if it is not JSON. */
export function parseJson (body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'))
  } catch {
    return undefined
  }
}

/** Returns the reply, or why it can't be trusted. A body that ends only when the connection closes may be truncated. */
function checkTrust (reply: PoolReply, requestId: string): Result<PoolReply, string> {
  const named = reply.headers['x-request-id']
  if (named !== undefined && named !== requestId) return Err('the reply has the id of another request')
  const isFramed = reply.headers['content-length'] !== undefined || reply.headers['transfer-encoding'] !== undefined
  return isFramed ? Ok(reply) : Err('the reply has neither a content length nor a transfer encoding')
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
