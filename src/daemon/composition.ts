/**
 * Composition root of a daemon: creates its components and wires them together. This is the only place
 * that knows which class implements an interface. Tests may override components.
 */
import { asFunction, asValue, type AwilixContainer, createContainer, InjectionMode, type Resolver } from 'awilix'
import { BatchedLedger } from '../billing/index.ts'
import {
  AffinityEndpointPolicy, type AttemptBudget, type EndpointPolicy, LearnedVersionPolicy, RegionLinkBudget,
  RatioAttemptBudget, SequentialRollOutGuard, ShareAdmissionPolicy, type VersionPolicy
} from '../choice/index.ts'
import { EndpointRuns, PromptBreaker, connectionCheck, logBreakerChange } from '../breaker/index.ts'
import { type Claims, TableClaims } from '../claim/index.ts'
import { type Clock, type Place, type Randomness, type Result, SystemClock, SystemRandomness } from '../contract/index.ts'
import { SettingsFollower, type SettingsRepository, TableSettingsRepository, settingsReadTimeoutMilliseconds } from '../distribution/index.ts'
import { type EngineClient, HttpEngineClient, HttpServiceClient, type ServiceClient } from '../endpoint/index.ts'
import { type DigestingPolicy, CallerServer, ChatRouter, CompletionLengthEstimator, Drain, EndpointDirectory, EndpointPlaces, PoolAdmission, RatingExchange, RollOutMonitor, ServiceRouter } from '../entry/index.ts'
import { type Link, TcpLink } from '../link/index.ts'
import { GossipMembership, MemberState } from '../membership/index.ts'
import { NewsExchange, logLimitChange } from '../news/index.ts'
import { EventLoopStalls, Log, Metrics, createOpenTelemetryTracer, NoopTracer, type Tracer } from '../observe/index.ts'
import {
  HttpRatingService, HttpTableService, HttpVirtualMachineList, type RatingService, type TableService, type VirtualMachineList
} from '../store/index.ts'
import { AnnouncedLimits, EndpointLimits, PlaceQueues } from '../rateLimit/index.ts'
import { SignedSessionTokens, type SessionTokens } from '../session/index.ts'
import type { LocalSettings } from '../settings/index.ts'
import { Steward, StewardLease } from '../steward/index.ts'
import { MembershipFleet } from './membershipFleet.ts'
import type { TlsCredentials } from './tlsFiles.ts'

/** A link that can be opened and closed. */
export interface DaemonLink extends Link {
  listen (address: string): Promise<Result<unknown, { readonly reason: string }>>
  close (): Promise<void>
}

/** All components of a daemon. */
export interface DaemonDependencies {
  readonly local: LocalSettings
  readonly tls: TlsCredentials | undefined
  readonly here: Place
  readonly systemClock: SystemClock
  readonly clock: Clock
  readonly eventLoopStalls: EventLoopStalls
  readonly randomness: Randomness
  readonly log: Log
  readonly metrics: Metrics
  readonly tracer: Tracer
  readonly table: TableService
  readonly machines: VirtualMachineList
  readonly ratings: RatingService
  readonly engines: EngineClient
  readonly services: ServiceClient
  readonly link: DaemonLink
  readonly membership: GossipMembership
  readonly repository: SettingsRepository
  /** Reads the settings for the follower, over connections of its own. */
  readonly settingsReader: SettingsRepository
  readonly follower: SettingsFollower
  readonly sessions: SessionTokens
  readonly claims: Claims
  readonly ledger: BatchedLedger
  readonly directory: EndpointDirectory
  readonly lengths: CompletionLengthEstimator
  readonly versions: VersionPolicy & DigestingPolicy
  readonly ratingExchange: RatingExchange
  readonly endpoints: EndpointPolicy
  readonly breaker: PromptBreaker
  readonly runs: EndpointRuns
  readonly announcedLimits: AnnouncedLimits
  readonly limits: EndpointLimits
  readonly places: EndpointPlaces
  readonly news: NewsExchange
  readonly admission: PoolAdmission
  readonly retries: AttemptBudget
  readonly rollOuts: RollOutMonitor
  readonly chat: ChatRouter
  readonly serviceRouter: ServiceRouter
  readonly drain: Drain
  readonly callerServer: CallerServer
  readonly lease: StewardLease
  readonly steward: Steward
}

/** Components that replace the default ones. */
export type DependencyOverrides = Partial<DaemonDependencies>

type DependencyFactories = { [Name in keyof DaemonDependencies]: (dependencies: DaemonDependencies) => DaemonDependencies[Name] }

const platformTimeoutMilliseconds = 2_000
const connectTimeoutMilliseconds = 1_000
const engineInactivityTimeoutMilliseconds = 2_000
const serviceInactivityTimeoutMilliseconds = 10_000
const sessionLifetimeMilliseconds = 24 * 60 * 60 * 1_000
const stewardLeaseMilliseconds = 8_000

