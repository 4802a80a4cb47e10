import { afterEach, expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { type EndpointWork, WorkNews, WorkSums, decodeWork, encodeWork, isEncodedWork, loadKey } from '../src/fleetLoad/index.ts'
import { type Frame, FrameKind, encodeFrame } from '../src/link/frames.ts'
import { AttemptEnd, EndpointLoads, EndpointPlacement } from '../src/placement/index.ts'
import { AnnouncedLimits } from '../src/rateLimit/index.ts'
import { CrowdedEngines, type CrowdOptions, slots } from './fakes/crowdedEngines.ts'
import { limitsOf } from './fakes/limitWorld.ts'

const worlds: CrowdedEngines[] = []
afterEach(() => { for (const world of worlds.splice(0)) world.stop() })

const large = { gateways: 200, engines: 40 }
const small = { gateways: 7, engines: 16 }
const settlingMilliseconds = 4_000
const playedMilliseconds = 8_000

function start (options: CrowdOptions): CrowdedEngines {
  const world = new CrowdedEngines(options)
  worlds.push(world)
  return world
}

function mean (numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0) / numbers.length
}

/** Plays traffic, and returns how full the fullest engine was over the mean, the mean wait and the refusals. */
async function measure (options: CrowdOptions) {
  const world = start(options)
  await world.play(settlingMilliseconds)
  world.waits.length = 0
  world.refused = 0
  const [fullest, ratios]: [number[], number[]] = [[], []]
  await world.play(playedMilliseconds, () => {
    const inFlight = world.engines.map(engine => engine.inFlight)
    fullest.push(Math.max(...inFlight))
    ratios.push(Math.max(...inFlight) / mean(inFlight))
  })
  return { fullest: mean(fullest), ratio: mean(ratios), waitMilliseconds: mean(world.waits), refused: world.refused }
}

test.each([5, 6, 7])('two hundred gateways do not queue at the owners of hot prompts while other engines have free slots (seed %i)', async seed => {
  const { fullest, ratio, waitMilliseconds, refused } = await measure({ ...large, load: 0.5, seed, hasReports: true })
  expect(refused).toBe(0)
  expect(waitMilliseconds).toBeLessThan(50)
  expect(ratio).toBeLessThan(2.75)
  expect(fullest).toBeLessThan(slots * 1.4)
}, 30_000)

test('two hundred gateways refuse less and wait less by shared load than by their own work, near the capacity of the engines', async () => {
  const options = { ...large, load: 0.8, seed: 5 }
  const own = await measure({ ...options, hasReports: false })
  const shared = await measure({ ...options, hasReports: true })
  expect(shared.refused).toBeLessThan(own.refused / 10)
  expect(shared.waitMilliseconds).toBeLessThan(own.waitMilliseconds / 2)
}, 30_000)

test.each([5, 6, 7])('an engine that has just started is not overrun by two hundred gateways that all see it idle (seed %i)', async seed => {
  const world = start({ ...large, load: 0.8, seed, hasReports: true })
  await world.play(settlingMilliseconds)
  const engine = world.addEngine()
  await world.play(3_000)
  expect(engine.mostInFlight).toBeGreaterThan(0)
  expect(engine.mostInFlight).toBeLessThan(slots * 2)
}, 30_000)

test.each([5, 6, 7])('a small fleet does not lose by shared load (seed %i)', async seed => {
  const options = { ...small, load: 0.8, seed }
  const own = await measure({ ...options, hasReports: false })
  const shared = await measure({ ...options, hasReports: true })
  expect(shared.refused).toBe(0)
  expect(shared.waitMilliseconds).toBeLessThan(own.waitMilliseconds * 1.25)
  expect(shared.fullest).toBeLessThan(own.fullest * 1.15)
}, 30_000)

/** One gateway that knows the work of the others. */
function informedPlacement (work: ReadonlyMap<string, EndpointWork>) {
  const [loads, news] = [new EndpointLoads(), new WorkNews()]
  news.record({ work: new Map([...work].map(([identity, own]) => [loadKey(`${identity}@1`), own])), ageMilliseconds: 0 }, 0)
  const announced = new AnnouncedLimits()
  const here = { region: 'coast', dataCentre: 'coast-1' }
  const placement = new EndpointPlacement(here, loads, new SeededRandomness(3), limitsOf(announced), news)
  const endpoints = ['a', 'b', 'c', 'd', 'e', 'f'].map(identity => ({ identity, bornAt: 1, service: 'engines', address: '10.0.0.1:80', place: here, version: 'v1', isDraining: false, models: ['m'], slots }))
  const request = { isStream: true, work: { prefillMilliseconds: 30, generationMilliseconds: 75 }, promptTokens: 600, promptParts: [{ id: 'shared', tokens: 400 }, { id: 'own', tokens: 200 }], model: 'm' }
  const chooseOften = (now: number) => [...Array(200).keys()].map(() => placement.choose(request, endpoints, now)!.identity)
  return { loads, announced, endpoints, request, chooseOften }
}

