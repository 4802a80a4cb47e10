/** One run: a user's fleet, its deciders with their policies, the news between them, and the arrivals of a seed. */
import { type Place, type Randomness, SeededRandomness, type VersionName } from '../src/contract/index.ts'
import type { VersionCandidate } from '../src/choice/index.ts'
import { type Arrival, drawArrivals } from './arrivals.ts'
import { Decider } from './decider.ts'
import type { DeciderPolicies } from './deciderParts.ts'
import type { FakeEngine } from './engine.ts'
import { buildFleet, placesOf } from './fleet.ts'
import { FullnessWatch } from './fullnessWatch.ts'
import { type Figures, Measure, percentile } from './measure.ts'
import { NewsFeed, startReports } from './news.ts'
import { Ratings } from './ratings.ts'
import { arrivalsEndMilliseconds, measuredFromMilliseconds, measuredUntilMilliseconds, type Scenario, warmingMilliseconds } from './scenario.ts'
import { benchVersionName } from './versionBaselines.ts'
import { VirtualTime } from './virtualTime.ts'
import type { World, WorldUser } from './world.ts'

/** What a run is made of. */
export interface RunPlan {
  readonly world: World
  readonly user: WorldUser
  readonly scenario: Scenario
  readonly seed: number
  /** Requests a second at 100 % load. */
  readonly fullRequestsPerSecond: number
  /** The share of the accelerators that each version gets. */
  readonly acceleratorShares: ReadonlyMap<string, number>
  /** Entry VMs of the user. */
  readonly deciders: number
  policiesOf (here: Place, randomness: Randomness): DeciderPolicies
}

/** What came of a run. */
export interface RunResult {
  readonly figures: Figures
  /** p95 of the first token of the organisations that send no more than their share. */
  readonly othersFirstTokenP95: number
  /** The share of prompt tokens that engines had cached. */
  readonly cachedShare: number
  /** Mean over moments of the fullest engine's load over the mean of its version's engines. */
  readonly fullestOverMean: number
}

const drainMilliseconds = 120_000
const digestEveryMilliseconds = 15_000
const floodFromMilliseconds = 5_000

/**
 * Runs a scenario under policies.
 *
 * @example
 * const { figures } = runScenario(plan)
 */
export function runScenario (plan: RunPlan): RunResult {
  const { world, user, scenario } = plan
  const time = new VirtualTime()
  const engines = buildFleet(world, user, plan.acceleratorShares, time)
  const measure = new Measure()
  const deciders = buildDeciders(plan, time, engines, measure)
  exchangeDigests(deciders, time)
  const arrivals = drawArrivals({
    world,
    user,
    seed: plan.seed,
    requestsPerSecond: plan.fullRequestsPerSecond * scenario.load,
    startMilliseconds: -warmingMilliseconds,
    endMilliseconds: arrivalsEndMilliseconds,
    flood: scenario.flood === undefined ? undefined : { organisation: user.organisations[0]!.name, factor: scenario.flood, fromMilliseconds: floodFromMilliseconds }
  })
  const places = placesOf(user)
  const deciderOf = (arrival: Arrival) => {
    const region = places[Math.floor(arrival.caller * places.length)]!.region
    const near = deciders.filter(decider => decider.here.region === region)
    return near[Math.floor(arrival.decider * near.length)]!
  }
  for (const arrival of arrivals) {
    if (arrival.at >= 0) time.at(arrival.at, () => deciderOf(arrival).serve(arrival))
    else if (arrival.session !== undefined) deciderOf(arrival).warm(arrival)
  }
  losePool(scenario, user, engines, time)
  const fullness = new FullnessWatch(engines, time)
  time.runUntil(arrivalsEndMilliseconds + drainMilliseconds)
  const seconds = (measuredUntilMilliseconds - measuredFromMilliseconds) / 1_000
  const flooding = user.organisations[0]!.name
  return {
    figures: measure.figures(seconds, world.qualityTarget),
    othersFirstTokenP95: percentile(measure.firstTokens(organisation => organisation !== flooding), 0.95),
    cachedShare: measure.cachedShare,
    fullestOverMean: fullness.mean()
  }
}

function buildDeciders (plan: RunPlan, time: VirtualTime, engines: readonly FakeEngine[], measure: Measure): Decider[] {
  const { world, user, scenario, seed } = plan
  const byName = new Map(engines.map(engine => [engine.parts.name, engine]))
  const pins = new Map<string, VersionName>()
  const ratings = new Ratings(world, time, new SeededRandomness(seed * 31 + 5), scenario.bad)
  const candidates: VersionCandidate[] = world.versions.map(version => ({ name: benchVersionName(version.name), price: version.price, available: true }))
  const deadlines = new Map([...world.kinds.keys()].map(kind => [kind, deadlineOf(world, kind)]))
  const places = placesOf(user)
  const feeds = new Map(places.map((place, index) =>
    [place.dataCentre, new NewsFeed(engines, world, time, new SeededRandomness(seed * 131 + index), scenario.lagFactor ?? 1)]))
  const reports = { engines, feeds: [...feeds.values()], everyMilliseconds: world.news.loadReportEveryMilliseconds, endMilliseconds: arrivalsEndMilliseconds + drainMilliseconds / 2 }
  startReports(reports, time, new SeededRandomness(seed * 137))
  return Array.from({ length: plan.deciders }, (_, index) => {
    const here = places[index % places.length]!
    const randomness = new SeededRandomness(seed * 1_009 + index)
    return new Decider({
      world,
      user,
      here,
      time,
      news: feeds.get(here.dataCentre)!,
      engines: byName,
      candidates: () => candidates,
      policies: plan.policiesOf(here, randomness),
      ratings,
      measure,
      randomness,
      pins,
      deadlineOf: kind => deadlines.get(kind)!,
      measured: arrival => arrival.at >= measuredFromMilliseconds && arrival.at < measuredUntilMilliseconds
    })
  })
}

/** Callers give up at twice the time that the strongest version needs on the slowest hardware with a full batch. */
export function deadlineOf (world: World, kindName: string): number {
  const kind = world.kinds.get(kindName)!
  const strongest = world.versions.at(-1)!
  const { base, perStream } = strongest.decodeMilliseconds
  const needs = world.hardware.map(({ speed, streams }) => {
    const prefill = kind.inputTokens / (strongest.prefillTokensPerSecond * speed) * 1_000
    return prefill + kind.outputTokens * (base + perStream * streams) / speed
  })
  return 2_000 + 2 * Math.max(...needs)
}

/** Daemons tell each other every so often what their version policies have seen. */
function exchangeDigests (deciders: readonly Decider[], time: VirtualTime): void {
  time.after(digestEveryMilliseconds, () => {
    for (const [index, decider] of deciders.entries()) decider.tell(`decider-${index}`, deciders)
    if (time.now() < arrivalsEndMilliseconds) exchangeDigests(deciders, time)
  })
}

function losePool ({ poolLost }: Scenario, user: WorldUser, engines: readonly FakeEngine[], time: VirtualTime): void {
  if (poolLost === undefined) return
  const place = placesOf(user)[0]!
  const lost = engines.filter(engine => engine.parts.place.dataCentre === place.dataCentre)
  time.at(poolLost.atMilliseconds, () => lost.forEach(engine => engine.die()))
  time.at(poolLost.backAtMilliseconds, () => lost.forEach(engine => engine.restart()))
}
