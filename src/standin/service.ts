/**
 * A stand-in for a plain service (a ledger or a register). Unless `deduplicates` is set it runs every
 * call that reaches it, even one whose idempotency key it has already run, so that a router that
 * sends a call twice shows up in `GET /records`. The checks of a trial rely on these records.
 *
 * `POST /refunds|releases|registrations` (not idempotent), `GET /balances/{account}`,
 * `GET /runs/{key}`, `GET /records`, `POST /leave`, `POST /faults`.
 */
import * as z from 'zod'
import { parseJsonBody, StandInServer, sleep, replyBytes, replyJson, type StandIn, type HttpExchange } from './standInServer.ts'

export interface ServiceOptions {
  /** `IP:port`; port 0 selects a free port. */
  readonly listen: string
  readonly name: string
  /** Whether each idempotency key is run only once and its answer repeated; false by default. */
  readonly deduplicates?: boolean
  /** Whether `GET /runs/{key}` reports which keys have run; true by default. */
  readonly supportsRunLookup?: boolean
  /** Milliseconds that a call takes; 5 by default. */
  readonly workMilliseconds?: number
}

/** One run of a call, as `GET /records` reports it. */
export interface ServiceRun {
  readonly idempotencyKey: string | undefined
  readonly path: string
  readonly body: string
  /** Milliseconds since the epoch. */
  readonly startedAt: number
  readonly finishedAt: number
}

/** Kinds of fault, as `POST /faults` names them. */
export const ServiceFault = {
  None: 'none',
  /** Refuses connections for `milliseconds`. */
  Die: 'die',
  /** Does not respond for `milliseconds`, then continues. */
  Freeze: 'freeze',
  /** Adds `milliseconds` to the duration of each call. */
  Slow: 'slow',
  /** Runs each of the next `times` calls, then cuts the connection instead of replying. */
  DropReply: 'drop_reply',
  /** Cuts the connection of each of the next `times` calls without running it. */
  DropRequest: 'drop_request',
  /** Runs each of the next `times` calls, then answers with `status`. */
  FailRun: 'fail_run'
} as const
export type ServiceFault = typeof ServiceFault[keyof typeof ServiceFault]

const faultRequestSchema = z.object({
  fault: z.enum(ServiceFault),
  milliseconds: z.number().nonnegative().default(0),
  status: z.number().int().min(400).max(599).default(503),
  times: z.number().int().positive().default(1)
})

interface StoredAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

const defaultWorkMilliseconds = 5
const nonIdempotentPaths: ReadonlySet<string> = new Set(['refunds', 'releases', 'registrations'])

/**
 * Starts a service stand-in.
 *
 * @example
 * const ledger = await startService({ listen: '127.0.0.1:0', name: 'ledger' })
 */
export async function startService (options: ServiceOptions): Promise<StandIn> {
  const service = new Service(options)
  const server = new StandInServer(exchange => service.handle(exchange))
  service.server = server
  await server.listen(options.listen)
  return server
}

class Service {
  server: StandInServer | undefined
  readonly #options: ServiceOptions
  readonly #runs: ServiceRun[] = []
  readonly #answersByKey = new Map<string, StoredAnswer>()
  #frozenUntil = 0
  #addedDelayMilliseconds = 0
  #repliesToDrop = 0
  #requestsToDrop = 0
  #runsToFail = 0
  #failureStatus = 0
  #isLeaving = false

  constructor (options: ServiceOptions) {
    this.#options = options
  }

