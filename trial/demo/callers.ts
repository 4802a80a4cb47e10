/**
 * The callers of a trial. They reach the daemons as through the platform's balancer, which sends
 * requests to daemons that were ready at its last look and goes on to the next where a connection is
 * refused. What a caller saw is written down for the judge.
 */
import { Agent, request } from 'undici'
import { isWholeAnswer, readAnswer } from '../../src/standin/index.ts'
import type { TrialDaemon, TrialOrganisation } from './layout.ts'
import { pause } from './processes.ts'

/** What a caller saw of one request. */
export interface Seen {
  readonly name: string
  readonly kind: string
  readonly organisation: TrialOrganisation
  /** The bill's id: the request's own, or organisation and key. */
  readonly billId: string | undefined
  readonly idempotencyKey: string | undefined
  readonly outcome: 'answered' | 'not_run' | 'ran' | 'unknown' | 'connection_lost'
  readonly code: string | undefined
  readonly version: string | undefined
  readonly session: string | undefined
  /** A whole answer whose text is not its own, or not whole. */
  readonly isWrong: boolean
  readonly daemon: string
  readonly startedAt: number
  readonly endedAt: number
}

/** One request to make. */
export interface Wanted {
  readonly name: string
  readonly kind: string
  readonly organisation: TrialOrganisation
  readonly streamed: boolean
  readonly difficulty: number
  readonly tokens: number
  /** Turns of a session; 0 outside one. */
  readonly turns: number
  /** A call that is not idempotent, by its service and path. */
  readonly once: { readonly service: string, readonly path: string } | undefined
}

interface Reply {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly body: string
  readonly isCut: boolean
  /** The daemon that the balancer reached. */
  readonly daemon: TrialDaemon
}

const triesOfOneCall = 12
const longestPauseMilliseconds = 2_000
const lookEveryMilliseconds = 250

/** Sends requests and writes down what came of them. */
export class TrialCallers {
  readonly seen: Seen[] = []
  /** Milliseconds to the first text of streamed answers. */
  readonly firstTextMilliseconds: number[] = []
  readonly #daemons: readonly TrialDaemon[]
  readonly #agent = new Agent({ connections: 64, connectTimeout: 1_000, bodyTimeout: 60_000, headersTimeout: 60_000 })
  readonly #ready = new Set<TrialDaemon>()
  #looking = true
  #next = 0

  constructor (daemons: readonly TrialDaemon[]) {
    this.#daemons = daemons
    for (const daemon of daemons) this.#lookAt(daemon).catch(() => this.#ready.delete(daemon))
  }

  /** Makes one request, or all turns of a session. */
  async make (wanted: Wanted): Promise<void> {
    if (wanted.once !== undefined) return await this.#once(wanted, wanted.once)
    if (wanted.kind === 'balance') return await this.#balance(wanted)
    let session = wanted.turns > 0 ? 'new' : undefined
    for (let turn = 0; turn < Math.max(1, wanted.turns); turn++) {
      session = await this.#chat(wanted, `${wanted.name}-${turn}`, session)
      if (session === undefined) return
    }
  }

  async close (): Promise<void> {
    this.#looking = false
    await this.#agent.close()
  }

