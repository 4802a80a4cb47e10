/**
 * Engines with one record of what they ran and which orders they carried out, and each daemon's client
 * of them. Streams go through the program's own engine client over the fake network; reports and
 * orders are answered here.
 */
import type { Dispatcher } from 'undici'
import { type Clock, type EndpointDescription, Err, type LoadReport, Ok, type Randomness, type Result, type VersionName } from '../../src/contract/index.ts'
import { AttemptFailure, type ConnectionFactory, type EngineCall, type EngineClient, type EngineOrder, HttpEngineClient, DeliveryState } from '../../src/endpoint/index.ts'
import { FakeEngineServer } from '../../test/fakes/fakeEngineServer.ts'
import { FakeNetwork, type NetworkRequest } from '../../test/fakes/fakeNetwork.ts'
import type { Mechanism } from './mechanisms.ts'
import type { ProcessGate } from './processGate.ts'

/** One attempt as the engine saw it. */
export interface EngineRun {
  readonly request: string
  readonly attemptId: string
  readonly version: VersionName
  readonly endpoint: string
  readonly at: number
}

/** One order as the engine carried it out. */
export interface CarriedOrder {
  readonly endpoint: string
  readonly fencing: number
  readonly daemon: string
  readonly at: number
}

interface Engine {
  readonly server: FakeEngineServer
  readonly loaded: Set<VersionName>
  isLeaving: boolean
  incarnation: number
  fencing: number
}

const tokensOfAnswer = 90
const betweenTokensMilliseconds = 40
const silenceMilliseconds = 1_000
const connectTimeoutMilliseconds = 500
const reportMilliseconds = 20
const orderMilliseconds = 200
const frozenInOrderMilliseconds = 20_000
const neverMilliseconds = 1e9

/** The engines. */
export class EngineFarm {
  readonly network: FakeNetwork
  readonly runs: EngineRun[] = []
  readonly orders: CarriedOrder[] = []
  /** The share of orders at which the steward's process is frozen between its check and the send. */
  frozenOrderShare = 0
  /** Freezes a daemon for so many milliseconds. */
  freezeDaemon: (daemon: string, milliseconds: number) => void = () => {}
  readonly #clock: Clock
  readonly #randomness: Randomness
  readonly #without: Mechanism | undefined
  readonly #engines = new Map<string, Engine>()

  constructor (clock: Clock, randomness: Randomness, without: Mechanism | undefined) {
    this.#clock = clock
    this.#randomness = randomness
    this.#without = without
    this.network = new FakeNetwork(clock)
  }

