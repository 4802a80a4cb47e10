/**
 * Plain services over HTTP. Their replies do not say which call they answer, so a connection serves
 * one call only: on one that is used again, a reply that comes twice or late would be taken for the
 * next call's. `Reach.Never` is said only where the exchange was stopped before its first byte,
 * which `Exchange` settles in the turn of the write. After that turn the bytes are the kernel's:
 * they may arrive late, also after this process has given up, so a claim stays open until its own
 * deadline has passed.
 */
import { z } from 'zod'
import { type Clock, type EndpointDescription, Err, Ok, type Result } from '../contract/index.ts'
import { collect, type Collected } from './collect.ts'
import { Connections, type ConnectionSource } from './connections.ts'
import { AttemptFailure, Reach, type ServiceAnswer, type ServiceCall, type ServiceClient } from './contract.ts'
import type { ExchangeOptions } from './exchange.ts'
import { parseJson } from './json.ts'

/** How plain services are called. */
export interface HttpServiceClientOptions {
  readonly clock: Clock
  /** Milliseconds that connecting may take. */
  readonly connectTimeoutMilliseconds: number
  /** Milliseconds without a byte after which an answer is no longer waited for. */
  readonly silenceMilliseconds: number
  /** Opens the connections; over TCP where it is not given. */
  readonly source?: ConnectionSource
}

const okStatus = 200
const absentStatus = 404
const notRunShape = z.object({ run: z.literal(false) })
const runShape = z.object({
  run: z.literal(true),
  answer: z.object({ status: z.number().int(), contentType: z.string(), body: z.string() })
})

/**
 * Calls plain services.
 *
 * @example
 * const services = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 1_000, silenceMilliseconds: 10_000 })
 * const answer = await services.call(endpoint, call, () => clock.now() < sendBefore, signal)
 */
export class HttpServiceClient implements ServiceClient {
  readonly #options: HttpServiceClientOptions
  readonly #connections: Connections

  constructor (options: HttpServiceClientOptions) {
    this.#options = options
    this.#connections = new Connections(options)
  }

  async call (endpoint: EndpointDescription, call: ServiceCall, mayStillSend: () => boolean, signal: AbortSignal): Promise<Result<ServiceAnswer, AttemptFailure>> {
    const answer = await this.#exchange(endpoint, call, mayStillSend, signal)
    if (answer.err) return answer
    const { status, headers, body } = answer.val
    const named = headers['idempotency-key']
    if (named !== undefined && named !== call.idempotencyKey) return Err(new AttemptFailure(Reach.Maybe, 'the answer names another call'))
    return Ok({ status, contentType: headers['content-type'] ?? '', body })
  }

  async hasRun (endpoint: EndpointDescription, idempotencyKey: string, signal: AbortSignal): Promise<Result<ServiceAnswer | 'not_run' | undefined, AttemptFailure>> {
    const call = { method: 'GET', path: `/runs/${encodeURIComponent(idempotencyKey)}`, contentType: undefined, body: undefined, idempotencyKey: undefined, traceParent: undefined }
    const answer = await this.#exchange(endpoint, call, () => true, signal)
    return answer.map(readRun)
  }

  async #exchange (endpoint: EndpointDescription, call: ServiceCall, mayStillSend: () => boolean, signal: AbortSignal): Promise<Result<Collected, AttemptFailure>> {
    if (signal.aborted) return Err(new AttemptFailure(Reach.Never, 'cancelled'))
    const options: ExchangeOptions = {
      clock: this.#options.clock,
      method: call.method,
      path: call.path,
      headers: headersOf(call),
      body: call.body,
      silenceMilliseconds: this.#options.silenceMilliseconds,
      mayStillSend: () => !signal.aborted && mayStillSend()
    }
    const exchange = this.#connections.fresh(endpoint.address, options)
    const cancel = () => exchange.giveUp('cancelled')
    signal.addEventListener('abort', cancel)
    const answer = await collect(exchange)
    signal.removeEventListener('abort', cancel)
    return answer
  }
}

function headersOf (call: ServiceCall): Record<string, string> {
  const headers: Record<string, string> = {}
  if (call.contentType !== undefined) headers['content-type'] = call.contentType
  if (call.idempotencyKey !== undefined) headers['idempotency-key'] = call.idempotencyKey
  if (call.traceParent !== undefined) headers.traceparent = call.traceParent
  return headers
}

function readRun (answer: Collected): ServiceAnswer | 'not_run' | undefined {
  const value = parseJson(answer.body)
  if (answer.status === absentStatus && notRunShape.safeParse(value).success) return 'not_run'
  if (answer.status !== okStatus) return undefined
  const run = runShape.safeParse(value)
  if (!run.success) return undefined
  return { ...run.data.answer, body: Buffer.from(run.data.answer.body) }
}
