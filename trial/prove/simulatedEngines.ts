/**
 * Simulated engines that record every attempt and every executed order, and the client of each daemon.
 * Streams go through the production engine client over the fake network; load reports and orders are
 * answered here.
 */
import type { Dispatcher } from 'undici'
import { type Clock, type EndpointDescription, Err, type LoadReport, Ok, type Randomness, type Result, type VersionName } from '../../src/contract/index.ts'
import { AttemptFailure, type ConnectionFactory, type EngineCall, type EngineClient, type EngineOrder, HttpEngineClient, DeliveryState } from '../../src/endpoint/index.ts'
import { FakeEngineServer } from '../../test/fakes/fakeEngineServer.ts'
import { FakeHttpNetwork, type NetworkRequest } from '../../test/fakes/fakeNetwork.ts'
import type { Mechanism } from './mechanisms.ts'
import type { ProcessGate } from './processGate.ts'

/** One attempt, recorded by its engine. */
export interface EngineRun {
  readonly request: string
  readonly attemptId: string
  readonly version: VersionName
  readonly endpoint: string
  readonly at: number
}

/** One order, recorded by the engine that executed it. */
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

export class SimulatedEngines {
  readonly network: FakeHttpNetwork
  readonly runs: EngineRun[] = []
  readonly orders: ExecutedOrder[] = []
  /** Share of orders at which the steward's process is frozen between its lease check and the send, 0 to 1. */
  orderFreezeShare = 0
  /** Freezes the process of a daemon. */
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

  add (name: string, address: string, versions: readonly VersionName[]): void {
    const server = new FakeEngineServer(this.#clock, { tokenCount: tokensPerAnswer, tokenIntervalMilliseconds: betweenTokensMilliseconds })
    this.#engines.set(name, { server, loaded: new Set(versions), isLeaving: false, incarnation: 1, fencing: 0 })
    this.network.serve(address, { handleRequest: request => this.#handleRequest(name, server, request) })
  }

  /** The complete answer of an attempt. */
  textOf (run: EngineRun): string {
    return this.#engines.get(run.endpoint)?.server.expectedText(run.attemptId) ?? ''
  }

  /** Makes an engine report that it is leaving. */
  markLeaving (name: string): void {
    const engine = this.#engines.get(name)
    if (engine !== undefined) engine.isLeaving = true
  }

  /** Restarts an engine that has left, under a new incarnation. */
  restart (name: string): void {
    const engine = this.#engines.get(name)
    if (engine === undefined) return
    engine.isLeaving = false
    engine.incarnation += 1
  }

  /** The engine client of one daemon. */
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
    if (engine === undefined || !isReachable(endpoint.address)) return Err(new AttemptFailure(DeliveryState.NotSent, 'engine is not reachable'))
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
    if (engine === undefined || !isReachable(endpoint.address)) return Err(new AttemptFailure(DeliveryState.NotSent, 'engine is not reachable'))
    const isStale = order.fencing < engine.fencing
    if (isStale && this.#disabledMechanism !== 'fencing') return Err(new AttemptFailure(DeliveryState.Rejected, 'order has a stale fencing number'))
    engine.fencing = Math.max(engine.fencing, order.fencing)
    this.orders.push({ endpoint: endpoint.name, fencing: order.fencing, daemon, at: this.#clock.now() })
    if (order.action === 'load') engine.loaded.add(order.version)
    else engine.loaded.delete(order.version)
    return Ok(undefined)
  }
}

const unreachableAddress = '0.0.0.0:0'

/** The connections of one process: a frozen process writes late, a dead one never, and unreachable addresses refuse new connections. */
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
