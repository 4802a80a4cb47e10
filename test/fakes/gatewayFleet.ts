/** Gateways on virtual time that share simulated engines; each knows only its own requests. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { PassThrough, Readable, Writable } from 'node:stream'
import { PlatformHeaders } from '../../platform/index.ts'
import { EndpointRuns, PromptBreaker } from '../../src/breaker/index.ts'
import { type Clock, type RetryLimits, SeededRandomness } from '../../src/contract/index.ts'
import { type ConnectionPool, Connections } from '../../src/endpoint/index.ts'
import { EndpointAnnouncements, EndpointLiveness, Forwarding, GatewayMetrics, PlannedStop, RollOutView, RoutingView } from '../../src/gateway/index.ts'
import { ConnectionOutcome } from '../../src/httpClient/index.ts'
import { Log } from '../../src/observe/index.ts'
import { EndpointEligibility, Evacuations, EndpointLoads, EndpointPlacement, EndpointRegistry, ModelCascade, RetryBudget, RunDurations, VersionSelector } from '../../src/placement/index.ts'
import { AnnouncedLimits, PlaceQueues } from '../../src/rateLimit/index.ts'
import { type Route, type RoutingSettings, RouteType } from '../../src/routing/index.ts'
import { HeldBytes } from '../../src/server/index.ts'
import { limitsOf, noWarmUps } from './limitWorld.ts'
import { ManualClock } from './manualClock.ts'
import { noMisdirected } from './misdirection.ts'
import { StreamEngine, connectTimeoutMilliseconds } from './streamEngine.ts'

export const place = { region: 'coast', dataCentre: 'west' }
export const engineService = 'engines'
const sessionTimeoutMilliseconds = 6_500
const retrySlackPerGateway = 3

/** A route of streams that may be resumed, with models of three sizes. */
export const queryRoute: Route = {
  name: 'query',
  host: 'desk.example',
  prefix: '/query/',
  type: RouteType.Stream,
  isResumable: true,
  services: [{ service: engineService, weight: 1 }],
  timeoutMilliseconds: 20_000,
  latencyTargetMilliseconds: 1_500,
  maximumEventGapMilliseconds: 1_200,
  priority: 0,
  maximumAttempts: 3,
  isPublic: true,
  modelSizes: ['small', 'medium', 'large'],
  allowedRegions: undefined
}

/** A less urgent route with long prompts. */
export const summaryRoute: Route = { ...queryRoute, name: 'summary', prefix: '/summary/', latencyTargetMilliseconds: 3_000, priority: 1 }

/** A route of plain calls that may be repeated. */
export const balanceRoute: Route = { ...queryRoute, name: 'balance', prefix: '/balance/', type: RouteType.Idempotent, isResumable: false, modelSizes: [] }

function settingsWith (timeoutMilliseconds: number): RoutingSettings {
  return {
    version: 1,
    routes: [queryRoute, summaryRoute, balanceRoute].map(route => ({ ...route, timeoutMilliseconds })),
    services: new Map([[engineService, { name: engineService, models: [{ name: 'small', cost: 0.015 }, { name: 'medium', cost: 0.11 }, { name: 'large', cost: 0.22 }], warmUp: undefined }]]),
    requiresApiKey: false,
    organisationsByApiKey: new Map(),
    limits: { maximumHeaderBytes: 16_384, maximumBodyBytes: 1_000_000, headerTimeoutMilliseconds: 5_000, idleTimeoutMilliseconds: 30_000 }
  }
}

export interface GatewayFleetOptions {
  readonly gateways: number
  readonly engines: number
  readonly slots: number
  readonly queueLimit: number
  /** Relative duration of an engine's step, by model. */
  readonly paces: Readonly<Record<string, number>>
  readonly seed: number
  /** Longest time of a request, by the routes. */
  readonly timeoutMilliseconds?: number
  readonly retryLimits?: RetryLimits
}

/** A line of the log with the fields that tests read. */
export interface EndedLine {
  readonly event: string
  readonly request: string
  readonly outcome: string
  readonly attempts: readonly string[]
  readonly [field: string]: unknown
}

/** What a caller got. */
export interface CallOutcome {
  readonly status: number | undefined
  readonly retryAfterMilliseconds: number
  readonly events: number
  readonly isComplete: boolean
}

export class GatewayFleet {
  readonly clock = new ManualClock()
  readonly engines: readonly StreamEngine[]
  readonly lines: EndedLine[] = []
  /** The planned stop of each gateway. */
  readonly stops: PlannedStop[] = []
  readonly #gateways: readonly Forwarding[]
  readonly #registries: EndpointRegistry[] = []
  readonly #leaving = new Set<StreamEngine>()
  readonly #retryBudget: () => RetryBudget

  constructor (options: GatewayFleetOptions) {
    const { clock } = this
    this.#retryBudget = () => new RetryBudget(options.retryLimits ?? { ratio: 0.9, windowMilliseconds: 10_000, slack: retrySlackPerGateway * options.gateways }, () => 1 / options.gateways)
    this.engines = Array.from({ length: options.engines }, (_, index) => new StreamEngine({ ...options, clock, endpoint: endpointNumber(index) }))
    this.#gateways = Array.from({ length: options.gateways }, (_, index) => this.#startGateway(options.seed * 1_000 + index, options.timeoutMilliseconds ?? queryRoute.timeoutMilliseconds))
    this.#register(this.engines)
  }

  get gatewayCount (): number {
    return this.#gateways.length
  }

