import { afterEach, expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { PromptBreaker } from '../src/breaker/index.ts'
import { FleetDirectory, FleetReports } from '../src/fleet/index.ts'
import { NewsExchange } from '../src/news/index.ts'
import { Log } from '../src/observe/index.ts'
import { AnnouncedLimits } from '../src/rateLimit/index.ts'
import { FakeLinkNetwork } from './fakes/fakeLink.ts'
import { ManualClock } from './fakes/manualClock.ts'

const log = new Log('error', {}, () => undefined)
const seedCount = 3
/** All gateways that can be reached keep a limit from this time after an endpoint first named it. */
const knownEverywhereMilliseconds = 4_000
const stops: (() => void)[] = []
afterEach(() => { for (const stop of stops.splice(0)) stop() })

function createNetwork () {
  const clock = new ManualClock()
  return { clock, network: new FakeLinkNetwork(clock, new SeededRandomness(11)) }
}

/** Starts the gateways of a fleet; the first are its seeds. */
function startGateway ({ clock, network }: ReturnType<typeof createNetwork>, index: number) {
  const region = index % 2 === 0 ? 'coast' : 'hills'
  const address = `gateway-${index}`
  const seeds = () => [...Array(seedCount).keys()].map(seed => `gateway-${seed}`)
  const link = network.linkFor({ name: address, address, place: { region, dataCentre: region }, rack: '', incarnation: 1 })
  const directory = new FleetDirectory({ self: { address, region }, seeds, startedAt: clock.now(), now: () => clock.now() })
  const reports = new FleetReports({ link, directory, seeds, clock, log })
  reports.start()
  stops.push(() => reports.stop())
  return { address, directory, reports, link }
}

const addressesOf = (directory: FleetDirectory) => directory.members.map(({ address }) => address).sort()

test.each([7, 231])('each of %i gateways soon knows all others and their regions', async size => {
  const world = createNetwork()
  const gateways = [...Array(size).keys()].map(index => startGateway(world, index))
  expect(gateways.at(-1)!.directory.isSettled).toBe(false)
  await world.clock.advance(5_000)
  const all = gateways.map(({ address }) => address).sort()
  for (const { directory } of gateways) {
    expect(addressesOf(directory)).toEqual(all)
    expect(directory.isSettled).toBe(true)
    expect(directory.members.every(({ region }) => region !== undefined)).toBe(true)
  }
})

test('a gateway that starts later is known everywhere within the longest interval, and one that is gone is forgotten', async () => {
  const world = createNetwork()
  const gateways = [...Array(6).keys()].map(index => startGateway(world, index))
  await world.clock.advance(60_000)
  startGateway(world, 6)
  gateways[5]!.reports.stop()
  world.network.remove(gateways[5]!.address)
  await world.clock.advance(25_000)
  for (const { directory } of gateways.slice(0, 5)) expect(addressesOf(directory)).toContain('gateway-6')
  expect(addressesOf(gateways[0]!.directory)).toContain('gateway-5')
  await world.clock.advance(160_000)
  for (const { directory } of gateways.slice(0, 5)) expect(addressesOf(directory)).not.toContain('gateway-5')
})

test('while no seed answers nobody is forgotten, and a gateway that starts takes the seeds for its fleet', async () => {
  const world = createNetwork()
  const gateways = [...Array(6).keys()].map(index => startGateway(world, index))
  await world.clock.advance(30_000)
  world.network.conditions.lossRate = () => 1
  const fresh = startGateway(world, 9)
  await world.clock.advance(600_000)
  for (const { directory } of gateways.slice(seedCount)) expect(directory.members.length).toBe(6)
  expect(addressesOf(fresh.directory)).toEqual(['gateway-0', 'gateway-1', 'gateway-2', 'gateway-9'])
  expect(fresh.directory.isSettled).toBe(true)
})

test('an unchanged list is not sent again, and keeps the same members array', async () => {
  const world = createNetwork()
  const gateways = [...Array(5).keys()].map(index => startGateway(world, index))
  await world.clock.advance(30_000)
  const before = gateways[4]!.directory.members
  await world.clock.advance(60_000)
  expect(gateways[4]!.directory.members).toBe(before)
})

/** Gateways that tell each other of limits; each knows up to 64 of the others. */
function startTellers (world: ReturnType<typeof createNetwork>, size: number) {
  const randomness = new SeededRandomness(size)
  const peers = [...Array(size).keys()].map(index => ({ name: `gateway-${index}`, address: `gateway-${index}` }))
  return peers.map(({ name, address }, index) => {
    const region = index % 2 === 0 ? 'coast' : 'hills'
    const link = world.network.linkFor({ name, address, place: { region, dataCentre: region }, rack: '', incarnation: 1 })
    const others = peers.filter(peer => peer.name !== name)
    while (others.length > 64) others.splice(randomness.integerBelow(others.length), 1)
    const limits = new AnnouncedLimits()
    const news = new NewsExchange({ link, breaker: new PromptBreaker({ name }), limits, peers: () => others, onBreakerNews: () => undefined, clock: world.clock, randomness: new SeededRandomness(index), log })
    news.start()
    stops.push(() => news.stop())
    return { limits, news }
  })
}

test.each([7, 91, 231, 1_000])('what one of %i gateways sees of a limit, its change and its end is known to all in time', async size => {
  const world = createNetwork()
  world.network.conditions.delayMilliseconds = (from, to) => from.place.region === to.place.region ? 1 : 20
  const gateways = startTellers(world, size)
  await world.clock.advance(1_000)
  const observe = (index: number, requestsPerSecond: number | undefined) => {
    const { limits, news } = gateways[index]!
    const announcement = requestsPerSecond === undefined ? { type: 'unlimited' } as const : { type: 'limited', requestsPerSecond } as const
    if (limits.observe({ instance: 'e1@1', announcement, sentAt: world.clock.now() - 1, isServed: true }, world.clock.now())) news.publish()
  }
  for (const [index, requestsPerSecond] of [[0, 3], [3, 2], [5, undefined]] as const) {
    observe(index, requestsPerSecond)
    await world.clock.advance(knownEverywhereMilliseconds)
    for (const { limits } of gateways) {
      const known = limits.of('e1@1', world.clock.now())
      expect(known?.endedAt === undefined ? known?.requestsPerSecond : undefined).toBe(requestsPerSecond)
    }
  }
}, 60_000)

test('a gateway that was cut off while a limit began hears of it when it is renewed', async () => {
  const world = createNetwork()
  const gateways = startTellers(world, 6)
  world.network.conditions.lossRate = (from, to) => from.name === 'gateway-5' || to.name === 'gateway-5' ? 1 : 0
  const observe = (index: number) => {
    const { limits, news } = gateways[index]!
    if (limits.observe({ instance: 'e1@1', announcement: { type: 'limited', requestsPerSecond: 2 }, sentAt: world.clock.now(), isServed: true }, world.clock.now())) news.publish()
  }
  observe(0)
  await world.clock.advance(15_000)
  expect(gateways[5]!.limits.of('e1@1', world.clock.now())).toBeUndefined()
  world.network.conditions.lossRate = () => 0
  await world.clock.advance(5_000)
  observe(0)
  await world.clock.advance(1_000)
  expect(gateways[5]!.limits.of('e1@1', world.clock.now())?.requestsPerSecond).toBe(2)
})
