/** Simulated callers; they record what they requested, at which daemon, and what they received. */
import { Priority, Refusal, RefusalCode, RunState, type Randomness, type VersionName } from '../../src/contract/index.ts'
import { SessionRequest } from '../../src/entry/index.ts'
import type { Fleet, FleetDaemon } from './fleet.ts'

/** The outcome of a request for its caller. */
export const RequestOutcome = {
  Running: 'running',
  /** The complete answer arrived. */
  Answered: 'whole',
  Refused: 'refused',
  /** The daemon was killed while the request was running. */
  Lost: 'lost',
  /** The daemon finished a planned stop while the request was running. */
  CutOffByStop: 'cut_by_stop',
  /** An invariant inside the program was violated: its code threw an exception. */
  InvariantBroken: 'broken'
} as const
export type RequestOutcome = typeof RequestOutcome[keyof typeof RequestOutcome]

interface CallRecord {
  readonly daemon: FleetDaemon
  readonly startedAt: number
  readonly organisation: string
  outcome: RequestOutcome
  endedAt: number
  refusal: Refusal | undefined
}

/** A chat completion as its caller observed it. */
export interface ChatRecord extends CallRecord {
  readonly id: string
  /** The version of its session; undefined without a session and for the first turn. */
  readonly pinned: VersionName | undefined
  version: VersionName | undefined
  sessionToken: string | undefined
  text: string
}

/** A refund as its caller observed it. */
export interface RefundRecord extends CallRecord {
  readonly key: string
  body: string
}

const deadlineMilliseconds = 20_000
const maximumAttempts = 3
const prefixCount = 24
const retryShare = 0.7
const concurrentShare = 0.1
const maximumRetryDelayMilliseconds = 3_000
const neverAborted = new AbortController().signal

export class Traffic {
  readonly chats: ChatRecord[] = []
  readonly refunds: RefundRecord[] = []
  readonly errors: unknown[] = []
  readonly #fleet: Fleet
  readonly #randomness: Randomness
  #requestCount = 0

  constructor (fleet: Fleet, randomness: Randomness) {
    this.#fleet = fleet
    this.#randomness = randomness
  }

  /** Discards the records of a round that has been checked. */
  clear (): void {
    this.chats.length = 0
    this.refunds.length = 0
  }

  /** Requests a chat completion, sometimes as the next turn of a session. */
  async chat (): Promise<void> {
    const daemon = this.#anyDaemon()
    if (daemon === undefined) return
    const organisation = this.#randomness.fraction() < 0.8 ? 'harbour' : 'guides'
    const previous = this.chats.filter(record => record.sessionToken !== undefined && record.organisation === organisation).at(-1)
    const continuesSession = previous !== undefined && this.#randomness.fraction() < 0.4
    const model = this.#randomness.fraction() < 0.2 ? 'large' : organisation === 'guides' ? 'auto' : 'small'
    const record = this.#createChatRecord(daemon, organisation, continuesSession ? previous.version : undefined)
    await this.#runAdmitted(record, () => this.#runChat(record, model, continuesSession ? previous.sessionToken : undefined))
  }

