/** Model engines over HTTP, in OpenAI's shape with attempt ids, token offsets and heartbeats. */
import { z } from 'zod'
import { type Clock, type EndpointDescription, Err, type LoadReport, Ok, type Result, type VersionName } from '../contract/index.ts'
import { EngineAttempt } from './engineAttempt.ts'
import { collectResponse, type CollectedResponse } from './collectResponse.ts'
import { Connections, type ConnectionFactory } from './connections.ts'
import { AttemptFailure, type EngineCall, type EngineClient, type EngineEvent, type EngineOrder, DeliveryState } from './contract.ts'
import type { Exchange } from './exchange.ts'
import { parseJson } from './json.ts'

/** How engines are called. */
export interface HttpEngineClientOptions {
  readonly clock: Clock
  /** Milliseconds that connecting may take. */
  readonly connectTimeoutMilliseconds: number
  /** Milliseconds without a byte, heartbeats included, after which a connection counts as silent. */
  readonly inactivityTimeoutMilliseconds: number
  /** Milliseconds that an engine may take to carry out an order; 60,000 where it is not given. */
  readonly orderTimeoutMilliseconds?: number
  /** Tries to take a stream up without a new token between; 4 where it is not given. */
  readonly maximumResumes?: number
  /** Milliseconds before the second such try, doubling; 50 where it is not given. */
  readonly initialResumeDelayMilliseconds?: number
  /** Opens the connections; over TCP where it is not given. */
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

  /** Reports share connections, for they come each second; one that came twice is only an older report. */
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
    if (!parsed.success) return Err(new AttemptFailure(DeliveryState.PossiblySent, 'the report is malformed'))
    return Ok(parsed.data)
  }

  /** An order gets a connection of its own, for its reply does not say which order it answers. */
  async order (endpoint: EndpointDescription, order: EngineOrder, signal: AbortSignal): Promise<Result<void, AttemptFailure>> {
    const { clock, orderTimeoutMilliseconds: inactivityTimeoutMilliseconds = defaultOrderTimeoutMilliseconds } = this.#options
    const response = await this.#collect(this.#connections.startDedicated(endpoint.address, {
      clock, inactivityTimeoutMilliseconds, method: 'POST', path: '/orders', headers: jsonHeaders, body: JSON.stringify(order), mayStillSend: () => !signal.aborted
    }), signal)
    return response.map(() => undefined)
  }

  /** Cuts the connections at once; a graceful stop waits for its streams first. */
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
