/**
 * Engines with one record of what they ran and which orders they carried out, and each daemon's client
 * of them. Streams go through the program's own engine client over the fake network; reports and
 * orders are answered here.
 */
import type { Dispatcher } from 'undici'
import { type Clock, type EndpointDescription, Err, type LoadReport, Ok, type Randomness, type Result, type VersionName } from '../../src/contract/index.ts'
import { AttemptFailure, type ConnectionFactory, type EngineCall, type EngineClient, type EngineOrder, HttpEngineClient, DeliveryState } from '../../src/endpoint/index.ts'
import { FakeEngineServer } from '../../test/fakes/fakeEngineServer.ts'
import { FakeHttpNetwork, type NetworkRequest } from '../../test/fakes/fakeNetwork.ts'
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
export interface ExecutedOrder {
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

const tokensPerAnswer = 90
const betweenTokensMilliseconds = 40
const inactivityTimeoutMilliseconds = 1_000
const connectTimeoutMilliseconds = 500
const reportLatencyMilliseconds = 20
const orderLatencyMilliseconds = 200
const orderFreezeMilliseconds = 20_000
const unlimitedMilliseconds = 1e9

/** The engines. */
export class SimulatedEngines {
  readonly network: FakeHttpNetwork
  readonly runs: EngineRun[] = []
  readonly orders: ExecutedOrder[] = []
  /** The share of orders at which the steward's process is frozen between its check and the send. */
  orderFreezeShare = 0
  /** Freezes a daemon for so many milliseconds. */
  freezeDaemon: (daemon: string, milliseconds: number) => void = () => {}
  readonly #clock: Clock
  readonly #randomness: Randomness
  readonly #disabledMechanism: Mechanism | undefined
  readonly #engines = new Map<string, Engine>()

  constructor (clock: Clock, randomness: Randomness, disabledMechanism: Mechanism | undefined) {
    this.#clock = clock
    this.#randomness = randomness
    this.#disabledMechanism = disabledMechanism
    this.network = new FakeHttpNetwork(clock)
  }

  /** Starts an engine at its address. */
  add (name: string, address: string, versions: readonly VersionName[]): void {
    const server = new FakeEngineServer(this.#clock, { tokenCount: tokensPerAnswer, tokenIntervalMilliseconds: betweenTokensMilliseconds })
    this.#engines.set(name, { server, loaded: new Set(versions), isLeaving: false, incarnation: 1, fencing: 0 })
    this.network.serve(address, { handleRequest: request => this.#handleRequest(name, server, request) })
  }

  /** The whole answer of an attempt. */
  textOf (run: EngineRun): string {
    return this.#engines.get(run.endpoint)?.server.expectedText(run.attemptId) ?? ''
  }

  /** An engine says that it is leaving. */
  markLeaving (name: string): void {
    const engine = this.#engines.get(name)
    if (engine !== undefined) engine.isLeaving = true
  }

  /** An engine that left is started anew. */
  restart (name: string): void {
    const engine = this.#engines.get(name)
    if (engine === undefined) return
    engine.isLeaving = false
    engine.incarnation += 1
  }

  /** The client of one daemon. */
  clientFor (daemon: string, clock: Clock, gate: ProcessGate, isReachable: (address: string) => boolean): EngineClient {
    const streams = new HttpEngineClient({
      clock,
      connectTimeoutMilliseconds,
      inactivityTimeoutMilliseconds: this.#disabledMechanism === 'silence-detection' ? unlimitedMilliseconds : inactivityTimeoutMilliseconds,
      ...(this.#disabledMechanism === 'resume' ? { maximumResumes: 0 } : {}),
      connectionFactory: new GatedConnectionFactory(this.network, gate, isReachable)
    })
    return {
      generate: (endpoint, call, signal) => streams.generate(endpoint, call, signal),
      report: endpoint => gate.runStep(() => this.#report(endpoint, clock, isReachable)),
      order: (endpoint, order) => this.#order(daemon, endpoint, order, gate, isReachable)
    }
  }

  #handleRequest (name: string, server: FakeEngineServer, request: NetworkRequest) {
    if (request.method === 'POST') {
      const call = JSON.parse(request.body) as Pick<EngineCall, 'messages'> & { readonly model: VersionName }
      this.runs.push({ request: call.messages[0]?.content ?? '', attemptId: request.headers['x-attempt-id'] ?? '', version: call.model, endpoint: name, at: this.#clock.now() })
    }
    return server.handleRequest(request)
  }

  async #report (endpoint: EndpointDescription, clock: Clock, isReachable: (address: string) => boolean): Promise<Result<LoadReport, AttemptFailure>> {
    await clock.sleep(reportLatencyMilliseconds)
    const engine = this.#engines.get(endpoint.name)
    if (engine === undefined || !isReachable(endpoint.address)) return Err(new AttemptFailure(DeliveryState.NotSent, 'no connection'))
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
      leaving: engine.isLeaving && this.#disabledMechanism !== 'leaving-mark'
    })
  }

  async #order (daemon: string, endpoint: EndpointDescription, order: EngineOrder, gate: ProcessGate, isReachable: (address: string) => boolean): Promise<Result<void, AttemptFailure>> {
    if (this.#randomness.fraction() < this.orderFreezeShare) this.freezeDaemon(daemon, orderFreezeMilliseconds)
    await gate.waitUntilRunning()
    await this.#clock.sleep(orderLatencyMilliseconds)
    const engine = this.#engines.get(endpoint.name)
    if (engine === undefined || !isReachable(endpoint.address)) return Err(new AttemptFailure(DeliveryState.NotSent, 'no connection'))
    const isStale = order.fencing < engine.fencing
    if (isStale && this.#disabledMechanism !== 'fencing') return Err(new AttemptFailure(DeliveryState.Rejected, 'an old fencing number'))
    engine.fencing = Math.max(engine.fencing, order.fencing)
    this.orders.push({ endpoint: endpoint.name, fencing: order.fencing, daemon, at: this.#clock.now() })
    if (order.action === 'load') engine.loaded.add(order.version)
    else engine.loaded.delete(order.version)
    return Ok(undefined)
  }
}

const unreachableAddress = '0.0.0.0:0'

/** Connections of one process: a frozen one writes late, a dead one never, and a cut refuses new ones. */
class GatedConnectionFactory implements ConnectionFactory {
  readonly #network: FakeHttpNetwork
  readonly #gate: ProcessGate
  readonly #isReachable: (address: string) => boolean

  constructor (network: FakeHttpNetwork, gate: ProcessGate, isReachable: (address: string) => boolean) {
    this.#network = network
    this.#gate = gate
    this.#isReachable = isReachable
  }

  createPool (address: string) {
    return { ...this.createSingleUse(address), activeCount: 1, close: async () => {}, destroy: async () => {} }
  }

  createSingleUse (address: string): Pick<Dispatcher, 'dispatch'> {
    const connection = this.#network.createSingleUse(address)
    const unreachable = this.#network.createSingleUse(unreachableAddress)
    return {
      dispatch: (options, handler) => {
        if (this.#gate.isDead) return true
        if (!this.#gate.isFrozen) return (this.#isReachable(address) ? connection : unreachable).dispatch(options, handler)
        this.#gate.waitUntilRunning().then(() => connection.dispatch(options, handler))
        return true
      }
    }
  }
}