  /** Requests a refund, sometimes at two daemons at once, and sometimes repeats it at another daemon if it was not answered. */
  async refund (): Promise<void> {
    const key = `refund-${this.#requestCount++}`
    const triedDaemons = new Set<string>()
    const attempts = this.#randomness.fraction() < concurrentShare ? 2 : 1
    await Promise.all(Array.from({ length: attempts }, () => this.#refundAt(key, triedDaemons, maximumAttempts)))
  }

  /** Ends all running requests of a daemon that has been killed or stopped. */
  endRequests (daemon: FleetDaemon, outcome: RequestOutcome): void {
    for (const record of [...this.chats, ...this.refunds]) {
      if (record.daemon === daemon) this.#finish(record, outcome)
    }
  }

  async #refundAt (key: string, triedDaemons: Set<string>, attemptsLeft: number): Promise<void> {
    const availableDaemons = this.#fleet.daemons.filter(daemon => !triedDaemons.has(daemon.name))
    const daemon = availableDaemons[this.#randomness.integerBelow(availableDaemons.length)]
    if (daemon === undefined || attemptsLeft === 0) return
    triedDaemons.add(daemon.name)
    const record: RefundRecord = { ...this.#createRecord(daemon, 'harbour'), key, body: '' }
    this.refunds.push(record)
    await this.#runAdmitted(record, () => this.#runRefund(record))
    if (record.outcome === RequestOutcome.Answered || this.#randomness.fraction() >= retryShare) return
    await this.#fleet.clock.sleep(this.#randomness.integerBelow(maximumRetryDelayMilliseconds))
    await this.#refundAt(key, triedDaemons, attemptsLeft - 1)
  }

  async #runChat (record: ChatRecord, model: string, sessionToken: string | undefined): Promise<void> {
    const { chat, follower, sessions } = record.daemon.parts
    const organisation = follower.view.organisations.get(record.organisation)
    if (organisation === undefined) return this.#refuse(record, settingsNotReady())
    const session = sessionToken === undefined ? undefined : sessions.read(sessionToken, record.organisation)
    if (session?.err) return this.#refuse(record, session.val)
    const startsSession = this.#randomness.fraction() < 0.5
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
      prefixKey: `prompt ${this.#randomness.integerBelow(prefixCount)}`,
      deadline: record.startedAt + deadlineMilliseconds
    }
    const call = { request, organisation, session: session?.val ?? (startsSession ? SessionRequest.Start : SessionRequest.None), billId: record.id, parent: undefined }
    for await (const event of chat.answer(call, neverAborted)) {
      if (record.outcome !== RequestOutcome.Running) return
      if (event.type === 'refused') return this.#refuse(record, event.refusal)
      if (event.type === 'text') record.text += event.text
      if (event.type === 'finished') return this.#finish(record, RequestOutcome.Answered)
      if (event.type !== 'started') continue
      record.version = event.version
      record.sessionToken = event.sessionToken
    }
  }

  async #runRefund (record: RefundRecord): Promise<void> {
    const { follower, serviceRouter } = record.daemon.parts
    const organisation = follower.view.organisations.get(record.organisation)
    if (organisation === undefined) return this.#refuse(record, settingsNotReady())
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
    }, neverAborted)
    if (answer.err) return this.#refuse(record, answer.val)
    if (record.outcome !== RequestOutcome.Running) return
    record.body = Buffer.from(answer.val.body, 'base64').toString('utf8')
    this.#finish(record, RequestOutcome.Answered)
  }

  /** Admits a request to its daemon's drain for as long as it runs, as the caller server does. */
  async #runAdmitted (record: CallRecord, work: () => Promise<void>): Promise<void> {
    const exit = record.daemon.parts.drain.enter()
    if (exit === undefined) return this.#refuse(record, new Refusal(RefusalCode.Stopping, RunState.NotRun, 'the daemon is stopping', 1))
    try {
      await work()
    } catch (error) {
      this.errors.push(String(error))
      this.#finish(record, RequestOutcome.InvariantBroken)
    }
    exit()
  }

  #createChatRecord (daemon: FleetDaemon, organisation: string, pinned: VersionName | undefined): ChatRecord {
    const record: ChatRecord = { ...this.#createRecord(daemon, organisation), id: `chat-${this.#requestCount++}`, pinned, version: undefined, sessionToken: undefined, text: '' }
    this.chats.push(record)
    return record
  }

  #createRecord (daemon: FleetDaemon, organisation: string): CallRecord {
    return { daemon, organisation, startedAt: this.#fleet.clock.now(), outcome: RequestOutcome.Running, endedAt: 0, refusal: undefined }
  }

  #refuse (record: CallRecord, refusal: Refusal): void {
    if (record.outcome === RequestOutcome.Running) record.refusal = refusal
    this.#finish(record, RequestOutcome.Refused)
  }

  #finish (record: CallRecord, outcome: RequestOutcome): void {
    if (record.outcome !== RequestOutcome.Running) return
    record.outcome = outcome
    record.endedAt = this.#fleet.clock.now()
  }

  #anyDaemon (): FleetDaemon | undefined {
    return this.#fleet.daemons[this.#randomness.integerBelow(this.#fleet.daemons.length)]
  }
}

function settingsNotReady (): Refusal {
  return new Refusal(RefusalCode.InvalidApiKey, RunState.NotRun, 'the daemon has no settings yet')
}
