/** Simulates one scenario: a user's engines, routers with their policies, delayed load reports, and the requests drawn from a seed. */
import { type Place, type Randomness, SeededRandomness, type VersionName } from '../src/contract/index.ts'
import type { VersionCandidate } from '../src/choice/index.ts'
import { type Arrival, drawArrivals } from './arrivals.ts'
import { SimulatedRouter } from './simulatedRouter.ts'
import type { RouterPolicies } from './simulatedRouterTypes.ts'
import type { SimulatedEngine } from './simulatedEngine.ts'
import { buildFleet, placesOf } from './fleet.ts'
import { LoadImbalanceMonitor } from './loadImbalanceMonitor.ts'
import { type RunMetrics, MetricsCollector, percentile } from './runMetrics.ts'
import { LoadReportFeed, startReports } from './loadReportFeed.ts'
import { SimulatedRatingService } from './simulatedRatingService.ts'
import { arrivalsEndMilliseconds, measuredFromMilliseconds, measuredUntilMilliseconds, type Scenario, warmUpMilliseconds } from './scenario.ts'
import { benchVersionName } from './versionBaselines.ts'
import { VirtualTime } from './virtualTime.ts'
import type { World, WorldUser } from './world.ts'

export interface RunOptions {
  readonly world: World
  readonly user: WorldUser
  readonly scenario: Scenario
  readonly seed: number
  /** Arrival rate at 100 % load, in requests per second. */
  readonly fullLoadRequestsPerSecond: number
  /** Share of the accelerators by version name. */
  readonly acceleratorShares: ReadonlyMap<string, number>
  /** The number of the user's entry VMs. */
  readonly routerCount: number
  createPolicies (here: Place, randomness: Randomness): RouterPolicies
}

export interface RunResult {
  readonly metrics: RunMetrics
  /** 95th percentile of the time to first token over the organisations that stay within their share. */
  readonly othersFirstTokenP95Milliseconds: number
  /** Share of prompt tokens found in the engines' prefix caches. */
  readonly cachedShare: number
  /** Maximum engine load divided by the mean load of the same version's engines, averaged over samples. */
  readonly maximumToMeanLoad: number
}

const drainMilliseconds = 120_000
const digestIntervalMilliseconds = 15_000
const floodStartMilliseconds = 5_000

/**
 * Runs a scenario to its end in virtual time.
 *
 * @example
 * const { metrics } = runScenario(options)
 */
export function runScenario (options: RunOptions): RunResult {
  const { world, user, scenario } = options
  const time = new VirtualTime()
  const engines = buildFleet(world, user, options.acceleratorShares, time)
  const metrics = new MetricsCollector()
  const routers = buildRouters(options, time, engines, metrics)
  exchangeDigests(routers, time)
  const arrivals = drawArrivals({
    world,
    user,
    seed: options.seed,
    requestsPerSecond: options.fullLoadRequestsPerSecond * scenario.load,
    startMilliseconds: -warmUpMilliseconds,
    endMilliseconds: arrivalsEndMilliseconds,
    flood: scenario.floodFactor === undefined ? undefined : { organisation: user.organisations[0]!.name, factor: scenario.floodFactor, fromMilliseconds: floodStartMilliseconds }
  })
  const places = placesOf(user)
  const routerOf = (arrival: Arrival) => {
    const region = places[Math.floor(arrival.callerFraction * places.length)]!.region
    const regionalRouters = routers.filter(router => router.here.region === region)
    return regionalRouters[Math.floor(arrival.routerFraction * regionalRouters.length)]!
  }
  for (const arrival of arrivals) {
    if (arrival.at >= 0) time.at(arrival.at, () => routerOf(arrival).serve(arrival))
    else if (arrival.session !== undefined) routerOf(arrival).warmUp(arrival)
  }
  schedulePoolOutage(scenario, user, engines, time)
  const imbalance = new LoadImbalanceMonitor(engines, time)
  time.runUntil(arrivalsEndMilliseconds + drainMilliseconds)
  const seconds = (measuredUntilMilliseconds - measuredFromMilliseconds) / 1_000
  const floodingOrganisation = user.organisations[0]!.name
  return {
    metrics: metrics.summarise(seconds, world.qualityTarget),
    othersFirstTokenP95Milliseconds: percentile(metrics.streamedFirstTokenMilliseconds(organisation => organisation !== floodingOrganisation), 0.95),
    cachedShare: metrics.cachedShare,
    maximumToMeanLoad: imbalance.meanRatio()
  }
}

