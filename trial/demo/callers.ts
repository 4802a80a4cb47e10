/**
 * The callers of a trial. They choose a daemon as the platform's load balancer does: from the daemons
 * that were ready at the last health check, and the next one if a connection is refused. Each outcome
 * is recorded for the checks after the trial.
 */
import { Agent, request } from 'undici'
import { isCompleteAnswer, parseAnswerHeader } from '../../src/standin/index.ts'
import type { TrialDaemon, TrialOrganisation } from './layout.ts'
import { sleep } from './processes.ts'

/** The outcome of one request as its caller observed it. */
export interface RequestObservation {
  readonly name: string
  readonly kind: string
  readonly organisation: TrialOrganisation
  /** The id of its bill entry: the request id, or organisation and idempotency key. */
  readonly billId: string | undefined
  readonly idempotencyKey: string | undefined
  readonly outcome: 'answered' | 'not_run' | 'ran' | 'unknown' | 'connection_lost'
  readonly code: string | undefined
  readonly version: string | undefined
  readonly session: string | undefined
  /** Whether an answer that ended normally has an incomplete text, or one that belongs to another request or version. */
  readonly hasWrongText: boolean
  readonly daemon: string
  readonly startedAt: number
  readonly endedAt: number
}

/** A request to send. */
export interface PlannedRequest {
  readonly name: string
  readonly kind: string
  readonly organisation: TrialOrganisation
  readonly streamed: boolean
  readonly difficulty: number
  readonly tokens: number
  /** Number of turns of its session; 0 without a session. */
  readonly turns: number
  /** The service and path of a call that is not idempotent. */
  readonly nonIdempotentCall: { readonly service: string, readonly path: string } | undefined
}

interface Reply {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly body: string
  readonly isTruncated: boolean
  /** The daemon that the request was sent to. */
  readonly daemon: TrialDaemon
}

const maximumAttempts = 12
const maximumRetryDelayMilliseconds = 2_000
const readinessPollIntervalMilliseconds = 250

/** Sends requests and records their outcomes. */
export class TrialCallers {
  readonly observations: RequestObservation[] = []
  /** Milliseconds from the start of each streamed request to its first text. */
  readonly firstTextMilliseconds: number[] = []
  readonly #daemons: readonly TrialDaemon[]
  readonly #agent = new Agent({ connections: 64, connectTimeout: 1_000, bodyTimeout: 60_000, headersTimeout: 60_000 })
  readonly #readyDaemons = new Set<TrialDaemon>()
  #isPolling = true
  #nextIndex = 0

  constructor (daemons: readonly TrialDaemon[]) {
    this.#daemons = daemons
    for (const daemon of daemons) this.#pollReadiness(daemon).catch(() => this.#readyDaemons.delete(daemon))
  }

  /** Sends one request, or all turns of a session. */
  async send (planned: PlannedRequest): Promise<void> {
    if (planned.nonIdempotentCall !== undefined) return await this.#callUntilSettled(planned, planned.nonIdempotentCall)
    if (planned.kind === 'balance') return await this.#readBalance(planned)
    let session = planned.turns > 0 ? 'new' : undefined
    for (let turn = 0; turn < Math.max(1, planned.turns); turn++) {
      session = await this.#chat(planned, `${planned.name}-${turn}`, session)
      if (session === undefined) return
    }
  }

  async close (): Promise<void> {
    this.#isPolling = false
    await this.#agent.close()
  }

