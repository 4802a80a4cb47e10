/** Runs a daemon's caller server and routers in the test process, with a stand-in engine and a stand-in service. */
import { createHash } from 'node:crypto'
import type { BillEntry, Ledger } from '../../src/billing/index.ts'
import { AffinityEndpointPolicy, RegionLinkBudget, RatioAttemptBudget, type RollOutGuard, RollOutVerdict, ShareAdmissionPolicy, type VersionPolicy } from '../../src/choice/index.ts'
import { EndpointRuns, PromptBreaker, connectionCheck } from '../../src/breaker/index.ts'
import { TableClaims } from '../../src/claim/index.ts'
import { type LoadReport, Ok, SeededRandomness, SystemClock, SystemRandomness } from '../../src/contract/index.ts'
import { SettingsLease, type SettingsSource } from '../../src/distribution/index.ts'
import { type EngineClient, HttpEngineClient, HttpServiceClient, type ServiceClient } from '../../src/endpoint/index.ts'
import { CallerServer, ChatRouter, CompletionLengthEstimator, Drain, EndpointDirectory, EndpointPlaces, PoolAdmission, RollOutMonitor, ServiceRouter } from '../../src/entry/index.ts'
import type { Membership } from '../../src/membership/index.ts'
import { Log, Metrics, NoopTracer } from '../../src/observe/index.ts'
import { SignedSessionTokens } from '../../src/session/index.ts'
import { checkText, SettingsView, subtreeSchema } from '../../src/settings/index.ts'
import { type EngineRun, MemoryTableService, type ServiceRun, startEngine, startService } from '../../src/standin/index.ts'
import { AnnouncedLimits, PlaceQueues } from '../../src/rateLimit/index.ts'
import { fixedFleet, limitsOf } from './limitWorld.ts'
import { FaultyTableService } from './faultyTableService.ts'

/** API key of the organisation `harbour`, which may use `small` and the ledger. */
export const harbourKey = 'key-of-harbour'
/** API key of the organisation `guides`, which may use `large` only. */
export const guidesKey = 'key-of-guides'

/** Selects the cheapest candidate version, without ratings. */
export const cheapestVersionPolicy: VersionPolicy = {
  plan: (_request, candidates) => {
    const [first] = [...candidates].sort((left, right) => left.price - right.price)
    return Ok({ steps: first === undefined ? [] : [{ version: first.name, releaseAtRating: undefined, rateAfterwards: false }] })
  },
  observeRating: () => {},
  observeRatingFailure: () => {}
}

const alwaysContinueGuard: RollOutGuard = { observe: () => {}, observeTime: () => {}, verdict: () => RollOutVerdict.Continue }

/** A settings source whose view a test replaces directly. */
export class MutableSettingsSource implements SettingsSource {
  view = SettingsView.empty()
  lease: SettingsLease = SettingsLease.Held

  /** Installs settings, given as TOML, as the next revision. */
  install (text: string): void {
    const subtree = checkText(text, 'fleet', subtreeSchema).unwrap()
    this.view = SettingsView.of(this.view.revision + 1, new Map([['fleet', subtree]])).unwrap()
  }

  onChange (): () => void {
    return () => {}
  }
}

/** A caller server with its routers, and the engine and the ledger service behind it. */
export class EntryHarness {
  readonly settings = new MutableSettingsSource()
  readonly billEntries: BillEntry[] = []
  readonly clock = new SystemClock()
  readonly table = new FaultyTableService(this.clock, new MemoryTableService())
  readonly drain = new Drain()
  readonly metrics = new Metrics()
  readonly leavingEndpoints = new Set<string>()
  /** Incarnations of engines that report a load, by name. */
  readonly engineIncarnations = new Map<string, number>()
  #closeServer: () => Promise<void> = async () => undefined
  readonly #cleanups: Array<() => Promise<void>> = []
  #engineAddress = ''
  #serviceAddress = ''
  address = ''

  /**
   * Starts the engine, the ledger service and the caller server.
   *
   * @param engines calls engines in place of HTTP; endpoints then count as crashed whenever a run breaks off
   * @param services calls plain services in place of HTTP
   */
  static async start (versionPolicy: VersionPolicy = cheapestVersionPolicy, maximumBodyBytes = 65_536, engines?: EngineClient, services?: ServiceClient): Promise<EntryHarness> {
    const harness = new EntryHarness()
    const engine = await startEngine({ listen: '127.0.0.1:0', name: 'engine-1', versions: ['small@1', 'small@2', 'large@1'] })
    const service = await startService({ listen: '127.0.0.1:0', name: 'ledger' })
    harness.#engineAddress = engine.address
    harness.#serviceAddress = service.address
    harness.settings.install(harness.settingsText())
    const server = harness.#createServer(versionPolicy, maximumBodyBytes, engines, services)
    harness.address = await server.listen('127.0.0.1:0')
    harness.#closeServer = () => server.close()
    harness.#cleanups.push(() => server.close(), () => engine.close(), () => service.close())
    return harness
  }

  /** The default settings as TOML, with `extra` appended. */
  settingsText (extra = ''): string {
    return `
kinds = ["tagging", "lookup"]
session_keys = [{ name = "first", secret = "a session secret of the tests, long enough" }]
[data_centres.lower-mainland-a]
region = "lower-mainland"
[models.small]
price = 1
[models.small.versions.1]
[models.small.versions.2]
state = "candidate"
[models.large]
price = 20
[models.large.versions.1]
[services.ledger]
operations = [{ method = "POST", path = "/refunds", idempotent = false }]
[endpoints.engine-1]
address = "${this.#engineAddress}"
data_centre = "lower-mainland-a"
versions = ["small@1", "small@2", "large@1"]
[endpoints.ledger-1]
address = "${this.#serviceAddress}"
data_centre = "lower-mainland-a"
service = "ledger"
[organisations.harbour]
key_hashes = ["${sha256(harbourKey)}"]
models = ["small"]
services = ["ledger"]
[organisations.guides]
key_hashes = ["${sha256(guidesKey)}"]
models = ["large"]
${extra}`
  }