  get hasFreeSlot (): boolean {
    return this.engines.some(engine => engine.hasFreeSlot)
  }

  /** Lets an engine leave as planned: gateways stop sending to it, and what still runs there breaks off after the drain. */
  drainEngine (leaving: StreamEngine, drainMilliseconds: number): void {
    this.#leaving.add(leaving)
    this.#register(this.engines.filter(engine => !this.#leaving.has(engine)))
    this.clock.schedule(drainMilliseconds, () => leaving.stop())
  }

  /** Sends a request to a gateway; a caller that aborts has left. */
  async call (gateway: number, path: string, headers: Readonly<Record<string, string>>, left?: AbortSignal): Promise<CallOutcome> {
    const response = new RecordedResponse()
    left?.addEventListener('abort', () => response.destroy(), { once: true })
    const request = Object.assign(Readable.from([]), { method: 'POST', url: path, headers: { host: queryRoute.host, ...headers }, rawHeaders: [], complete: true })
    await this.#gateways[gateway]!.handle(request as unknown as IncomingMessage, response as unknown as ServerResponse)
    return response.outcome
  }

  #register (engines: readonly StreamEngine[]): void {
    const endpoints = engines.map(({ options }) => options.endpoint)
    for (const registry of this.#registries) registry.update({ endpoints, wasStoreUnavailable: false, now: this.clock.now() })
  }

  #startGateway (seed: number, timeoutMilliseconds: number): Forwarding {
    const { clock } = this
    const randomness = new SeededRandomness(seed)
    const log = new Log('info', {}, line => this.lines.push(JSON.parse(line)))
    this.stops.push(new PlannedStop(clock))
    const [routing, registry, loads, announcedLimits, misdirected] = [new RoutingView(), new EndpointRegistry(() => clock.heldUpMilliseconds()), new EndpointLoads(() => undefined, () => clock.heldUpMilliseconds()), new AnnouncedLimits(), noMisdirected()]
    const limits = limitsOf(announcedLimits)
    const breaker = new PromptBreaker({ name: `gateway-${seed}`, onChange: () => undefined })
    routing.install(settingsWith(timeoutMilliseconds))
    this.#registries.push(registry)
    return new Forwarding({
      clock,
      log,
      metrics: new GatewayMetrics(),
      codec: new PlatformHeaders(),
      routing,
      registry,
      eligibility: new EndpointEligibility(registry, new Evacuations(), misdirected),
      misdirected,
      loads,
      placement: new EndpointPlacement(place, loads, randomness, limits),
      limits,
      placeQueues: new PlaceQueues(clock),
      liveness: new EndpointLiveness({ probe: async () => ConnectionOutcome.Accepted, checkMilliseconds: connectTimeoutMilliseconds, loads, registry, clock }),
      plannedStop: this.stops.at(-1)!,
      heldBytes: new HeldBytes({ maximumBytes: 100_000_000, clock }),
      heldAnswers: new HeldBytes({ maximumBytes: 100_000_000, clock }),
      modelCascade: new ModelCascade(),
      retryBudget: this.#retryBudget(),
      runDurations: new RunDurations(),
      breaker,
      runs: new EndpointRuns({ name: `gateway-${seed}`, breaker, hasCrashed: async () => false, onNews: () => undefined, clock, log }),
      announcements: new EndpointAnnouncements({ registry, loads, announcedLimits, misdirected, warmUps: noWarmUps(), onNews: () => undefined, clock, randomness, log }),
      versionSelector: new VersionSelector(sessionTimeoutMilliseconds),
      rollOuts: new RollOutView(`gateway-${seed}`, 0.15, () => clock.now(), () => clock.heldUpMilliseconds()),
      connections: connectionsTo(clock, this.engines),
      untilTablesAreRead: async () => undefined
    })
  }
}

function endpointNumber (index: number) {
  return { identity: `e${index}`, bornAt: 1, service: engineService, address: `10.0.0.${index}:1`, place, version: 'v1', isDraining: false, models: [] }
}

/** Leads the exchanges of a gateway to the simulated engines. */
function connectionsTo (clock: Clock, engines: readonly StreamEngine[]): Connections {
  const engineAt = (address: string) => engines.find(engine => engine.options.endpoint.address === address)!
  const createPool = (address: string): ConnectionPool => ({
    activeCount: 1,
    dispatch: (options, handler) => engineAt(address).dispatch(options, handler),
    close: async () => undefined,
    destroy: async () => undefined
  })
  return new Connections({ clock, connectTimeoutMilliseconds, connectionFactory: { createPool, createSingleUse: createPool } })
}

/** The caller's side of a response. */
class RecordedResponse extends Writable {
  headersSent = false
  readonly req = { complete: true, socket: new PassThrough() }
  readonly socket = null
  readonly chunkedEncoding = false
  #status: number | undefined
  #headers: Readonly<Record<string, unknown>> = {}
  #events = 0

  get outcome (): CallOutcome {
    const retryAfterMilliseconds = Number(this.#headers['retry-after'] ?? 0) * 1_000
    return { status: this.#status, retryAfterMilliseconds, events: this.#events, isComplete: this.writableEnded }
  }

  writeHead (status: number, headers: Readonly<Record<string, unknown>>): this {
    this.headersSent = true
    this.#status = status
    this.#headers = headers
    return this
  }

  override _write (bytes: Buffer, _encoding: string, done: () => void): void {
    this.#events += bytes.toString().match(/\n\n/g)?.length ?? 0
    done()
  }
}
