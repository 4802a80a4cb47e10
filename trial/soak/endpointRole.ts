/**
 * An endpoint of the soak: a model engine that answers streams of events with ids, or a plain service. What a request asks for stands in its
 * query, so that a run that resumes a stream makes the same events: `events` and `gap` (milliseconds) of a stream, `work` (milliseconds)
 * and `bytes` of a plain answer. Each run is written to standard output when it starts and when it has ended.
 */
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { EndpointRegistration, EndpointStandIn, type ReceivedRequest } from '../../platform/standin/index.ts'
import { hashFraction } from '../../src/contract/index.ts'
import { EndpointFault } from './faults.ts'
import { type EndpointOrder, followOrders } from './orders.ts'
import { RunEnd, type RunRecord, type RunStartRecord } from './records.ts'

export interface EndpointRoleOptions {
  readonly identity: string
  readonly host: string
  readonly service: string
  readonly isEngine: boolean
  readonly dataCentre: string
  readonly softwareVersion: string
  readonly storeAddress: string
  readonly heartbeatMilliseconds: number
  /** Whether its version is bad: a part of its answers are failures. */
  readonly isBad: boolean
}

const defaultEvents = 8
const defaultGapMilliseconds = 60
const defaultWorkMilliseconds = 30
const defaultAnswerBytes = 200
const failingShare = 0.5
const confidence = '90'

/** One run of a request. */
class Run {
  readonly #request: ReceivedRequest
  readonly #response: ServerResponse
  readonly #options: EndpointRoleOptions
  readonly #startedAt = Date.now()
  /** The fault that applies to this run; undefined if it is to be answered. */
  readonly #fault: EndpointFault | undefined

  constructor (request: ReceivedRequest, response: ServerResponse, options: EndpointRoleOptions, fault: EndpointFault | undefined) {
    this.#request = request
    this.#response = response
    this.#options = options
    this.#fault = fault
    writeLine({ type: 'run_started', request: this.#id, endpoint: options.identity, service: options.service, path: request.path, startedAt: this.#startedAt } satisfies RunStartRecord)
    // A silent endpoint writes nothing, so its side of the connection stays open after the other has gone.
    const end = () => {
      response.off('close', end)
      response.req.socket.off('end', end)
      this.#record()
    }
    response.on('close', end)
    response.req.socket.on('end', end)
  }

  async serve (): Promise<void> {
    if (this.#fault === EndpointFault.ResetRequest) return this.#reset()
    const isFailing = this.#fault === EndpointFault.Fail || this.#options.isBad
    if (isFailing && hashFraction(this.#id) < failingShare) {
      this.#response.writeHead(500).end('failed')
      return
    }
    if (this.#options.isEngine) await this.#stream()
    else await this.#answer()
  }

  get #id (): string {
    return String(this.#request.headers['attempt-id'] ?? '')
  }

  async #stream (): Promise<void> {
    const total = this.#parameter('events', defaultEvents)
    const first = Number(this.#request.headers['last-event-id'] ?? 0) + 1
    this.#response.writeHead(200, { 'content-type': 'text/event-stream', confidence })
    for (let number = first; number <= total; number++) {
      if (this.#fault === EndpointFault.BreakOff && number > total / 2) return this.#reset()
      await sleep(this.#parameter('gap', defaultGapMilliseconds))
      if (this.#response.destroyed) return
      this.#response.write(`id: ${number}\ndata: ${this.#id} ${number}/${total}\n\n`)
    }
    this.#response.end()
  }

  async #answer (): Promise<void> {
    if (this.#fault !== EndpointFault.AnswerEarly) await sleep(this.#parameter('work', defaultWorkMilliseconds))
    if (this.#response.destroyed) return
    const body = this.#id.padEnd(this.#parameter('bytes', defaultAnswerBytes), '.')
    this.#response.writeHead(200, { 'content-type': 'text/plain', 'content-length': body.length })
    if (this.#fault !== EndpointFault.BreakOff) {
      this.#response.end(body)
      return
    }
    this.#response.write(body.slice(0, body.length / 2))
    await sleep(defaultWorkMilliseconds)
    this.#reset()
  }

  #parameter (name: string, standard: number): number {
    const text = new URL(this.#request.path, 'http://endpoint').searchParams.get(name)
    return text === null ? standard : Number(text)
  }

  #reset (): void {
    this.#response.socket?.resetAndDestroy()
  }

  #record (): void {
    const isFaulty = this.#fault === EndpointFault.ResetRequest || this.#fault === EndpointFault.BreakOff
    const unfinished = isFaulty ? RunEnd.Faulty : RunEnd.Abandoned
    writeLine({
      type: 'run',
      request: this.#id,
      endpoint: this.#options.identity,
      service: this.#options.service,
      softwareVersion: this.#options.softwareVersion,
      path: this.#request.path,
      startedAt: this.#startedAt,
      endedAt: Date.now(),
      end: this.#response.writableFinished ? RunEnd.Answered : unfinished,
      status: this.#response.headersSent ? this.#response.statusCode : undefined,
      resumedAfter: this.#request.headers['last-event-id']?.toString()
    } satisfies RunRecord)
  }
}

/** Runs an endpoint until the soak ends it. */
export async function runEndpoint (options: EndpointRoleOptions): Promise<void> {
  const endpoint = await EndpointStandIn.start(options.host, options.identity)
  const faultEnds = new Map<EndpointFault, number>()
  let registration: EndpointRegistration | undefined
  endpoint.handleWith(async (request, response) => {
    endpoint.received.length = 0
    const [fault] = [...faultEnds].find(([, until]) => until > Date.now()) ?? []
    await new Run(request, response, options, fault).serve()
  })

  function cause (fault: EndpointFault, milliseconds: number): void {
    if (fault === EndpointFault.FallSilent) return endpoint.pauseFor(milliseconds)
    faultEnds.set(fault, Date.now() + milliseconds)
    if (fault !== EndpointFault.AnswerEarly) return
    endpoint.answerEarly(true)
    setTimeout(() => endpoint.answerEarly((faultEnds.get(fault) ?? 0) > Date.now()), milliseconds + 1)
  }

  async function register (address: string): Promise<void> {
    registration = new EndpointRegistration(options.storeAddress, { ...options, address })
    await registration.start()
  }

  followOrders<EndpointOrder>(endpoint.address, order => {
    if (order.order === 'fault') return cause(order.fault, order.milliseconds)
    return order.order === 'register' ? register(order.address) : registration?.drain()
  })
}

function writeLine (record: object): void {
  process.stdout.write(`${JSON.stringify(record)}\n`)
}
