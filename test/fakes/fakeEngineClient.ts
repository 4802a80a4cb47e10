/**
 * An in-process model engine that implements the engine client's interface. A script decides the
 * fault of each attempt, and `runs` records what really ran. Faults below this interface (duplicated,
 * misdirected or missing frames, silent connections) are injected by the fake network instead.
 */
import { type Clock, type EndpointDescription, Err, type LoadReport, Ok, type Result, type VersionName } from '../../src/contract/index.ts'
import { AttemptFailure, type EngineCall, type EngineClient, type EngineEvent, type EngineOrder, DeliveryState } from '../../src/endpoint/index.ts'
import { readRateAnnouncement } from '../../src/rateLimit/index.ts'

/** The fault of one attempt. */
export const EngineFault = {
  None: 'answer',
  /** The connection is refused; the attempt never runs. */
  Unreachable: 'unreachable',
  /** The engine rejects the attempt with a complete response. */
  Refuse: 'refuse',
  /** The request is lost before it runs; the client can't tell. */
  LoseRequest: 'lose_request',
  /** The engine fails after `chunksBeforeFailure` chunks. */
  DieAfter: 'die_after'
} as const
export type EngineFault = typeof EngineFault[keyof typeof EngineFault]

/** The fault of one attempt and its timing. */
export interface ScriptedEngineFault {
  readonly fault: EngineFault
  /** Time until the first chunk or the failure. */
  readonly firstChunkDelayMilliseconds?: number
  /** Time between two chunks. */
  readonly chunkIntervalMilliseconds?: number
  /** Chunks that are sent before `DieAfter` takes effect. */
  readonly chunksBeforeFailure?: number
}

/** An attempt that reached the engine. */
export interface FakeEngineRun {
  readonly endpoint: string
  readonly attemptId: string
  readonly version: VersionName
  /** Clock time in milliseconds. */
  readonly startedAt: number
}

const answerTokenCount = 8
const streamLimit = 32
const prefillTokensPerSecond = 16_000
const betweenTokensMilliseconds = 6

export class FakeEngineClient implements EngineClient {
  /** All attempts that reached an engine, in order. */
  readonly runs: FakeEngineRun[] = []
  /** Orders that were executed. */
  readonly orders: EngineOrder[] = []
  /** Endpoints whose load reports say that they are leaving. */
  readonly leavingEndpoints = new Set<string>()
  /** Decides the fault of each attempt. */
  script: (call: EngineCall, endpoint: EndpointDescription) => ScriptedEngineFault = () => ({ fault: EngineFault.None })
  /** The requests a second that an engine announces; undefined if it announces none. */
  limitOf: (endpoint: EndpointDescription) => number | undefined = () => undefined
  readonly #clock: Clock
  readonly #loadedVersions = new Map<string, Set<VersionName>>()
  readonly #highestFencing = new Map<string, number>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** The text of the complete answer to a call. */
  expectedText (call: EngineCall): string {
    return Array.from({ length: tokenCountOf(call) }, (_, index) => tokenText(call, index)).join('')
  }

  async * generate (endpoint: EndpointDescription, call: EngineCall, signal: AbortSignal): AsyncGenerator<EngineEvent, void, undefined> {
    const scripted = this.script(call, endpoint)
    await this.#clock.sleep(scripted.firstChunkDelayMilliseconds ?? 0, signal)
    if (scripted.fault === EngineFault.Unreachable || signal.aborted) return yield failure(DeliveryState.NotSent, 'not sent')
    if (scripted.fault === EngineFault.Refuse || !this.#versionsOf(endpoint).has(call.version)) return yield failure(DeliveryState.Rejected, 'status 503')
    if (call.gate?.trySend() === false) return yield failure(DeliveryState.NotSent, 'held back')
    call.gate?.recordResponse(readRateAnnouncement(this.limitOf(endpoint) === undefined ? [] : [String(this.limitOf(endpoint))]), true)
    if (scripted.fault === EngineFault.LoseRequest) return yield failure(DeliveryState.PossiblySent, 'lost')
    this.runs.push({ endpoint: endpoint.name, attemptId: call.attemptId, version: call.version, startedAt: this.#clock.now() })
    const count = tokenCountOf(call)
    for (let offset = 0; offset < count; offset++) {
      if (scripted.fault === EngineFault.DieAfter && offset >= (scripted.chunksBeforeFailure ?? 0)) return yield failure(DeliveryState.PossiblySent, 'died')
      yield { type: 'chunk', chunk: { offset, text: tokenText(call, offset), tokens: 1 } }
      await this.#clock.sleep(scripted.chunkIntervalMilliseconds ?? 0, signal)
      if (signal.aborted) return yield failure(DeliveryState.PossiblySent, 'cancelled')
    }
    const reason = count < answerTokenCount ? 'length' : 'stop'
    yield { type: 'finish', finish: { reason, usage: { promptTokens: 10, cachedPromptTokens: 0, completionTokens: count } } }
  }

  async report (endpoint: EndpointDescription): Promise<Result<LoadReport, AttemptFailure>> {
    await this.#clock.sleep(0)
    return Ok({
      at: this.#clock.now(),
      incarnation: 1,
      versions: [...this.#versionsOf(endpoint)],
      running: 0,
      queued: 0,
      queuedPromptTokens: 0,
      streamLimit,
      prefillTokensPerSecond,
      betweenTokensMilliseconds,
      leaving: this.leavingEndpoints.has(endpoint.name)
    })
  }

  async order (endpoint: EndpointDescription, order: EngineOrder): Promise<Result<void, AttemptFailure>> {
    await this.#clock.sleep(0)
    const highest = this.#highestFencing.get(endpoint.name) ?? 0
    if (endpoint.checksFencing && order.fencing < highest) return Err(new AttemptFailure(DeliveryState.Rejected, 'status 409'))
    this.#highestFencing.set(endpoint.name, Math.max(highest, order.fencing))
    this.orders.push(order)
    const versions = this.#versionsOf(endpoint)
    if (order.action === 'load') versions.add(order.version)
    else versions.delete(order.version)
    return Ok(undefined)
  }

  #versionsOf (endpoint: EndpointDescription): Set<VersionName> {
    const versions = this.#loadedVersions.get(endpoint.name) ?? new Set(endpoint.versions)
    this.#loadedVersions.set(endpoint.name, versions)
    return versions
  }
}

function tokenCountOf (call: EngineCall): number {
  return Math.min(answerTokenCount, call.maximumTokens)
}

function tokenText (call: EngineCall, index: number): string {
  return `${call.attemptId}#${index} `
}

function failure (delivery: DeliveryState, reason: string): EngineEvent {
  return { type: 'failure', failure: new AttemptFailure(delivery, reason) }
}