  /** Starts an engine at its address. */
  add (name: string, address: string, versions: readonly VersionName[]): void {
    const server = new FakeEngineServer(this.#clock, { tokens: tokensOfAnswer, betweenTokens: betweenTokensMilliseconds })
    this.#engines.set(name, { server, loaded: new Set(versions), isLeaving: false, incarnation: 1, fencing: 0 })
    this.network.serve(address, { answer: request => this.#answer(name, server, request) })
  }

  /** The whole answer of an attempt. */
  textOf (run: EngineRun): string {
    return this.#engines.get(run.endpoint)?.server.textOf(run.attemptId) ?? ''
  }

  /** An engine says that it is leaving. */
  leave (name: string): void {
    const engine = this.#engines.get(name)
    if (engine !== undefined) engine.isLeaving = true
  }

  /** An engine that left is started anew. */
  comeBack (name: string): void {
    const engine = this.#engines.get(name)
    if (engine === undefined) return
    engine.isLeaving = false
    engine.incarnation += 1
  }

  /** The client of one daemon. */
  clientFor (daemon: string, clock: Clock, gate: ProcessGate, reaches: (address: string) => boolean): EngineClient {
    const streams = new HttpEngineClient({
      clock,
      connectTimeoutMilliseconds,
      inactivityTimeoutMilliseconds: this.#without === 'silence-detection' ? neverMilliseconds : silenceMilliseconds,
      ...(this.#without === 'resume' ? { maximumResumes: 0 } : {}),
      connectionFactory: new GatedSource(this.network, gate, reaches)
    })
    return {
      generate: (endpoint, call, signal) => streams.generate(endpoint, call, signal),
      report: endpoint => gate.step(() => this.#report(endpoint, clock, reaches)),
      order: (endpoint, order) => this.#order(daemon, endpoint, order, gate, reaches)
    }
  }

  #answer (name: string, server: FakeEngineServer, request: NetworkRequest) {
    if (request.method === 'POST') {
      const call = JSON.parse(request.body) as Pick<EngineCall, 'messages'> & { readonly model: VersionName }
      this.runs.push({ request: call.messages[0]?.content ?? '', attemptId: request.headers['x-attempt-id'] ?? '', version: call.model, endpoint: name, at: this.#clock.now() })
    }
    return server.answer(request)
  }

  async #report (endpoint: EndpointDescription, clock: Clock, reaches: (address: string) => boolean): Promise<Result<LoadReport, AttemptFailure>> {
    await clock.sleep(reportMilliseconds)
    const engine = this.#engines.get(endpoint.name)
    if (engine === undefined || !reaches(endpoint.address)) return Err(new AttemptFailure(DeliveryState.NotSent, 'no connection'))
    return Ok({
      at: this.#clock.now(),
      incarnation: engine.incarnation,
      versions: [...engine.loaded],
      running: 0,
      queued: 0,
      queuedPromptTokens: 0,
      streamLimit: 32,
      prefillTokensPerSecond: 16_000,
      betweenTokensMilliseconds,
      leaving: engine.isLeaving && this.#without !== 'leaving-mark'
    })
  }

  async #order (daemon: string, endpoint: EndpointDescription, order: EngineOrder, gate: ProcessGate, reaches: (address: string) => boolean): Promise<Result<void, AttemptFailure>> {
    if (this.#randomness.fraction() < this.frozenOrderShare) this.freezeDaemon(daemon, frozenInOrderMilliseconds)
    await gate.pass()
    await this.#clock.sleep(orderMilliseconds)
    const engine = this.#engines.get(endpoint.name)
    if (engine === undefined || !reaches(endpoint.address)) return Err(new AttemptFailure(DeliveryState.NotSent, 'no connection'))
    const isOld = order.fencing < engine.fencing
    if (isOld && this.#without !== 'fencing') return Err(new AttemptFailure(DeliveryState.Rejected, 'an old fencing number'))
    engine.fencing = Math.max(engine.fencing, order.fencing)
    this.orders.push({ endpoint: endpoint.name, fencing: order.fencing, daemon, at: this.#clock.now() })
    if (order.action === 'load') engine.loaded.add(order.version)
    else engine.loaded.delete(order.version)
    return Ok(undefined)
  }
}

const nowhere = '0.0.0.0:0'

/** Connections of one process: a frozen one writes late, a dead one never, and a cut refuses new ones. */
class GatedSource implements ConnectionFactory {
  readonly #network: FakeNetwork
  readonly #gate: ProcessGate
  readonly #reaches: (address: string) => boolean

  constructor (network: FakeNetwork, gate: ProcessGate, reaches: (address: string) => boolean) {
    this.#network = network
    this.#gate = gate
    this.#reaches = reaches
  }

  createPool (address: string) {
    return { ...this.createSingleUse(address), activeCount: 1, close: async () => {}, destroy: async () => {} }
  }

  createSingleUse (address: string): Pick<Dispatcher, 'dispatch'> {
    const connection = this.#network.createSingleUse(address)
    const refusing = this.#network.createSingleUse(nowhere)
    return {
      dispatch: (options, handler) => {
        if (this.#gate.isDead) return true
        if (!this.#gate.isFrozen) return (this.#reaches(address) ? connection : refusing).dispatch(options, handler)
        this.#gate.pass().then(() => connection.dispatch(options, handler))
        return true
      }
    }
  }
}
