/** HTTP client for model engines: OpenAI's API extended by attempt ids, token offsets and heartbeats. */
import * as z from 'zod'
import { type Clock, type EndpointDescription, Err, type LoadReport, Ok, type Result, type VersionName } from '../contract/index.ts'
import { EngineAttempt } from './engineAttempt.ts'
import { collectResponse, type CollectedResponse } from './collectResponse.ts'
import { Connections, type ConnectionFactory } from './connections.ts'
import { AttemptFailure, type EngineCall, type EngineClient, type EngineEvent, type EngineOrder, DeliveryState } from './contract.ts'
import type { Exchange } from './exchange.ts'
import { parseJson } from './json.ts'

export interface HttpEngineClientOptions {
  readonly clock: Clock
  /** Milliseconds after which establishing a connection fails. */
  readonly connectTimeoutMilliseconds: number
  /** A connection times out after this many milliseconds without a byte; heartbeats count as bytes. */
  readonly inactivityTimeoutMilliseconds: number
  /** Milliseconds after which an order fails; 60,000 by default. */
  readonly orderTimeoutMilliseconds?: number
  /** Consecutive resumes without a new token after which an attempt fails; 4 by default. */
  readonly maximumResumes?: number
  /** Milliseconds before the second consecutive resume, doubling with each further one; 50 by default. */
  readonly initialResumeDelayMilliseconds?: number
  /** TCP by default. */
  readonly connectionFactory?: ConnectionFactory
}

const defaultOrderTimeoutMilliseconds = 60_000
const defaultMaximumResumes = 4
const defaultInitialResumeDelayMilliseconds = 50
const okStatus = 200
const jsonHeaders = { 'content-type': 'application/json' }
const firstServerErrorStatus = 500

const loadReportSchema = z.object({
  at: z.number(),
  incarnation: z.number(),
  versions: z.array(z.custom<VersionName>(value => typeof value === 'string' && value.includes('@'))),
  running: z.number(),
  queued: z.number(),
  queuedPromptTokens: z.number(),
  streamLimit: z.number(),
  prefillTokensPerSecond: z.number(),
  betweenTokensMilliseconds: z.number(),
  leaving: z.boolean()
})

/**
 * Calls model engines.
 *
 * @example
 * const engines = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 1_000, inactivityTimeoutMilliseconds: 1_000 })
 * for await (const event of engines.generate(endpoint, call, signal)) take(event)
 */
export class HttpEngineClient implements EngineClient {
  readonly #options: HttpEngineClientOptions
  readonly #connections: Connections

  constructor (options: HttpEngineClientOptions) {
    this.#options = options
    this.#connections = new Connections(options)
  }

  generate (endpoint: EndpointDescription, call: EngineCall, signal: AbortSignal): AsyncIterable<EngineEvent> {
    const attempt = new EngineAttempt({
      clock: this.#options.clock,
      connections: this.#connections,
      address: endpoint.address,
      inactivityTimeoutMilliseconds: this.#options.inactivityTimeoutMilliseconds,
      maximumResumes: this.#options.maximumResumes ?? defaultMaximumResumes,
      initialResumeDelayMilliseconds: this.#options.initialResumeDelayMilliseconds ?? defaultInitialResumeDelayMilliseconds
    }, call, signal)
    return attempt.run()
  }

  /** Uses pooled connections, because reports are fetched every second and a duplicate is merely an older report. */
  async report (endpoint: EndpointDescription, signal: AbortSignal): Promise<Result<LoadReport, AttemptFailure>> {
    const { clock, inactivityTimeoutMilliseconds } = this.#options
    const response = await this.#collect(this.#connections.startPooled(endpoint.address, {
      clock, inactivityTimeoutMilliseconds, method: 'GET', path: '/load', headers: {}, body: undefined, mayStillSend: () => !signal.aborted
    }), signal)
    if (response.err) {
      this.#connections.retire(endpoint.address)
      return response
    }
    const parsed = loadReportSchema.safeParse(parseJson(response.val.body))
    if (!parsed.success) return Err(new AttemptFailure(DeliveryState.PossiblySent, 'load report is malformed'))
    return Ok(parsed.data)
  }

  /** Uses a dedicated connection, because a response does not identify the order it answers. */
  async order (endpoint: EndpointDescription, order: EngineOrder, signal: AbortSignal): Promise<Result<void, AttemptFailure>> {
    const { clock, orderTimeoutMilliseconds: inactivityTimeoutMilliseconds = defaultOrderTimeoutMilliseconds } = this.#options
    const response = await this.#collect(this.#connections.startDedicated(endpoint.address, {
      clock, inactivityTimeoutMilliseconds, method: 'POST', path: '/orders', headers: jsonHeaders, body: JSON.stringify(order), mayStillSend: () => !signal.aborted
    }), signal)
    return response.map(() => undefined)
  }

  /** Closes the connections immediately; for a graceful stop, wait for running streams first. */
  close (): Promise<void> {
    return this.#connections.close()
  }

  async #collect (exchange: Exchange, signal: AbortSignal): Promise<Result<CollectedResponse, AttemptFailure>> {
    const cancel = () => exchange.abort('cancelled')
    signal.addEventListener('abort', cancel)
    const response = await collectResponse(exchange)
    signal.removeEventListener('abort', cancel)
    if (response.err || response.val.status === okStatus) return response
    const { status } = response.val
    const delivery = status < firstServerErrorStatus ? DeliveryState.Rejected : DeliveryState.PossiblySent
    return Err(new AttemptFailure(delivery, `status ${status}`))
  }
}