  async #chat (wanted: Wanted, name: string, session: string | undefined): Promise<string | undefined> {
    const startedAt = Date.now()
    const body = JSON.stringify({
      model: 'auto',
      stream: wanted.streamed,
      max_tokens: wanted.tokens,
      messages: [
        { role: 'system', content: `You help ${wanted.organisation.name}.` },
        { role: 'user', content: `kind=${wanted.kind} difficulty=${wanted.difficulty.toFixed(3)} tokens=${wanted.tokens} request=${name}` }
      ],
      metadata: { kind: wanted.kind, difficulty: wanted.difficulty.toFixed(3) }
    })
    const headers: Record<string, string> = session === undefined ? {} : { 'x-lavenderdoor-session': session }
    const reply = await this.#send(wanted.organisation, 'POST', '/v1/chat/completions', body, headers, startedAt)
    const text = textOf(reply, wanted.streamed)
    const outcome = outcomeOf(reply, text !== undefined)
    this.#write(wanted, reply, {
      name,
      billId: headerOf(reply, 'x-request-id'),
      idempotencyKey: undefined,
      outcome,
      session: session === undefined || session === 'new' ? undefined : wanted.name,
      isWrong: text !== undefined && !(isWholeAnswer(text, name) && readAnswer(text)?.version === headerOf(reply, 'x-lavenderdoor-version')),
      daemon: reply.daemon.name,
      startedAt
    })
    return outcome === 'answered' ? headerOf(reply, 'x-lavenderdoor-session') : undefined
  }

  async #balance (wanted: Wanted): Promise<void> {
    const startedAt = Date.now()
    const reply = await this.#send(wanted.organisation, 'GET', '/v1/services/ledger/balances/deposit-7', undefined, {}, startedAt)
    this.#write(wanted, reply, { name: wanted.name, billId: headerOf(reply, 'x-request-id'), idempotencyKey: undefined, outcome: outcomeOf(reply, true), session: undefined, isWrong: false, daemon: reply.daemon.name, startedAt })
  }

  /** Repeats a call under one key until its outcome is settled. */
  async #once (wanted: Wanted, once: { readonly service: string, readonly path: string }): Promise<void> {
    const key = `key-${wanted.name}`
    const body = JSON.stringify({ request: wanted.name, amount: 40 })
    for (let attempt = 0; attempt < triesOfOneCall; attempt++) {
      const startedAt = Date.now()
      const reply = await this.#send(wanted.organisation, 'POST', `/v1/services/${once.service}${once.path}`, body, { 'idempotency-key': key }, startedAt)
      const outcome = outcomeOf(reply, true)
      this.#write(wanted, reply, { name: wanted.name, billId: `${wanted.organisation.name}/${key}`, idempotencyKey: key, outcome, session: undefined, isWrong: false, daemon: reply.daemon.name, startedAt })
      if (outcome === 'answered') return
      await pause(Math.min(longestPauseMilliseconds, Number(headerOf(reply, 'retry-after') ?? 1) * 1_000))
    }
  }

  #write (wanted: Wanted, reply: Reply, seen: Omit<Seen, 'kind' | 'organisation' | 'code' | 'version' | 'endedAt'>): void {
    this.seen.push({
      ...seen,
      kind: wanted.kind,
      organisation: wanted.organisation,
      code: errorOf(reply.body)?.code,
      version: headerOf(reply, 'x-lavenderdoor-version'),
      endedAt: Date.now()
    })
  }

  async #lookAt (daemon: TrialDaemon): Promise<void> {
    while (this.#looking) {
      const response = await fetch(`http://${daemon.operators}/health/ready`).catch(() => undefined)
      if (response?.ok) this.#ready.add(daemon)
      else this.#ready.delete(daemon)
      await response?.text().catch(() => '')
      await pause(lookEveryMilliseconds)
    }
  }

  /** The next daemon that is ready and was not tried yet. */
  #daemon (tried: ReadonlySet<TrialDaemon>): TrialDaemon {
    const ready = this.#daemons.filter(daemon => this.#ready.has(daemon) && !tried.has(daemon))
    const daemon = ready[this.#next++ % ready.length] ?? this.#daemons[this.#next++ % this.#daemons.length]
    if (daemon === undefined) throw new Error('a trial has at least one daemon')
    return daemon
  }

  async #send (organisation: TrialOrganisation, method: 'GET' | 'POST', path: string, body: string | undefined, headers: Record<string, string>, startedAt: number): Promise<Reply> {
    const tried = new Set<TrialDaemon>()
    for (;;) {
      const daemon = this.#daemon(tried)
      try {
        const response = await request(`http://${daemon.callers}${path}`, {
          method,
          body,
          dispatcher: this.#agent,
          headers: { authorization: `Bearer ${organisation.key}`, 'content-type': 'application/json', ...headers }
        })
        const { text, isCut } = await this.#read(response.body, String(response.headers['content-type']).startsWith('text/event-stream'), startedAt)
        return { status: response.statusCode, headers: response.headers, body: text, isCut, daemon }
      } catch (error) {
        tried.add(daemon)
        const isRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
        if (isRefused && tried.size < this.#daemons.length) continue
        return { status: 0, headers: {}, body: '', isCut: true, daemon }
      }
    }
  }

  async #read (body: AsyncIterable<Buffer>, isStream: boolean, startedAt: number): Promise<{ readonly text: string, readonly isCut: boolean }> {
    let text = ''
    let hasText = false
    try {
      for await (const part of body) {
        text += part.toString('utf8')
        if (!isStream || hasText || !text.includes('"content":"[')) continue
        hasText = true
        this.firstTextMilliseconds.push(Date.now() - startedAt)
      }
      return { text, isCut: false }
    } catch {
      return { text, isCut: true }
    }
  }
}

/** The text of a whole chat answer; undefined where it is not whole. */
function textOf (reply: Reply, streamed: boolean): string | undefined {
  if (reply.status !== 200 || reply.isCut) return undefined
  if (!streamed) return JSON.parse(reply.body).choices[0].message.content
  const events = reply.body.split('\n\n').filter(event => event.startsWith('data: ')).map(event => event.slice('data: '.length))
  if (events.at(-1) !== '[DONE]') return undefined
  return events.slice(0, -1).map(event => JSON.parse(event).choices[0]?.delta?.content ?? '').join('')
}

function outcomeOf (reply: Reply, isWhole: boolean): Seen['outcome'] {
  if (reply.status >= 200 && reply.status < 300 && isWhole && !reply.isCut) return 'answered'
  const run = errorOf(reply.body)?.run
  if (run === 'not_run' || run === 'ran' || run === 'unknown') return run
  return 'connection_lost'
}

function errorOf (body: string): { readonly code: string, readonly run: string } | undefined {
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