  /** Sends a request to the caller server: a POST if there is a body, a GET otherwise. */
  async call (path: string, options: { readonly key?: string, readonly body?: unknown, readonly headers?: Record<string, string> } = {}): Promise<Response> {
    const body = options.body === undefined ? undefined : typeof options.body === 'string' ? options.body : JSON.stringify(options.body)
    return await fetch(`http://${this.address}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: { authorization: `Bearer ${options.key ?? harbourKey}`, 'content-type': 'application/json', ...options.headers },
      ...(body === undefined ? {} : { body })
    })
  }

  /** Injects a fault into the engine or the ledger service. */
  async injectFault (target: 'engine' | 'service', faultBody: Record<string, unknown>): Promise<void> {
    const address = target === 'engine' ? this.#engineAddress : this.#serviceAddress
    await fetch(`http://${address}/faults`, { method: 'POST', body: JSON.stringify(faultBody), headers: { 'content-type': 'application/json' } })
  }

  async engineRuns (): Promise<EngineRun[]> {
    return await (await fetch(`http://${this.#engineAddress}/records`)).json() as EngineRun[]
  }

  async serviceRuns (): Promise<ServiceRun[]> {
    return await (await fetch(`http://${this.#serviceAddress}/records`)).json() as ServiceRun[]
  }

  /** Ends the server for callers, as a daemon does when its time to stop is over. */
  async closeServer (): Promise<void> {
    await this.#closeServer()
  }

  async close (): Promise<void> {
    for (const close of this.#cleanups) await close()
  }

  #idleReport (name: string, incarnation: number): LoadReport {
    const versions = this.settings.view.endpoints.get(name)?.versions ?? []
    return { at: this.clock.now(), incarnation, versions, running: 0, queued: 0, queuedPromptTokens: 0, streamLimit: 32, prefillTokensPerSecond: 16_000, betweenTokensMilliseconds: 6, leaving: false }
  }

  #createServer (versionPolicy: VersionPolicy, maximumBodyBytes: number, engines?: EngineClient, serviceClient?: ServiceClient): CallerServer {
    const { clock, drain, metrics, settings, table } = this
    const randomness = new SystemRandomness()
    const here = { region: 'lower-mainland', dataCentre: 'lower-mainland-a' }
    const membership: Membership = {
      members: () => [],
      endpointStatus: name => {
        if (this.leavingEndpoints.has(name)) return { name, healthy: true, leaving: true, report: undefined, reportedAt: 0 }
        const incarnation = this.engineIncarnations.get(name)
        return incarnation === undefined ? undefined : { name, healthy: true, leaving: false, report: this.#idleReport(name, incarnation), reportedAt: clock.now() }
      },
      markEndpointLeaving: () => {}
    }
    const directory = new EndpointDirectory(settings, membership)
    const sessions = new SignedSessionTokens({ keys: () => settings.view.sessionKeys, clock, lifetimeMilliseconds: 3_600_000 })
    const ledger: Ledger = { record: async entry => { this.billEntries.push(entry); return Ok('durable') } }
    const tracer = new NoopTracer()
    const log = new Log('error')
    const retries = new RatioAttemptBudget()
    const breaker: PromptBreaker = new PromptBreaker({ name: 'entry-1', onChange: ({ type }) => { if (type === 'blocked') runs.cancelBlocked(clock.now()) } })
    const hasCrashed = engines === undefined ? connectionCheck(500, clock) : async () => true
    const announcedLimits = new AnnouncedLimits()
    const limits = limitsOf(announcedLimits, fixedFleet({ address: '127.0.0.1:1', region: here.region }))
    const places = new EndpointPlaces({ clock, announcedLimits, limits, placeQueues: new PlaceQueues(clock), onNews: () => undefined, log })
    const runs: EndpointRuns = new EndpointRuns({ name: 'entry-1', breaker, hasCrashed, onNews: () => undefined, clock, log })
    const chat = new ChatRouter({
      places,
      breaker,
      runs,
      clock,
      randomness,
      settings,
      directory,
      endpoints: new AffinityEndpointPolicy({ here, randomness: new SeededRandomness(1), link: new RegionLinkBudget(1_000_000) }),
      retries,
      lengths: new CompletionLengthEstimator(),
      engines: engines ?? new HttpEngineClient({ clock, connectTimeoutMilliseconds: 500, inactivityTimeoutMilliseconds: 1_000 }),
      metrics,
      tracer,
      versions: versionPolicy,
      admission: new PoolAdmission(() => new ShareAdmissionPolicy()),
      ledger,
      sessions,
      ratings: { rate: async () => Ok(90) },
      rollOuts: new RollOutMonitor(settings, () => alwaysContinueGuard),
      log
    })
    const services = new ServiceRouter({
      places,
      breaker,
      runs,
      here,
      clock,
      randomness,
      directory,
      services: serviceClient ?? new HttpServiceClient({ clock, connectTimeoutMilliseconds: 500, inactivityTimeoutMilliseconds: 1_000 }),
      claims: new TableClaims({ table, clock, randomness, holder: 'entry-1' }),
      ledger,
      retries,
      tracer
    })
    return new CallerServer({ clock, randomness, settings, sessions, chat, services, drain, metrics, tracer, log, maximumBodyBytes, requestTimeoutSeconds: 20, tls: undefined })
  }
}

function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