  async #chat (planned: PlannedRequest, name: string, session: string | undefined): Promise<string | undefined> {
    const startedAt = Date.now()
    const body = JSON.stringify({
      model: 'auto',
      stream: planned.streamed,
      max_tokens: planned.tokens,
      messages: [
        { role: 'system', content: `You help ${planned.organisation.name}.` },
        { role: 'user', content: `kind=${planned.kind} difficulty=${planned.difficulty.toFixed(3)} tokens=${planned.tokens} request=${name}` }
      ],
      metadata: { kind: planned.kind, difficulty: planned.difficulty.toFixed(3) }
    })
    const headers: Record<string, string> = session === undefined ? {} : { 'x-lavenderdoor-session': session }
    const reply = await this.#sendToReadyDaemon(planned.organisation, 'POST', '/v1/chat/completions', body, headers, startedAt)
    const text = answerText(reply, planned.streamed)
    const outcome = outcomeOf(reply, text !== undefined)
    this.#record(planned, reply, {
      name,
      billId: headerOf(reply, 'x-request-id'),
      idempotencyKey: undefined,
      outcome,
      session: session === undefined || session === 'new' ? undefined : planned.name,
      hasWrongText: text !== undefined && !(isCompleteAnswer(text, name) && parseAnswerHeader(text)?.version === headerOf(reply, 'x-lavenderdoor-version')),
      daemon: reply.daemon.name,
      startedAt
    })
    return outcome === 'answered' ? headerOf(reply, 'x-lavenderdoor-session') : undefined
  }

  async #readBalance (planned: PlannedRequest): Promise<void> {
    const startedAt = Date.now()
    const reply = await this.#sendToReadyDaemon(planned.organisation, 'GET', '/v1/services/ledger/balances/deposit-7', undefined, {}, startedAt)
    this.#record(planned, reply, { name: planned.name, billId: headerOf(reply, 'x-request-id'), idempotencyKey: undefined, outcome: outcomeOf(reply, true), session: undefined, hasWrongText: false, daemon: reply.daemon.name, startedAt })
  }

  /** Repeats a call with the same idempotency key until it is answered or the attempts are used up. */
  async #callUntilSettled (planned: PlannedRequest, call: { readonly service: string, readonly path: string }): Promise<void> {
    const key = `key-${planned.name}`
    const body = JSON.stringify({ request: planned.name, amount: 40 })
    for (let attempt = 0; attempt < maximumAttempts; attempt++) {
      const startedAt = Date.now()
      const reply = await this.#sendToReadyDaemon(planned.organisation, 'POST', `/v1/services/${call.service}${call.path}`, body, { 'idempotency-key': key }, startedAt)
      const outcome = outcomeOf(reply, true)
      this.#record(planned, reply, { name: planned.name, billId: `${planned.organisation.name}/${key}`, idempotencyKey: key, outcome, session: undefined, hasWrongText: false, daemon: reply.daemon.name, startedAt })
      if (outcome === 'answered') return
      await sleep(Math.min(maximumRetryDelayMilliseconds, Number(headerOf(reply, 'retry-after') ?? 1) * 1_000))
    }
  }

  #record (planned: PlannedRequest, reply: Reply, observation: Omit<RequestObservation, 'kind' | 'organisation' | 'code' | 'version' | 'endedAt'>): void {
    this.observations.push({
      ...observation,
      kind: planned.kind,
      organisation: planned.organisation,
      code: parseError(reply.body)?.code,
      version: headerOf(reply, 'x-lavenderdoor-version'),
      endedAt: Date.now()
    })
  }

  async #pollReadiness (daemon: TrialDaemon): Promise<void> {
    while (this.#isPolling) {
      const response = await fetch(`http://${daemon.operatorAddress}/health/ready`).catch(() => undefined)
      if (response?.ok) this.#readyDaemons.add(daemon)
      else this.#readyDaemons.delete(daemon)
      await response?.text().catch(() => '')
      await sleep(readinessPollIntervalMilliseconds)
    }
  }

  /** The next ready daemon that was not tried yet; any daemon if there is none. */
  #selectDaemon (tried: ReadonlySet<TrialDaemon>): TrialDaemon {
    const ready = this.#daemons.filter(daemon => this.#readyDaemons.has(daemon) && !tried.has(daemon))
    const daemon = ready[this.#nextIndex++ % ready.length] ?? this.#daemons[this.#nextIndex++ % this.#daemons.length]
    if (daemon === undefined) throw new Error('the layout of the trial has no daemons')
    return daemon
  }

  async #sendToReadyDaemon (organisation: TrialOrganisation, method: 'GET' | 'POST', path: string, body: string | undefined, headers: Record<string, string>, startedAt: number): Promise<Reply> {
    const tried = new Set<TrialDaemon>()
    for (;;) {
      const daemon = this.#selectDaemon(tried)
      try {
        const response = await request(`http://${daemon.callerAddress}${path}`, {
          method,
          body,
          dispatcher: this.#agent,
          headers: { authorization: `Bearer ${organisation.key}`, 'content-type': 'application/json', ...headers }
        })
        const { text, isTruncated } = await this.#readBody(response.body, String(response.headers['content-type']).startsWith('text/event-stream'), startedAt)
        return { status: response.statusCode, headers: response.headers, body: text, isTruncated, daemon }
      } catch (error) {
        tried.add(daemon)
        const isRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
        if (isRefused && tried.size < this.#daemons.length) continue
        return { status: 0, headers: {}, body: '', isTruncated: true, daemon }
      }
    }
  }

  async #readBody (body: AsyncIterable<Buffer>, isStream: boolean, startedAt: number): Promise<{ readonly text: string, readonly isTruncated: boolean }> {
    let text = ''
    let hasFirstText = false
    try {
      for await (const chunk of body) {
        text += chunk.toString('utf8')
        if (!isStream || hasFirstText || !text.includes('"content":"[')) continue
        hasFirstText = true
        this.firstTextMilliseconds.push(Date.now() - startedAt)
      }
      return { text, isTruncated: false }
    } catch {
      return { text, isTruncated: true }
    }
  }
}

/** The text of a chat answer; undefined if the answer is an error or incomplete. */
function answerText (reply: Reply, streamed: boolean): string | undefined {
  if (reply.status !== 200 || reply.isTruncated) return undefined
  if (!streamed) return JSON.parse(reply.body).choices[0].message.content
  const events = reply.body.split('\n\n').filter(event => event.startsWith('data: ')).map(event => event.slice('data: '.length))
  if (events.at(-1) !== '[DONE]') return undefined
  return events.slice(0, -1).map(event => JSON.parse(event).choices[0]?.delta?.content ?? '').join('')
}

function outcomeOf (reply: Reply, isWhole: boolean): RequestObservation['outcome'] {
  if (reply.status >= 200 && reply.status < 300 && isWhole && !reply.isTruncated) return 'answered'
  const run = parseError(reply.body)?.run
  if (run === 'not_run' || run === 'ran' || run === 'unknown') return run
  return 'connection_lost'
}

function parseError (body: string): { readonly code: string, readonly run: string } | undefined {
  const start = body.lastIndexOf('{"error":')
  if (start < 0) return undefined
  const line = body.slice(start).split('\n')[0] ?? ''
  try {
    return JSON.parse(line).error
  } catch {
    return undefined
  }
}

function headerOf (reply: Reply, name: string): string | undefined {
  const value = reply.headers[name]
  return typeof value === 'string' ? value : undefined
}
