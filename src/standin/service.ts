/**
 * A plain service's stand-in (a ledger or a register). It runs every call that reaches it, also one
 * whose key it has run already, unless `deduplicates` is set: a router that lets two through is
 * then seen in `GET /records`, which is the judge's truth.
 *
 * `POST /refunds|releases|registrations` (not idempotent), `GET /balances/{account}`,
 * `GET /runs/{key}`, `GET /records`, `POST /leave`, `POST /faults`.
 */
import { z } from 'zod'
import { bodyJson, HttpFrame, pause, replyBytes, replyJson, type StandIn, type Visit } from './httpFrame.ts'

/** How a plain service's stand-in behaves. */
export interface ServiceOptions {
  /** `IP:port`; port 0 takes a free one. */
  readonly listen: string
  readonly name: string
  /** Runs a key once only and repeats its answer; off where it is not given. */
  readonly deduplicates?: boolean
  /** Whether it can say which keys it has run; on where it is not given. */
  readonly tellsRuns?: boolean
  /** Milliseconds that a call takes; 5 where it is not given. */
  readonly workMilliseconds?: number
}

/** One run of a call. */
export interface ServiceRun {
  readonly idempotencyKey: string | undefined
  readonly path: string
  readonly body: string
  /** Milliseconds since the epoch. */
  readonly startedAt: number
  readonly finishedAt: number
}

/** How a plain service fails. */
export const ServiceFault = {
  None: 'none',
  /** Refuses connections for so many milliseconds. */
  Die: 'die',
  /** Answers nothing for so many milliseconds, then goes on. */
  Freeze: 'freeze',
  /** Takes so many milliseconds longer for each call. */
  Slow: 'slow',
  /** Runs the next calls, so many `times`, and cuts the connection in place of the reply. */
  DropReply: 'drop_reply',
  /** Cuts the connection of the next calls, so many `times`, without running them. */
  DropRequest: 'drop_request'
} as const
export type ServiceFault = typeof ServiceFault[keyof typeof ServiceFault]

const faultShape = z.object({
  fault: z.enum(ServiceFault),
  milliseconds: z.number().nonnegative().default(0),
  times: z.number().int().positive().default(1)
})

interface KeptAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

const defaultWorkMilliseconds = 5
const onceOnly: ReadonlySet<string> = new Set(['refunds', 'releases', 'registrations'])

/**
 * Starts a plain service.
 *
 * @example
 * const ledger = await startService({ listen: '127.0.0.1:0', name: 'ledger' })
 */
export async function startService (options: ServiceOptions): Promise<StandIn> {
  const service = new Service(options)
  const frame = new HttpFrame(visit => service.answer(visit))
  service.frame = frame
  await frame.listen(options.listen)
  return frame
}

class Service {
  frame: HttpFrame | undefined
  readonly #options: ServiceOptions
  readonly #runs: ServiceRun[] = []
  readonly #answers = new Map<string, KeptAnswer>()
  #frozenUntil = 0
  #slowMilliseconds = 0
  #repliesToDrop = 0
  #requestsToDrop = 0
  #leaving = false

  constructor (options: ServiceOptions) {
    this.#options = options
  }

  async answer (visit: Visit): Promise<void> {
    const [first, second] = visit.path
    if (first === 'faults') return this.#fail(visit)
    if (first === 'records') return replyJson(visit, 200, this.#runs)
    await this.#thaw()
    if (first === 'leave') {
      this.#leaving = true
      return replyJson(visit, 200, {})
    }
    if (first === 'load') return replyJson(visit, 200, { leaving: this.#leaving })
    if (first === 'runs') return this.#tellRun(visit, second ?? '')
    if (first === 'balances') return this.#balance(visit, second ?? '')
    if (visit.method === 'POST' && onceOnly.has(first ?? '')) return this.#run(visit)
    replyJson(visit, 404, { error: 'no such path' })
  }

  async #run (visit: Visit): Promise<void> {
    if (this.#requestsToDrop > 0) {
      this.#requestsToDrop--
      visit.socket.destroy()
      return
    }
    const header = visit.headers['idempotency-key']
    const key = typeof header === 'string' ? header : undefined
    if (key !== undefined) visit.response.setHeader('idempotency-key', key)
    const kept = key === undefined ? undefined : this.#answers.get(key)
    const answer = kept !== undefined && this.#options.deduplicates === true ? kept : await this.#work(visit, key)
    if (this.#repliesToDrop > 0) {
      this.#repliesToDrop--
      visit.socket.destroy()
      return
    }
    await this.#thaw()
    replyBytes(visit, answer.status, answer.contentType, Buffer.from(answer.body))
  }

  /** The run counts from its start, so that a second one is seen although both are under way. */
  async #work (visit: Visit, key: string | undefined): Promise<KeptAnswer> {
    const startedAt = Date.now()
    const path = `/${visit.path.join('/')}`
    const number = this.#runs.push({ idempotencyKey: key, path, body: visit.body.toString('utf8'), startedAt, finishedAt: startedAt })
    const body = JSON.stringify({ service: this.#options.name, path, run: number, key: key ?? null })
    const answer = { status: 201, contentType: 'application/json', body }
    if (key !== undefined && !this.#answers.has(key)) this.#answers.set(key, answer)
    await pause((this.#options.workMilliseconds ?? defaultWorkMilliseconds) + this.#slowMilliseconds)
    const run = this.#runs[number - 1]
    if (run !== undefined) this.#runs[number - 1] = { ...run, finishedAt: Date.now() }
    return answer
  }

  async #balance (visit: Visit, account: string): Promise<void> {
    await pause((this.#options.workMilliseconds ?? defaultWorkMilliseconds) + this.#slowMilliseconds)
    replyJson(visit, 200, { account, balance: account.length * 100 })
  }

  #tellRun (visit: Visit, key: string): void {
    if (this.#options.tellsRuns === false) return replyJson(visit, 501, { error: 'keys are not kept' })
    const answer = this.#answers.get(key)
    if (answer === undefined) return replyJson(visit, 404, { run: false })
    replyJson(visit, 200, { run: true, answer })
  }

  #fail (visit: Visit): void {
    const order = faultShape.parse(bodyJson(visit))
    replyJson(visit, 200, {})
    if (order.fault === ServiceFault.Die) this.#die(order.milliseconds)
    if (order.fault === ServiceFault.Freeze) this.#frozenUntil = Date.now() + order.milliseconds
    if (order.fault === ServiceFault.Slow) this.#slowMilliseconds = order.milliseconds
    if (order.fault === ServiceFault.DropReply) this.#repliesToDrop = order.times
    if (order.fault === ServiceFault.DropRequest) this.#requestsToDrop = order.times
    if (order.fault !== ServiceFault.None) return
    this.#frozenUntil = 0
    this.#slowMilliseconds = 0
    this.#repliesToDrop = 0
    this.#requestsToDrop = 0
  }

  #die (milliseconds: number): void {
    setImmediate(() => {
      this.frame?.takeAway(milliseconds).catch(() => undefined)
    })
  }

  async #thaw (): Promise<void> {
    while (this.#frozenUntil > Date.now()) await pause(this.#frozenUntil - Date.now())
  }
}
