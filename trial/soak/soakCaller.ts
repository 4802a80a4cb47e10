/** One caller of a soak. It opens a connection, uses it until it is gone, and records how each of its requests ended. */
import { ConnectionState, RawCaller, pause, requestHead } from '../../test/fakes/rawCaller.ts'
import { type RawResponse, contentOf, headerOf } from '../../test/fakes/responseReader.ts'
import { askedRunPath } from './askedRun.ts'
import { CallerHabit, type CallerPlan, type PlannedBurst, type PlannedRequest } from './callerPlan.ts'
import { CallerEnd, type RequestRecord, unaskedRequest } from './records.ts'

/** A gateway that may be called. */
export interface CalledGateway {
  readonly name: string
  /** Host and port. */
  readonly address: string
}

/** How long a caller waits past the time at which it is owed an answer, so that a late one is told from none. */
const patienceMilliseconds = 4_000
const reconnectMilliseconds = 50
const pieceCount = 12
const smallPauseMilliseconds = 4
const streamHeaders = 'model: *\r\ntoken-usage: 10,10\r\nprefix-hash: a1:10\r\n'
const sealPrefix = /^seal-of-/
const wholeEvent = /^id: (\S+)\n(?:.+\n)*\n/gm

/** A request that was sent, and when. */
interface SentRequest {
  readonly planned: PlannedRequest
  readonly id: string
  readonly position: number
  readonly sentAt: number
  readonly resumedAfter: string | undefined
  wholeAt: number | undefined
}

/** A stream that was cut, and is to go on. */
interface CutStream {
  readonly planned: PlannedRequest
  readonly lastEvent: string | undefined
}

/** One connection, and what happened on it. */
interface OpenConnection {
  readonly caller: RawCaller
  readonly gateway: CalledGateway
  readonly number: number
  sentCount: number
  readFrom: number | undefined
  hasLeft: boolean
}

/**
 * @example
 * await new SoakCaller('c1-1', plan, () => gateways, record => console.log(JSON.stringify(record))).run(endsAt)
 */
export class SoakCaller {
  readonly #name: string
  readonly #plan: CallerPlan
  readonly #gateways: () => readonly CalledGateway[]
  readonly #record: (record: RequestRecord) => void
  #connectionCount = 0
  #cutStream: CutStream | undefined

  constructor (name: string, plan: CallerPlan, gateways: () => readonly CalledGateway[], record: (record: RequestRecord) => void) {
    this.#name = name
    this.#plan = plan
    this.#gateways = gateways
    this.#record = record
  }

  /** Calls until a time, in milliseconds since the Unix epoch. */
  async run (endsAt: number): Promise<void> {
    while (Date.now() < endsAt) {
      const connection = await this.#connect()
      if (connection !== undefined) await this.#use(connection, endsAt)
      connection?.caller.close()
      await pause(reconnectMilliseconds)
    }
  }

  async #connect (): Promise<OpenConnection | undefined> {
    const gateways = this.#gateways()
    if (gateways.length === 0) return undefined
    const gateway = this.#plan.pick(gateways)
    const [host, port] = gateway.address.split(':') as [string, string]
    const caller = await RawCaller.connect(host, Number(port)).catch(() => undefined)
    if (caller === undefined) return undefined
    return { caller, gateway, number: this.#connectionCount++, sentCount: 0, readFrom: undefined, hasLeft: false }
  }

  async #use (connection: OpenConnection, endsAt: number): Promise<void> {
    const { caller } = connection
    for (let mayGoOn = true; mayGoOn && caller.state === ConnectionState.Open && Date.now() < endsAt;) {
      const burst = this.#withCutStream(this.#plan.burst())
      const answeredBefore = connection.sentCount
      const sent = await this.#send(connection, burst)
      await this.#awaitAnswers(connection, burst, sent)
      const answers = caller.responses.slice(answeredBefore)
      sent.forEach((request, index) => this.#tell(connection, burst, request, answers[index]))
      for (const answer of answers.slice(sent.length)) this.#tellUnasked(connection, answer)
      mayGoOn = answers.length === sent.length && burst.habit !== CallerHabit.HalfClose && !answers.some(isClosing)
      if (mayGoOn) await pause(burst.restMilliseconds)
    }
  }