const quietEngine = { runs: 2, workMilliseconds: 150 }

test('endpoints that fail at once do not draw requests because they look idle', () => {
  const { loads, endpoints, request, chooseOften } = informedPlacement(new Map(['a', 'b', 'c', 'd'].map(identity => [identity, quietEngine])))
  for (let index = 0; index < 10; index++) {
    for (const failing of endpoints.slice(4)) loads.track(failing, request.work, index).close(AttemptEnd.Failed, index)
  }
  expect(chooseOften(100).filter(identity => identity === 'e' || identity === 'f')).toEqual([])
})

test('an endpoint whose slots are all taken by other gateways gets no request while another has a free one', () => {
  const { chooseOften } = informedPlacement(new Map([['a', { runs: 30, workMilliseconds: 900 }], ['b', { runs: slots, workMilliseconds: 900 }]]))
  expect(chooseOften(100).filter(identity => identity === 'a' || identity === 'b')).toEqual([])
})

test('with old news the endpoint is chosen by own work, as without any', () => {
  const { chooseOften } = informedPlacement(new Map(['a', 'b', 'c', 'd', 'e', 'f'].map(identity => [identity, { runs: 30, workMilliseconds: 900 }])))
  expect(new Set(chooseOften(10_000)).size).toBe(1)
})

test('while an endpoint with a limit may be chosen, own work and its places decide as before', () => {
  const crowded = new Map(['a', 'b', 'c', 'd', 'e', 'f'].map(identity => [identity, { runs: 30, workMilliseconds: 900 }]))
  const choicesBy = (work: ReadonlyMap<string, EndpointWork>) => {
    const { announced, chooseOften } = informedPlacement(work)
    announced.merge([{ instance: 'f@1', revision: 1, requestsPerSecond: 50 }], 0)
    chooseOften(100)
    return chooseOften(2_500)
  }
  expect(choicesBy(crowded)).toEqual(choicesBy(new Map()))
  expect(new Set(choicesBy(crowded)).size).toBe(1)
})

test('when all seeds are gone the news is used no more, and placement goes on by own work', async () => {
  const world = start({ ...small, load: 0.3, seed: 5, hasReports: true })
  await world.play(settlingMilliseconds)
  expect(world.news.every(news => news.isFresh(world.clock.now()))).toBe(true)
  const fleetOfStoppedSeeds = world.news.slice(3)
  for (const seed of [0, 1, 2]) world.network.remove(`gateway-${seed}`)
  await world.play(5_000)
  expect(fleetOfStoppedSeeds.some(news => news.isFresh(world.clock.now()))).toBe(false)
  expect(world.refused).toBe(0)
  expect(world.lines.filter(({ event }) => event === 'load_news_source').length).toBeLessThanOrEqual(2 * small.gateways)
})

test('when one seed is gone, all gateways have fresh news from another within three seconds', async () => {
  const world = start({ gateways: 23, engines: 18, load: 0.5, seed: 5, hasReports: true })
  await world.play(settlingMilliseconds)
  world.network.remove('gateway-0')
  let staleSamples = 0
  await world.play(6_000, () => {
    if (world.news.slice(1).some(news => !news.isFresh(world.clock.now()))) staleSamples++
  })
  expect(staleSamples).toBe(0)
}, 20_000)

test('an idle fleet sends no reports', async () => {
  const world = start({ ...small, load: 0.5, seed: 5, hasReports: true })
  await world.clock.advance(20_000)
  expect(world.network.requestCounts.size).toBe(0)
})

test('a busy fleet of two hundred gateways sends about one small report a second each, and few sums', async () => {
  const world = start({ ...large, load: 0.5, seed: 5, hasReports: true })
  await world.play(settlingMilliseconds)
  const [reportsBefore, sumsBefore] = [world.network.requestCounts.get('load_report')!, world.network.requestCounts.get('load_sum')!]
  await world.play(5_000)
  expect((world.network.requestCounts.get('load_report')! - reportsBefore) / 5 / large.gateways).toBeLessThan(1.1)
  expect((world.network.requestCounts.get('load_sum')! - sumsBefore) / 5).toBeLessThanOrEqual(3 * 2 * 2 + 1)
}, 20_000)

