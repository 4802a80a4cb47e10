/**
 * HTTP client for plain services. Their responses do not identify the call they answer, so each
 * call uses its own connection: on a reused one, a duplicate or late response would be taken for the
 * response to the next call. `DeliveryState.NotSent` is reported only if the exchange was stopped
 * before its first byte, which `Exchange` decides in the event-loop turn of the write. After that the
 * kernel holds the bytes, and they may arrive late, even after this process has given up. A claim
 * therefore stays open until its own deadline has passed.
 */
import * as z from 'zod'
import { type Clock, type EndpointDescription, Err, Ok, type Result } from '../contract/index.ts'
import { collectResponse, type CollectedResponse } from './collectResponse.ts'
import { Connections, type ConnectionFactory } from './connections.ts'
import { AttemptFailure, DeliveryState, type ServiceResponse, type ServiceCall, type ServiceClient } from './contract.ts'
import type { Exchange } from './exchange.ts'
import { type ExchangeOptions, overdueReason } from './exchangeContract.ts'
import { parseJson } from './json.ts'
import { announcementIn } from './rateHeader.ts'

export interface HttpServiceClientOptions {
  readonly clock: Clock
  /** Milliseconds after which establishing a connection fails. */
  readonly connectTimeoutMilliseconds: number
  /** A call fails after this many milliseconds without a received byte. */
  readonly inactivityTimeoutMilliseconds: number
  /** TCP by default. */
  readonly connectionFactory?: ConnectionFactory
}

const okStatus = 200
const notFoundStatus = 404
const firstErrorStatus = 400
const notRunSchema = z.object({ run: z.literal(false) })
const runSchema = z.object({
  run: z.literal(true),
  answer: z.object({ status: z.number().int(), contentType: z.string(), body: z.string() })
})

/**
 * Calls plain services.
 *
 * @example
 * const services = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 1_000, inactivityTimeoutMilliseconds: 10_000 })
 * const answer = await services.call(endpoint, call, () => clock.now() < sendBefore, signal)
 */
export class HttpServiceClient implements ServiceClient {
  readonly #options: HttpServiceClientOptions
  readonly #connections: Connections

  constructor (options: HttpServiceClientOptions) {
    this.#options = options
    this.#connections = new Connections(options)
  }

  async call (endpoint: EndpointDescription, call: ServiceCall, mayStillSend: () => boolean, signal: AbortSignal): Promise<Result<ServiceResponse, AttemptFailure>> {
    const response = await this.#exchange(endpoint, call, mayStillSend, signal)
    if (response.err) return response
    const { status, headers, body } = response.val
    call.gate?.recordResponse(announcementIn(headers), status < firstErrorStatus)
    const responseKey = headers['idempotency-key']
    if (responseKey !== undefined && responseKey !== call.idempotencyKey) return Err(new AttemptFailure(DeliveryState.PossiblySent, 'response carries the idempotency key of another call'))
    return Ok({ status, contentType: headers['content-type'] ?? '', body })
  }

  async lookUpRun (endpoint: EndpointDescription, idempotencyKey: string, signal: AbortSignal): Promise<Result<ServiceResponse | 'not_run' | undefined, AttemptFailure>> {
    const call = { method: 'GET', path: `/runs/${encodeURIComponent(idempotencyKey)}`, contentType: undefined, body: undefined, idempotencyKey: undefined, traceParent: undefined }
    const response = await this.#exchange(endpoint, call, () => true, signal)
    return response.map(parseRun)
  }

  async #exchange (endpoint: EndpointDescription, call: ServiceCall, mayStillSend: () => boolean, signal: AbortSignal): Promise<Result<CollectedResponse, AttemptFailure>> {
    if (signal.aborted) return Err(new AttemptFailure(DeliveryState.NotSent, 'cancelled'))
    const options: ExchangeOptions = {
      clock: this.#options.clock,
      method: call.method,
      path: call.path,
      headers: headersOf(call),
      body: call.body,
      responseMark: call.idempotencyKey,
      inactivityTimeoutMilliseconds: this.#options.inactivityTimeoutMilliseconds,
      mayStillSend: () => !signal.aborted && mayStillSend() && (call.gate?.trySend() ?? true)
    }
    const exchange = this.#connections.startDedicated(endpoint.address, options)
    const cancel = () => cancelExchange(exchange, signal)
    signal.addEventListener('abort', cancel)
    const response = await collectResponse(exchange)
    signal.removeEventListener('abort', cancel)
    return response
  }
}

/** A call that is overdue gets what had arrived of its answer before. */
function cancelExchange (exchange: Exchange, signal: AbortSignal): void {
  if (signal.reason === overdueReason) exchange.abortAfterInput(overdueReason)
  else exchange.abort('cancelled')
}

function headersOf (call: ServiceCall): Record<string, string> {
  const headers: Record<string, string> = {}
  if (call.contentType !== undefined) headers['content-type'] = call.contentType
  if (call.idempotencyKey !== undefined) headers['idempotency-key'] = call.idempotencyKey
  if (call.traceParent !== undefined) headers.traceparent = call.traceParent
  return headers
}

function parseRun (response: CollectedResponse): ServiceResponse | 'not_run' | undefined {
  const value = parseJson(response.body)
  if (response.status === notFoundStatus && notRunSchema.safeParse(value).success) return 'not_run'
  if (response.status !== okStatus) return undefined
  const run = runSchema.safeParse(value)
  if (!run.success) return undefined
  return { ...run.data.answer, body: Buffer.from(run.data.answer.body) }
}