  /** A stream that was cut goes on first. */
  #withCutStream (burst: PlannedBurst): PlannedBurst {
    if (this.#cutStream === undefined) return burst
    return { ...burst, requests: [this.#cutStream.planned, ...burst.requests.slice(1)] }
  }

  async #send (connection: OpenConnection, burst: PlannedBurst): Promise<readonly SentRequest[]> {
    const sent: SentRequest[] = []
    connection.readFrom = undefined
    if (burst.habit === CallerHabit.ReadLate) connection.caller.pause()
    const lastEvent = this.#cutStream?.lastEvent
    this.#cutStream = undefined
    for (const planned of burst.requests) {
      const position = connection.sentCount++
      const resumedAfter = sent.length === 0 ? lastEvent : undefined
      const request: SentRequest = { planned, id: `${this.#name}-${connection.number}-${position}`, position, sentAt: Date.now(), resumedAfter, wholeAt: undefined }
      sent.push(request)
      await this.#write(connection.caller, burst, request)
    }
    if (burst.habit === CallerHabit.HalfClose) connection.caller.endSending()
    return sent
  }

  async #write (caller: RawCaller, { habit, habitMilliseconds }: PlannedBurst, request: SentRequest): Promise<void> {
    const { planned, id, resumedAfter } = request
    const resumption = resumedAfter === undefined ? '' : `last-event-id: ${resumedAfter}\r\n`
    const headers = planned.route.isStream ? `${streamHeaders}${resumption}` : ''
    const head = requestHead(askedRunPath(planned.run), { id, key: planned.key, bodyLength: planned.bodyLength, timeoutMilliseconds: planned.deadlineMilliseconds, headers })
    const text = head + 'b'.repeat(planned.bodyLength)
    const isSlow = habit === CallerHabit.SlowBody && planned.isLong
    const pieceLength = isSlow || habit === CallerHabit.SmallPieces ? Math.ceil(text.length / pieceCount) : text.length
    const pauseMilliseconds = isSlow ? habitMilliseconds / pieceCount : smallPauseMilliseconds
    for (let position = 0; position < text.length; position += pieceLength) {
      if (position > 0) await pause(pauseMilliseconds)
      if (caller.state !== ConnectionState.Open) return
      caller.write(text.slice(position, position + pieceLength))
    }
    request.wholeAt = Date.now()
  }

  async #awaitAnswers (connection: OpenConnection, { habit, habitMilliseconds }: PlannedBurst, sent: readonly SentRequest[]): Promise<void> {
    const { caller } = connection
    const answered = caller.until(connection.sentCount)
    if (habit === CallerHabit.ReadLate) {
      await pause(habitMilliseconds)
      caller.resume()
      connection.readFrom = Date.now()
    }
    if (habit === CallerHabit.Reset) {
      await Promise.race([answered, pause(habitMilliseconds)])
      if (caller.state === ConnectionState.Open && caller.responses.length < connection.sentCount) this.#leave(connection)
      return
    }
    const owedAt = Math.max(...sent.map(owedAnswerAt))
    await Promise.race([answered, pause(owedAt + patienceMilliseconds - Date.now())])
  }

  #leave (connection: OpenConnection): void {
    connection.hasLeft = true
    connection.caller.reset()
  }

  #tell (connection: OpenConnection, { habit }: PlannedBurst, sent: SentRequest, answer: RawResponse | undefined): void {
    const begun = answer ?? this.#begunAnswerOf(connection, sent)
    const end = answer === undefined ? endWithoutAnswer(connection) : CallerEnd.Answered
    const events = begun === undefined ? [] : eventsOf(begun)
    const { planned, id, position, sentAt, wholeAt, resumedAfter } = sent
    if (end === CallerEnd.Closed || end === CallerEnd.Reset) this.#keepCutStream(sent, events)
    this.#record({
      type: 'request',
      request: id,
      gateway: connection.gateway.name,
      connection: connection.number,
      position,
      path: askedRunPath(planned.run),
      sentAt,
      wholeAt,
      endedAt: answer?.readAt ?? Date.now(),
      deadlineAt: sentAt + planned.deadlineMilliseconds,
      end,
      status: begun?.status,
      events,
      habit,
      resumedAfter,
      readFrom: connection.readFrom,
      key: planned.key,
      announcesClose: answer !== undefined && isClosing(answer),
      ...identityOf(begun)
    })
  }

  /** Only the first request without a whole answer can have a begun one. */
  #begunAnswerOf ({ caller }: OpenConnection, { position }: SentRequest): RawResponse | undefined {
    return caller.responses.length === position ? caller.begunResponse : undefined
  }

  #keepCutStream ({ planned, resumedAfter }: SentRequest, events: readonly string[]): void {
    if (planned.route.isResumable) this.#cutStream = { planned, lastEvent: events.at(-1) ?? resumedAfter }
  }

  #tellUnasked (connection: OpenConnection, answer: RawResponse): void {
    const { readAt: at, status } = answer
    this.#record({
      type: 'request', request: unaskedRequest, gateway: connection.gateway.name, connection: connection.number, position: -1, path: '', sentAt: at, wholeAt: at, endedAt: at, deadlineAt: at, end: CallerEnd.Answered, status, events: [], habit: undefined, ...identityOf(answer)
    })
  }
}

/** By when a request is owed its answer: at its deadline or the timeout of its route. */
function owedAnswerAt ({ planned, sentAt }: SentRequest): number {
  return sentAt + Math.min(planned.deadlineMilliseconds, planned.route.timeoutMilliseconds)
}

function endWithoutAnswer ({ caller, hasLeft }: OpenConnection): CallerEnd {
  if (hasLeft) return CallerEnd.Left
  if (caller.state === ConnectionState.Ended) return CallerEnd.Closed
  return caller.state === ConnectionState.Broken ? CallerEnd.Reset : CallerEnd.Unanswered
}

function isClosing (response: RawResponse): boolean {
  return headerOf(response, 'connection')?.toLowerCase() === 'close'
}

function eventsOf (response: RawResponse): readonly string[] {
  return Array.from(contentOf(response).matchAll(wholeEvent), ([, id]) => id!)
}

function identityOf (answer: RawResponse | undefined): Pick<RequestRecord, 'answeredRequest' | 'answeredBy'> {
  if (answer === undefined) return { answeredRequest: undefined, answeredBy: undefined }
  return { answeredRequest: headerOf(answer, 'attempt-id'), answeredBy: headerOf(answer, 'server-seal')?.replace(sealPrefix, '') }
}
