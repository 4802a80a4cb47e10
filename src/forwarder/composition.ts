/** Composition root of the forwarder: registers each component with its dependencies. */
import { asFunction, asValue, type AwilixContainer, createContainer, InjectionMode } from 'awilix/browser'
import { PlatformHeaders, RowStore, type BootFile } from '../../platform/index.ts'
import { EndpointRuns, PromptBreaker, connectionCheck, logBreakerChange } from '../breaker/index.ts'
import { SystemClock, SystemRandomness } from '../contract/index.ts'
import { Connections } from '../endpoint/index.ts'
import { EndpointAnnouncements, EndpointLiveness, Forwarding, GatewayMetrics, PlannedStop, RollOutCoordinator, RollOutView, RoutingView } from '../gateway/index.ts'
import { FleetShare } from '../fleet/index.ts'
import { WorkNews } from '../fleetLoad/index.ts'
import { connectionProbe } from '../httpClient/index.ts'
import { TcpLink } from '../link/index.ts'
import { EventLoopStalls, LineQueue, Log, descriptorSink } from '../observe/index.ts'
import { EndpointEligibility, EndpointLoads, EndpointPlacement, EndpointRegistry, Evacuations, ModelCascade, RetryBudget, RunDurations, VersionSelector } from '../placement/index.ts'
import { PlaceQueues } from '../rateLimit/index.ts'
import type { CallerListener } from '../server/index.ts'
import { makeAnnouncedLimits, makeFleet, makeFleetReports, makeLimits, makeLoadReports, makeMisdirected, makeNews, makeWarmUps } from './exchangeComposition.ts'
import { makeConfirmationMonitor, makeFollower, makePeers, makeRelay, makeRelayFollower } from './followingComposition.ts'
import { EvacuationLoader } from './evacuationLoader.ts'
import type { ForwarderDependencies } from './forwarderDependencies.ts'
import { RowRollOutStore } from './rollOutStore.ts'
import { makeGateway, makeHeldAnswers, makeHeldBytes, makeOperations } from './servingComposition.ts'
import { TableLoader } from './tableLoader.ts'

/** Time limit for connecting to an endpoint; after it the endpoint counts as unreachable. */
const endpointConnectTimeoutMilliseconds = 450
const standardOutputDescriptor = 1

/** What a forwarder is composed of. */
export interface ForwarderOptions {
  readonly boot: BootFile
  /** Shared by all forwarders; authenticates them to each other. */
  readonly secret: string
  /** A listener that may listen already. */
  readonly listener: CallerListener
}

/**
 * Creates the container with all components of a forwarder.
 *
 * @example
 * const container = composeForwarder({ boot, secret, listener: new CallerListener() })
 * container.cradle.follower.start()
 */
export function composeForwarder ({ boot, secret, listener }: ForwarderOptions): AwilixContainer<ForwarderDependencies> {
  const container = createContainer<ForwarderDependencies>({ injectionMode: InjectionMode.PROXY, strict: true })
  const single = <Dependency>(make: (parts: ForwarderDependencies) => Dependency) => asFunction(make).singleton()
  container.register({
    boot: asValue({ current: boot }),
    secret: asValue(secret),
    listener: asValue(listener),
    clock: single(() => new SystemClock()),
    eventLoopStalls: single(({ clock, log, metrics }) => new EventLoopStalls({ clock, log, metrics: metrics.eventLoopStalls })),
    randomness: single(() => new SystemRandomness()),
    logLines: single(() => new LineQueue(descriptorSink(standardOutputDescriptor))),
    log: single(({ boot, logLines }) => new Log('info', { virtualMachine: boot.current.name }, line => logLines.push(line))),
    metrics: single(() => new GatewayMetrics()),
    store: single(({ boot, clock, log }) => new RowStore({
      clock,
      address: boot.current.storeAddress,
      onInvalidEpoch: text => log.warn('store_epoch_invalid', { text })
    })),
    link: single(makeLink),
    follower: single(makeFollower),
    peers: single(makePeers),
    relay: single(makeRelay),
    relayFollower: single(makeRelayFollower),
    confirmationMonitor: single(makeConfirmationMonitor),
    routing: single(() => new RoutingView()),
    registry: single(parts => new EndpointRegistry(() => parts.clock.heldUpMilliseconds())),
    evacuations: single(() => new Evacuations()),
    misdirected: single(makeMisdirected),
    eligibility: single(({ registry, evacuations, misdirected }) => new EndpointEligibility(registry, evacuations, misdirected)),
    loads: single(parts => new EndpointLoads(now => parts.loadReports.notifyWork(now), () => parts.clock.heldUpMilliseconds())),
    liveness: single(makeLiveness),
    rollOuts: single(parts => new RollOutView(parts.boot.current.name, parts.boot.current.maximumExposedShare, () => parts.follower.storeTime, () => parts.clock.heldUpMilliseconds())),
    versionSelector: single(({ boot }) => new VersionSelector(boot.current.sessionTimeoutMilliseconds)),
    rollOutStore: single(({ store, follower }) => new RowRollOutStore(store, follower)),
    rollOutCoordinator: single(makeRollOutCoordinator),
    evacuationLoader: single(parts => new EvacuationLoader(parts)),
    tableLoader: single(parts => new TableLoader(parts)),
    breaker: single(makeBreaker),
    runs: single(makeRuns),
    announcedLimits: single(makeAnnouncedLimits),
    warmUps: single(makeWarmUps),
    limits: single(makeLimits),
    placeQueues: single(({ clock }) => new PlaceQueues(clock)),
    fleet: single(makeFleet),
    fleetReports: single(makeFleetReports),
    news: single(makeNews),
    plannedStop: single(({ clock }) => new PlannedStop(clock)),
    heldBytes: single(makeHeldBytes),
    heldAnswers: single(makeHeldAnswers),
    loadNews: single(() => new WorkNews()),
    loadReports: single(makeLoadReports),
    connections: single(({ clock }) => new Connections({ clock, connectTimeoutMilliseconds: endpointConnectTimeoutMilliseconds })),
    forwarding: single(makeForwarding),
    gateway: single(makeGateway),
    operations: single(makeOperations)
  })
  return container
}

