/** Model engines over HTTP, in OpenAI's shape with attempt ids, token offsets and heartbeats. */
import { z } from 'zod'
import { type Clock, type EndpointDescription, Err, type LoadReport, Ok, type Result, type VersionName } from '../contract/index.ts'
import { Attempt } from './attempt.ts'
import { collect, type Collected } from './collect.ts'
import { Connections, type ConnectionSource } from './connections.ts'
import { AttemptFailure, type EngineCall, type EngineClient, type EngineEvent, type EngineOrder, Reach } from './contract.ts'
import type { Exchange } from './exchange.ts'
import { parseJson } from './json.ts'

/** How engines are called. */
export interface HttpEngineClientOptions {
  readonly clock: Clock
  /** Milliseconds that connecting may take. */
  readonly connectTimeoutMilliseconds: number
  /** Milliseconds without a byte, heartbeats included, after which a connection counts as silent. */
  readonly silenceMilliseconds: number
  /** Milliseconds that an engine may take to carry out an order; 60,000 where it is not given. */
  readonly orderMilliseconds?: number
  /** Tries to take a stream up without a new token between; 4 where it is not given. */
  readonly resumeLimit?: number
  /** Milliseconds before the second such try, doubling; 50 where it is not given. */
  readonly resumePauseMilliseconds?: number
  /** Opens the connections; over TCP where it is not given. */
  readonly source?: ConnectionSource
}

const defaultOrderMilliseconds = 60_000
const defaultResumeLimit = 4
const defaultResumePauseMilliseconds = 50
const okStatus = 200
const jsonHeaders = { 'content-type': 'application/json' }
const firstServerErrorStatus = 500

const loadShape = z.object({
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
 * const engines = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 1_000, silenceMilliseconds: 1_000 })
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
    const attempt = new Attempt({
      clock: this.#options.clock,
      connections: this.#connections,
      address: endpoint.address,
      silenceMilliseconds: this.#options.silenceMilliseconds,
      resumeLimit: this.#options.resumeLimit ?? defaultResumeLimit,
      resumePauseMilliseconds: this.#options.resumePauseMilliseconds ?? defaultResumePauseMilliseconds
    }, call, signal)
    return attempt.run()
  }

  /** Reports share connections, for they come each second; one that came twice is only an older report. */
  async report (endpoint: EndpointDescription, signal: AbortSignal): Promise<Result<LoadReport, AttemptFailure>> {
    const { clock, silenceMilliseconds } = this.#options
    const answer = await this.#collect(this.#connections.pooled(endpoint.address, {
      clock, silenceMilliseconds, method: 'GET', path: '/load', headers: {}, body: undefined, mayStillSend: () => !signal.aborted
    }), signal)
    if (answer.err) {
      this.#connections.retire(endpoint.address)
      return answer
    }
    const parsed = loadShape.safeParse(parseJson(answer.val.body))
    if (!parsed.success) return Err(new AttemptFailure(Reach.Maybe, 'the report is malformed'))
    return Ok(parsed.data)
  }

  /** An order gets a connection of its own, for its reply does not say which order it answers. */
  async order (endpoint: EndpointDescription, order: EngineOrder, signal: AbortSignal): Promise<Result<void, AttemptFailure>> {
    const { clock, orderMilliseconds: silenceMilliseconds = defaultOrderMilliseconds } = this.#options
    const answer = await this.#collect(this.#connections.fresh(endpoint.address, {
      clock, silenceMilliseconds, method: 'POST', path: '/orders', headers: jsonHeaders, body: JSON.stringify(order), mayStillSend: () => !signal.aborted
    }), signal)
    return answer.map(() => undefined)
  }

  /** Cuts the connections at once; a graceful stop waits for its streams first. */
  close (): Promise<void> {
    return this.#connections.close()
  }

  async #collect (exchange: Exchange, signal: AbortSignal): Promise<Result<Collected, AttemptFailure>> {
    const cancel = () => exchange.giveUp('cancelled')
    signal.addEventListener('abort', cancel)
    const answer = await collect(exchange)
    signal.removeEventListener('abort', cancel)
    if (answer.err || answer.val.status === okStatus) return answer
    const { status } = answer.val
    const reach = status < firstServerErrorStatus ? Reach.Refused : Reach.Maybe
    return Err(new AttemptFailure(reach, `status ${status}`))
  }
}