  async handle (exchange: HttpExchange): Promise<void> {
    const [resource, identifier] = exchange.path
    if (resource === 'faults') return this.#applyFault(exchange)
    if (resource === 'records') return replyJson(exchange, 200, this.#runs)
    await this.#waitWhileFrozen()
    if (resource === 'leave') {
      this.#isLeaving = true
      return replyJson(exchange, 200, {})
    }
    if (resource === 'load') return replyJson(exchange, 200, { leaving: this.#isLeaving })
    if (resource === 'runs') return this.#lookUpRun(exchange, identifier ?? '')
    if (resource === 'balances') return this.#handleBalance(exchange, identifier ?? '')
    if (exchange.method === 'POST' && nonIdempotentPaths.has(resource ?? '')) return this.#handleCall(exchange)
    replyJson(exchange, 404, { error: 'no such path' })
  }

  async #handleCall (exchange: HttpExchange): Promise<void> {
    if (this.#requestsToDrop > 0) {
      this.#requestsToDrop--
      exchange.socket.destroy()
      return
    }
    const header = exchange.headers['idempotency-key']
    const key = typeof header === 'string' ? header : undefined
    if (key !== undefined) exchange.response.setHeader('idempotency-key', key)
    const storedAnswer = key === undefined ? undefined : this.#answersByKey.get(key)
    const answer = storedAnswer !== undefined && this.#options.deduplicates === true ? storedAnswer : await this.#runCall(exchange, key)
    if (this.#repliesToDrop > 0) {
      this.#repliesToDrop--
      exchange.socket.destroy()
      return
    }
    await this.#waitWhileFrozen()
    if (this.#runsToFail > 0) {
      this.#runsToFail--
      return replyJson(exchange, this.#failureStatus, { error: 'failed' })
    }
    replyBytes(exchange, answer.status, answer.contentType, Buffer.from(answer.body))
  }

  /** Records the run at its start, so that a duplicate is recorded even while the first run is in progress. */
  async #runCall (exchange: HttpExchange, key: string | undefined): Promise<StoredAnswer> {
    const startedAt = Date.now()
    const path = `/${exchange.path.join('/')}`
    const runNumber = this.#runs.push({ idempotencyKey: key, path, body: exchange.body.toString('utf8'), startedAt, finishedAt: startedAt })
    const body = JSON.stringify({ service: this.#options.name, path, run: runNumber, key: key ?? null })
    const answer = { status: 201, contentType: 'application/json', body }
    if (key !== undefined && !this.#answersByKey.has(key)) this.#answersByKey.set(key, answer)
    await sleep((this.#options.workMilliseconds ?? defaultWorkMilliseconds) + this.#addedDelayMilliseconds)
    const run = this.#runs[runNumber - 1]
    if (run !== undefined) this.#runs[runNumber - 1] = { ...run, finishedAt: Date.now() }
    return answer
  }

  async #handleBalance (exchange: HttpExchange, account: string): Promise<void> {
    await sleep((this.#options.workMilliseconds ?? defaultWorkMilliseconds) + this.#addedDelayMilliseconds)
    replyJson(exchange, 200, { account, balance: account.length * 100 })
  }

  #lookUpRun (exchange: HttpExchange, key: string): void {
    if (this.#options.supportsRunLookup === false) return replyJson(exchange, 501, { error: 'keys are not kept' })
    const answer = this.#answersByKey.get(key)
    if (answer === undefined) return replyJson(exchange, 404, { run: false })
    replyJson(exchange, 200, { run: true, answer })
  }

  #applyFault (exchange: HttpExchange): void {
    const request = faultRequestSchema.parse(parseJsonBody(exchange))
    replyJson(exchange, 200, {})
    if (request.fault === ServiceFault.Die) this.#crash(request.milliseconds)
    if (request.fault === ServiceFault.Freeze) this.#frozenUntil = Date.now() + request.milliseconds
    if (request.fault === ServiceFault.Slow) this.#addedDelayMilliseconds = request.milliseconds
    if (request.fault === ServiceFault.DropReply) this.#repliesToDrop = request.times
    if (request.fault === ServiceFault.DropRequest) this.#requestsToDrop = request.times
    if (request.fault === ServiceFault.FailRun) {
      this.#runsToFail = request.times
      this.#failureStatus = request.status
    }
    if (request.fault !== ServiceFault.None) return
    this.#runsToFail = 0
    this.#frozenUntil = 0
    this.#addedDelayMilliseconds = 0
    this.#repliesToDrop = 0
    this.#requestsToDrop = 0
  }

  #crash (milliseconds: number): void {
    setImmediate(() => {
      this.server?.restartAfter(milliseconds).catch(() => undefined)
    })
  }

  async #waitWhileFrozen (): Promise<void> {
    while (this.#frozenUntil > Date.now()) await sleep(this.#frozenUntil - Date.now())
  }
}