/** Creates each component from the others. */
const dependencyFactories = {
  here: ({ local }) => ({ region: local.region, dataCentre: local.data_centre }),
  systemClock: () => new SystemClock(),
  clock: ({ systemClock }) => systemClock,
  eventLoopStalls: ({ log, metrics, systemClock }) => new EventLoopStalls({ clock: systemClock, log, metrics: metrics.eventLoopStalls }),
  randomness: () => new SystemRandomness(),
  log: ({ local }) => new Log(local.telemetry.level, { virtual_machine: local.name }),
  metrics: () => new Metrics(true),
  table: ({ clock, local }) => new HttpTableService({ clock, address: local.platform.table_service, timeoutMilliseconds: platformTimeoutMilliseconds }),
  machines: ({ clock, local }) => new HttpVirtualMachineList({ clock, address: local.platform.virtual_machines, timeoutMilliseconds: platformTimeoutMilliseconds }),
  ratings: ({ clock, local }) => new HttpRatingService({ clock, address: local.platform.rating_service, timeoutMilliseconds: platformTimeoutMilliseconds }),
  engines: ({ clock }) => new HttpEngineClient({ clock, connectTimeoutMilliseconds, inactivityTimeoutMilliseconds: engineInactivityTimeoutMilliseconds }),
  services: ({ clock }) => new HttpServiceClient({ clock, connectTimeoutMilliseconds, inactivityTimeoutMilliseconds: serviceInactivityTimeoutMilliseconds }),
  link: ({ clock, here, local, log }) => new TcpLink({
    identity: { name: local.name, address: local.listen.link, place: here, rack: local.rack, incarnation: Math.floor(clock.now()) },
    secret: local.link.secret,
    clock,
    tls: local.link.tls,
    onHandlerFailure: (message, reason) => log.error('message_failed', { message, reason })
  }),
  membership: dependencies => new GossipMembership({
    link: dependencies.link,
    clock: dependencies.clock,
    randomness: dependencies.randomness,
    virtualMachines: dependencies.machines,
    engines: dependencies.engines,
    endpoints: () => [...dependencies.follower.view.endpoints.values()]
  }),
  repository: ({ clock, randomness, table }) => new TableSettingsRepository({ table, clock, randomness }),
  settingsReader: ({ clock, local, randomness }) => {
    const table = new HttpTableService({ clock, address: local.platform.table_service, timeoutMilliseconds: settingsReadTimeoutMilliseconds })
    return new TableSettingsRepository({ table, clock, randomness })
  },
  follower: dependencies => new SettingsFollower({
    repository: dependencies.settingsReader,
    link: dependencies.link,
    clock: dependencies.clock,
    randomness: dependencies.randomness,
    members: () => dependencies.membership.members()
  }),
  sessions: dependencies => new SignedSessionTokens({ keys: () => dependencies.follower.view.sessionKeys, clock: dependencies.clock, lifetimeMilliseconds: sessionLifetimeMilliseconds }),
  claims: ({ clock, local, randomness, table }) => new TableClaims({ table, clock, randomness, holder: local.name }),
  ledger: dependencies => new BatchedLedger({
    table: dependencies.table,
    clock: dependencies.clock,
    link: dependencies.link,
    members: () => dependencies.membership.members()
  }),
  directory: ({ follower, membership }) => new EndpointDirectory(follower, membership),
  lengths: () => new CompletionLengthEstimator(),
  versions: ({ randomness }) => new LearnedVersionPolicy({ randomness }),
  ratingExchange: ({ clock, link, membership, randomness, versions }) => new RatingExchange({ policy: versions, link, membership, clock, randomness }),
  endpoints: ({ here, local, randomness }) => new AffinityEndpointPolicy({ here, randomness, link: new RegionLinkBudget(local.limits.regional_link_bytes_per_second) }),
  breaker: dependencies => new PromptBreaker({
    name: dependencies.local.name,
    onChange: change => {
      logBreakerChange(dependencies.log, change)
      if (change.type !== 'blocked') return
      dependencies.runs.cancelBlocked(dependencies.clock.now())
      dependencies.news.publish()
    }
  }),
  runs: dependencies => new EndpointRuns({
    name: dependencies.local.name,
    breaker: dependencies.breaker,
    hasCrashed: connectionCheck(connectTimeoutMilliseconds, dependencies.clock),
    onNews: () => dependencies.news.publish(),
    clock: dependencies.clock,
    log: dependencies.log
  }),
  announcedLimits: dependencies => new AnnouncedLimits(change => logLimitChange(dependencies.log, change, dependencies.limits.sentTo(change.fact.instance))),
  limits: ({ announcedLimits, clock, directory, link, membership }) => new EndpointLimits({
    announced: announcedLimits,
    fleet: new MembershipFleet({ address: link.self.address, region: link.self.place.region }, membership, clock),
    regionsServing: name => directory.regionsServing(name)
  }),
  places: dependencies => new EndpointPlaces({
    clock: dependencies.clock,
    announcedLimits: dependencies.announcedLimits,
    limits: dependencies.limits,
    placeQueues: new PlaceQueues(dependencies.clock),
    onNews: () => dependencies.news.publish(),
    log: dependencies.log
  }),
  news: dependencies => new NewsExchange({
    link: dependencies.link,
    breaker: dependencies.breaker,
    limits: dependencies.announcedLimits,
    peers: () => dependencies.membership.members().filter(({ name, state }) => name !== dependencies.local.name && state === MemberState.Alive),
    onBreakerNews: () => dependencies.runs.followNews(dependencies.clock.now()),
    clock: dependencies.clock,
    randomness: dependencies.randomness,
    log: dependencies.log
  }),
  admission: () => new PoolAdmission(() => new ShareAdmissionPolicy()),
  retries: () => new RatioAttemptBudget(),
  rollOuts: ({ clock, follower }) => new RollOutMonitor(follower, (from, to) => new SequentialRollOutGuard({ from, to }), () => clock.heldUpMilliseconds()),
  chat: dependencies => new ChatRouter({ ...chatRoutingDependencies(dependencies), versions: dependencies.versions, admission: dependencies.admission, ledger: dependencies.ledger, sessions: dependencies.sessions, ratings: dependencies.ratings, log: dependencies.log }),
  serviceRouter: ({ breaker, claims, clock, directory, here, ledger, places, randomness, retries, runs, services, tracer }) => new ServiceRouter({ breaker, claims, clock, directory, here, ledger, places, randomness, retries, runs, services, tracer }),
  drain: () => new Drain(),
  callerServer: dependencies => new CallerServer({
    clock: dependencies.clock,
    randomness: dependencies.randomness,
    settings: dependencies.follower,
    sessions: dependencies.sessions,
    chat: dependencies.chat,
    services: dependencies.serviceRouter,
    drain: dependencies.drain,
    metrics: dependencies.metrics,
    tracer: dependencies.tracer,
    log: dependencies.log,
    maximumBodyBytes: dependencies.local.callers.body_bytes,
    requestTimeoutSeconds: dependencies.local.callers.request_seconds,
    tls: dependencies.tls
  }),
  lease: ({ clock, local, table }) => new StewardLease({ table, clock, name: `steward/${local.data_centre}`, holder: local.name, durationMilliseconds: stewardLeaseMilliseconds }),
  steward: dependencies => new Steward({
    clock: dependencies.clock,
    randomness: dependencies.randomness,
    lease: dependencies.lease,
    settings: dependencies.follower,
    repository: dependencies.repository,
    membership: dependencies.membership,
    engines: dependencies.engines,
    rollOuts: dependencies.rollOuts,
    metrics: dependencies.metrics,
    log: dependencies.log,
    name: dependencies.local.name,
    dataCentre: dependencies.local.data_centre
  })
} satisfies Omit<DependencyFactories, 'local' | 'tls' | 'tracer'>

