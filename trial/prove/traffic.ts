/** Callers: what they asked of which daemon and what they were told, without any look inside. */
import { Priority, Refusal, RefusalCode, RunState, type Randomness, type VersionName } from '../../src/contract/index.ts'
import { SessionRequest } from '../../src/entry/index.ts'
import type { Fleet, FleetDaemon } from './fleet.ts'

/** How a request ended for its caller. */
export const CallerEnd = {
  Running: 'running',
  /** The whole answer came. */
  Whole: 'whole',
  Refused: 'refused',
  /** The daemon was killed under it. */
  Lost: 'lost',
  /** The daemon stopped as planned under it. */
  CutByStop: 'cut_by_stop',
  /** An invariant inside the program broke. */
  Broken: 'broken'
} as const
export type CallerEnd = typeof CallerEnd[keyof typeof CallerEnd]

interface Asked {
  readonly daemon: FleetDaemon
  readonly startedAt: number
  readonly organisation: string
  end: CallerEnd
  endedAt: number
  refusal: Refusal | undefined
}

/** A chat completion as its caller saw it. */
export interface ChatRecord extends Asked {
  readonly id: string
  /** The version that its session has; undefined outside a session and for its first turn. */
  readonly pinned: VersionName | undefined
  version: VersionName | undefined
  sessionToken: string | undefined
  text: string
}

/** A refund as its caller saw it. */
export interface RefundRecord extends Asked {
  readonly key: string
  body: string
}

const deadlineMilliseconds = 20_000
const mostAttempts = 3
const prefixes = 24
const repeatShare = 0.7
const twinShare = 0.1
const longestPauseMilliseconds = 3_000
const noSignal = new AbortController().signal

/** The callers of a round. */
export class Traffic {
  readonly chats: ChatRecord[] = []
  readonly refunds: RefundRecord[] = []
  readonly evidence: unknown[] = []
  readonly #fleet: Fleet
  readonly #randomness: Randomness
  #count = 0

  constructor (fleet: Fleet, randomness: Randomness) {
    this.#fleet = fleet
    this.#randomness = randomness
  }

  /** Forgets the round that was judged. */
  clear (): void {
    this.chats.length = 0
    this.refunds.length = 0
  }

  /** Asks for a chat completion, sometimes as a session's next turn. */
  async chat (): Promise<void> {
    const daemon = this.#anyDaemon()
    if (daemon === undefined) return
    const organisation = this.#randomness.fraction() < 0.8 ? 'harbour' : 'guides'
    const before = this.chats.filter(record => record.sessionToken !== undefined && record.organisation === organisation).at(-1)
    const continues = before !== undefined && this.#randomness.fraction() < 0.4
    const model = this.#randomness.fraction() < 0.2 ? 'large' : organisation === 'guides' ? 'auto' : 'small'
    const record = this.#chatRecord(daemon, organisation, continues ? before.version : undefined)
    await this.#guarded(record, () => this.#runChat(record, model, continues ? before.sessionToken : undefined))
  }