function buildRouters (options: RunOptions, time: VirtualTime, engines: readonly SimulatedEngine[], metrics: MetricsCollector): SimulatedRouter[] {
  const { world, user, scenario, seed } = options
  const enginesByName = new Map(engines.map(engine => [engine.options.name, engine]))
  const pinnedVersions = new Map<string, VersionName>()
  const ratings = new SimulatedRatingService(world, time, new SeededRandomness(seed * 31 + 5), scenario.badVersion)
  const candidates: VersionCandidate[] = world.versions.map(version => ({ name: benchVersionName(version.name), price: version.price, available: true }))
  const timeoutMilliseconds = new Map([...world.kinds.keys()].map(kind => [kind, timeoutMillisecondsOf(world, kind)]))
  const places = placesOf(user)
  const feeds = new Map(places.map((place, index) =>
    [place.dataCentre, new LoadReportFeed(engines, world, time, new SeededRandomness(seed * 131 + index), scenario.lagFactor ?? 1)]))
  const reports = { engines, feeds: [...feeds.values()], intervalMilliseconds: world.reporting.loadReportIntervalMilliseconds, endMilliseconds: arrivalsEndMilliseconds + drainMilliseconds / 2 }
  startReports(reports, time, new SeededRandomness(seed * 137))
  return Array.from({ length: options.routerCount }, (_, index) => {
    const here = places[index % places.length]!
    const randomness = new SeededRandomness(seed * 1_009 + index)
    return new SimulatedRouter({
      world,
      user,
      here,
      time,
      loadReports: feeds.get(here.dataCentre)!,
      engines: enginesByName,
      candidates: () => candidates,
      policies: options.createPolicies(here, randomness),
      ratings,
      metrics,
      randomness,
      pinnedVersions,
      timeoutMillisecondsOf: kind => timeoutMilliseconds.get(kind)!,
      isMeasured: arrival => arrival.at >= measuredFromMilliseconds && arrival.at < measuredUntilMilliseconds
    })
  })
}

/**
 * The time after which callers of a kind cancel a request: 2 s plus twice the time that the strongest
 * version takes on the slowest hardware with a full batch.
 *
 * @returns milliseconds
 */
export function timeoutMillisecondsOf (world: World, kindName: string): number {
  const kind = world.kinds.get(kindName)!
  const strongest = world.versions.at(-1)!
  const { base, perStream } = strongest.decodeMilliseconds
  const completionMilliseconds = world.hardware.map(({ speed, streams }) => {
    const prefill = kind.inputTokens / (strongest.prefillTokensPerSecond * speed) * 1_000
    return prefill + kind.outputTokens * (base + perStream * streams) / speed
  })
  return 2_000 + 2 * Math.max(...completionMilliseconds)
}

/** Has the routers periodically exchange the digests of their learned version policies. */
function exchangeDigests (routers: readonly SimulatedRouter[], time: VirtualTime): void {
  time.after(digestIntervalMilliseconds, () => {
    for (const [index, router] of routers.entries()) router.sendDigest(`decider-${index}`, routers)
    if (time.now() < arrivalsEndMilliseconds) exchangeDigests(routers, time)
  })
}

function schedulePoolOutage ({ poolOutage }: Scenario, user: WorldUser, engines: readonly SimulatedEngine[], time: VirtualTime): void {
  if (poolOutage === undefined) return
  const place = placesOf(user)[0]!
  const poolEngines = engines.filter(engine => engine.options.place.dataCentre === place.dataCentre)
  time.at(poolOutage.startMilliseconds, () => poolEngines.forEach(engine => engine.crash()))
  time.at(poolOutage.endMilliseconds, () => poolEngines.forEach(engine => engine.restart()))
}