/**
 * Creates the container of a daemon's components; each component is created once, on first use.
 *
 * @example
 * const dependencies = await composeDaemonDependencies(local, undefined, { clock, table })
 */
export async function composeDaemonDependencies (local: LocalSettings, tls: TlsCredentials | undefined, overrides: DependencyOverrides): Promise<DaemonDependencies> {
  const tracer = await createTracer(local)
  const container: AwilixContainer<DaemonDependencies> = createContainer<DaemonDependencies>({ injectionMode: InjectionMode.PROXY, strict: true })
  const resolvers: Record<string, Resolver<unknown>> = { local: asValue(local), tls: asValue(tls), tracer: asValue(tracer) }
  for (const [name, create] of Object.entries(dependencyFactories)) resolvers[name] = asFunction(create as (dependencies: DaemonDependencies) => unknown).singleton()
  for (const [name, dependency] of Object.entries(overrides)) resolvers[name] = asValue(dependency)
  container.register(resolvers)
  return container.cradle
}

function chatRoutingDependencies (dependencies: DaemonDependencies) {
  const { breaker, clock, directory, endpoints, engines, follower, lengths, metrics, places, randomness, retries, rollOuts, runs, tracer } = dependencies
  return { clock, randomness, settings: follower, directory, endpoints, places, retries, engines, breaker, runs, rollOuts, lengths, metrics, tracer }
}

async function createTracer (local: LocalSettings): Promise<Tracer> {
  const receiverUrl = local.telemetry.traces
  return receiverUrl === undefined ? new NoopTracer() : await createOpenTelemetryTracer(receiverUrl, local.name)
}