  /** Asks for a refund, repeats it where no answer came, and sometimes asks at two daemons at once. */
  async refund (): Promise<void> {
    const key = `refund-${this.#count++}`
    const used = new Set<string>()
    const attempts = this.#randomness.fraction() < twinShare ? 2 : 1
    await Promise.all(Array.from({ length: attempts }, () => this.#refundAt(key, used, mostAttempts)))
  }

  /** A daemon is gone: what ran there has ended for its callers. */
  gone (daemon: FleetDaemon, end: CallerEnd): void {
    for (const record of [...this.chats, ...this.refunds]) {
      if (record.daemon === daemon) this.#finish(record, end)
    }
  }

  async #refundAt (key: string, used: Set<string>, attemptsLeft: number): Promise<void> {
    const free = this.#fleet.daemons.filter(daemon => !used.has(daemon.name))
    const daemon = free[this.#randomness.below(free.length)]
    if (daemon === undefined || attemptsLeft === 0) return
    used.add(daemon.name)
    const record: RefundRecord = { ...this.#asked(daemon, 'harbour'), key, body: '' }
    this.refunds.push(record)
    await this.#guarded(record, () => this.#runRefund(record))
    if (record.end === CallerEnd.Whole || this.#randomness.fraction() >= repeatShare) return
    await this.#fleet.clock.sleep(this.#randomness.below(longestPauseMilliseconds))
    await this.#refundAt(key, used, attemptsLeft - 1)
  }

  async #runChat (record: ChatRecord, model: string, token: string | undefined): Promise<void> {
    const { chat, follower, sessions } = record.daemon.parts
    const organisation = follower.view.organisations.get(record.organisation)
    if (organisation === undefined) return this.#refuse(record, notReady())
    const session = token === undefined ? undefined : sessions.read(token, record.organisation)
    if (session?.err) return this.#refuse(record, session.val)
    const isFirst = this.#randomness.fraction() < 0.5
    const request = {
      id: record.id,
      organisation: record.organisation,
      model,
      kind: 'tagging',
      messages: [{ role: 'user' as const, content: record.id }],
      streamed: true,
      maximumTokens: 64,
      priority: Priority.Normal,
      difficultyHint: undefined,
      promptTokens: 40,
      prefixKey: `prompt ${this.#randomness.below(prefixes)}`,
      deadline: record.startedAt + deadlineMilliseconds
    }
    const call = { request, organisation, session: session?.val ?? (isFirst ? SessionRequest.Start : SessionRequest.None), billId: record.id, parent: undefined }
    for await (const event of chat.answer(call, noSignal)) {
      if (record.end !== CallerEnd.Running) return
      if (event.type === 'refused') return this.#refuse(record, event.refusal)
      if (event.type === 'text') record.text += event.text
      if (event.type === 'finished') return this.#finish(record, CallerEnd.Whole)
      if (event.type !== 'started') continue
      record.version = event.version
      record.sessionToken = event.sessionToken
    }
  }

  async #runRefund (record: RefundRecord): Promise<void> {
    const { follower, serviceRouter } = record.daemon.parts
    const organisation = follower.view.organisations.get(record.organisation)
    if (organisation === undefined) return this.#refuse(record, notReady())
    const answer = await serviceRouter.answer({
      id: `${record.key}@${record.daemon.name}`,
      organisation,
      service: 'ledger',
      method: 'POST',
      path: '/refunds',
      idempotent: false,
      contentType: 'application/json',
      body: Buffer.from(record.key),
      idempotencyKey: record.key,
      deadline: record.startedAt + deadlineMilliseconds,
      parent: undefined
    }, noSignal)
    if (answer.err) return this.#refuse(record, answer.val)
    if (record.end !== CallerEnd.Running) return
    record.body = Buffer.from(answer.val.body, 'base64').toString('utf8')
    this.#finish(record, CallerEnd.Whole)
  }

  /** Lets a request into its daemon and out again, as the callers' server does. */
  async #guarded (record: Asked, work: () => Promise<void>): Promise<void> {
    const leave = record.daemon.parts.drain.enter()
    if (leave === undefined) return this.#refuse(record, new Refusal(RefusalCode.Stopping, RunState.NotRun, 'stopping', 1))
    try {
      await work()
    } catch (error) {
      this.evidence.push(String(error))
      this.#finish(record, CallerEnd.Broken)
    }
    leave()
  }

  #chatRecord (daemon: FleetDaemon, organisation: string, pinned: VersionName | undefined): ChatRecord {
    const record: ChatRecord = { ...this.#asked(daemon, organisation), id: `chat-${this.#count++}`, pinned, version: undefined, sessionToken: undefined, text: '' }
    this.chats.push(record)
    return record
  }

  #asked (daemon: FleetDaemon, organisation: string): Asked {
    return { daemon, organisation, startedAt: this.#fleet.clock.now(), end: CallerEnd.Running, endedAt: 0, refusal: undefined }
  }

  #refuse (record: Asked, refusal: Refusal): void {
    if (record.end === CallerEnd.Running) record.refusal = refusal
    this.#finish(record, CallerEnd.Refused)
  }

  #finish (record: Asked, end: CallerEnd): void {
    if (record.end !== CallerEnd.Running) return
    record.end = end
    record.endedAt = this.#fleet.clock.now()
  }

  #anyDaemon (): FleetDaemon | undefined {
    return this.#fleet.daemons[this.#randomness.below(this.#fleet.daemons.length)]
  }
}

function notReady (): Refusal {
  return new Refusal(RefusalCode.InvalidApiKey, RunState.NotRun, 'the settings are not there yet')
}