test.each([
  { gateways: 7, engines: 21, reported: 15, maximumBytes: 5_000 },
  { gateways: 90, engines: 60, reported: 6, maximumBytes: 65_000 },
  { gateways: 195, engines: 87, reported: 5, maximumBytes: 175_000 },
  { gateways: 353, engines: 160, reported: 5, maximumBytes: 525_000 }
])('the reports of $gateways gateways stay within $maximumBytes bytes a second over all links', ({ gateways, engines, reported, maximumBytes }) => {
  const workAt = (count: number) => encodeWork(new Map(Array.from({ length: count }, (_, index) => [loadKey(`e${index}@1`), { runs: 8, workMilliseconds: 600 }])))
  const bytesOf = (frame: Frame) => encodeFrame(frame).unwrap().length
  const id = 40_000
  const report = bytesOf({ kind: FrameKind.Request, id, type: 'load_report', body: { work: workAt(reported) } })
  const reply = bytesOf({ kind: FrameKind.Reply, id, body: { work: workAt(engines), ageMilliseconds: 431.25 } })
  const sum = bytesOf({ kind: FrameKind.Request, id, type: 'load_sum', body: { work: workAt(engines) } })
  const sumReply = bytesOf({ kind: FrameKind.Reply, id, body: {} })
  const sumsPerSecond = 3 * 2 * 2
  expect((gateways - 3) * (report + reply) + sumsPerSecond * (sum + sumReply)).toBeLessThan(maximumBytes)
})

test('a gateway is told the work of all others and not its own', () => {
  const sums = new WorkSums()
  const engine = loadKey('e1@1')
  sums.recordReport('a', new Map([[engine, { runs: 2, workMilliseconds: 100 }]]), 0)
  sums.recordReport('b', new Map([[engine, { runs: 3, workMilliseconds: 60 }]]), 0)
  sums.recordPeerSum('seed-2', new Map([[engine, { runs: 10, workMilliseconds: 700 }]]), 0)
  expect(sums.withoutGateway('a', 500)).toEqual({ work: new Map([[engine, { runs: 13, workMilliseconds: 760 }]]), ageMilliseconds: 500 })
  expect(sums.ownSum(500).get(engine)).toEqual({ runs: 5, workMilliseconds: 160 })
})

test('a report replaces the one before, and lapses with all that a gateway or seed told when nothing follows', () => {
  const sums = new WorkSums()
  const engine = loadKey('e1@1')
  sums.recordReport('a', new Map([[engine, { runs: 2, workMilliseconds: 100 }]]), 0)
  sums.recordReport('a', new Map([[engine, { runs: 1, workMilliseconds: 40 }]]), 1_000)
  expect(sums.ownSum(1_000).get(engine)).toEqual({ runs: 1, workMilliseconds: 40 })
  sums.recordPeerSum('seed-2', new Map([[engine, { runs: 1, workMilliseconds: 8 }]]), 1_000)
  expect(sums.withoutGateway('b', 4_001).work.size).toBe(0)
  expect(sums.hasReports(4_001)).toBe(false)
})

test('news older than three seconds is not used, counted from its question', () => {
  const news = new WorkNews()
  expect(news.workAt('e1@1', 0)).toBeUndefined()
  news.record({ work: new Map([[loadKey('e1@1'), { runs: 4, workMilliseconds: 80 }]]), ageMilliseconds: 300 }, 1_000)
  expect(news.workAt('e1@1', 4_000)?.runs).toBe(4)
  expect(news.workAt('e2@1', 4_000)?.runs).toBe(0)
  expect(news.ageMilliseconds(1_500)).toBe(800)
  expect(news.workAt('e1@1', 4_001)).toBeUndefined()
})

test('work keeps its numbers over the link to 4 ms, in 8 bytes an endpoint, and other bytes are refused', () => {
  const work = new Map([[loadKey('e1@1'), { runs: 3, workMilliseconds: 420 }], [loadKey('e2@7'), { runs: 70_000, workMilliseconds: 1e9 }], [loadKey('e3@1'), { runs: 0, workMilliseconds: 0 }]])
  const bytes = encodeWork(work)
  expect(bytes.length).toBe(2 * 8)
  expect(isEncodedWork(bytes)).toBe(true)
  expect(decodeWork(bytes).get(loadKey('e1@1'))).toEqual({ runs: 3, workMilliseconds: 420 })
  expect(decodeWork(bytes).get(loadKey('e2@7'))).toEqual({ runs: 65_535, workMilliseconds: 65_535 * 4 })
  expect(isEncodedWork(bytes.subarray(1))).toBe(false)
  expect(isEncodedWork('text')).toBe(false)
})