function makeLink ({ boot, secret, clock, log }: ForwarderDependencies): TcpLink {
  const { name, peerAddress, place } = boot.current
  return new TcpLink({
    identity: { name, address: peerAddress, place, rack: '', incarnation: Math.floor(clock.now()) },
    secret,
    clock,
    onHandlerFailure: (message, reason) => log.error('message_failed', { message, reason })
  })
}

function makeRollOutCoordinator ({ boot, rollOuts, rollOutStore, versionSelector, clock, randomness, log, registry }: ForwarderDependencies): RollOutCoordinator {
  return new RollOutCoordinator({
    view: rollOuts,
    versionSelector,
    observer: boot.current.name,
    store: rollOutStore,
    clock,
    randomness,
    log,
    hasEndpoints: order => registry.servingEndpoints(order.service, clock.now()).some(endpoint => endpoint.version === order.toVersion)
  })
}

function makeBreaker (parts: ForwarderDependencies): PromptBreaker {
  return new PromptBreaker({
    name: parts.boot.current.name,
    onChange: change => {
      logBreakerChange(parts.log, change)
      parts.metrics.promptChanges.inc({ change: change.type })
      if (change.type !== 'blocked') return
      parts.runs.cancelBlocked(parts.clock.now())
      parts.news.publish()
    }
  })
}

function makeRuns ({ boot, breaker, clock, log, news }: ForwarderDependencies): EndpointRuns {
  return new EndpointRuns({
    name: boot.current.name,
    breaker,
    hasCrashed: connectionCheck(endpointConnectTimeoutMilliseconds, clock),
    onNews: () => news.publish(),
    clock,
    log
  })
}

function makeLiveness ({ clock, loads, registry }: ForwarderDependencies): EndpointLiveness {
  return new EndpointLiveness({ probe: connectionProbe(endpointConnectTimeoutMilliseconds, clock), checkMilliseconds: endpointConnectTimeoutMilliseconds, loads, registry, clock })
}

function makeForwarding (parts: ForwarderDependencies): Forwarding {
  const { boot, loads, randomness } = parts
  return new Forwarding({
    clock: parts.clock,
    log: parts.log,
    metrics: parts.metrics,
    routing: parts.routing,
    registry: parts.registry,
    eligibility: parts.eligibility,
    misdirected: parts.misdirected,
    loads,
    liveness: parts.liveness,
    rollOuts: parts.rollOuts,
    connections: parts.connections,
    plannedStop: parts.plannedStop,
    heldBytes: parts.heldBytes,
    heldAnswers: parts.heldAnswers,
    codec: new PlatformHeaders(),
    placement: new EndpointPlacement(boot.current.place, loads, randomness, parts.limits, parts.loadNews),
    limits: parts.limits,
    placeQueues: parts.placeQueues,
    modelCascade: new ModelCascade(),
    retryBudget: makeRetryBudget(parts),
    runDurations: new RunDurations(),
    breaker: parts.breaker,
    runs: parts.runs,
    announcements: makeAnnouncements(parts),
    versionSelector: parts.versionSelector,
    untilTablesAreRead: async () => {
      await Promise.all([parts.tableLoader.untilComplete(), parts.news.untilAsked()])
    }
  })
}

function makeRetryBudget ({ boot, fleet }: ForwarderDependencies): RetryBudget {
  const { retryLimits } = boot.current
  const share = new FleetShare({ directory: fleet, windowMilliseconds: retryLimits.windowMilliseconds })
  return new RetryBudget(retryLimits, now => share.at(now))
}

function makeAnnouncements ({ announcedLimits, clock, loads, log, misdirected, news, randomness, registry, warmUps }: ForwarderDependencies): EndpointAnnouncements {
  return new EndpointAnnouncements({ registry, loads, announcedLimits, misdirected, warmUps, onNews: () => news.publish(), clock, randomness, log })
}
