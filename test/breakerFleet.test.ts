import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { EndpointRuns, PromptBreaker, type SharedPrompt } from '../src/breaker/index.ts'
import { NewsExchange } from '../src/news/index.ts'
import { AnnouncedLimits } from '../src/rateLimit/index.ts'
import type { Peer } from '../src/link/index.ts'
import { Log } from '../src/observe/index.ts'
import { FakeLinkNetwork } from './fakes/fakeLink.ts'
import { ManualClock } from './fakes/manualClock.ts'

/** After the fifth crash all gateways that can be reached know of the part within this time. */
const knownEverywhereMilliseconds = 4_000
/** Number of peers that a gateway of a large fleet knows. */
const knownPeerCount = 64
const dataCentres = ['coast-1', 'coast-2', 'inland-1']
const poisoned: SharedPrompt = { organisation: 'harbour', parts: ['system', 'poison'] }
const crashDelayMilliseconds = 60

interface Gateway {
  readonly name: string
  readonly breaker: PromptBreaker
  readonly runs: EndpointRuns
  readonly exchange: NewsExchange
}

/** Creates gateways that know each other, or in a large fleet some of each other, and never reach a store. */
function createFleet (size: number) {
  const clock = new ManualClock()
  const randomness = new SeededRandomness(size)
  const network = new FakeLinkNetwork(clock, randomness)
  network.conditions.delayMilliseconds = (from, to) => from.place.region === to.place.region ? 1 : 20
  const log = new Log('error', {}, () => undefined)
  const peers: Peer[] = Array.from({ length: size }, (_, index) => ({ name: `gateway-${index}`, address: `gateway-${index}` }))
  const start = (index: number): Gateway => {
    const { name, address } = peers[index]!
    const dataCentre = dataCentres[index % dataCentres.length]!
    const link = network.linkFor({ name, address, place: { region: dataCentre.split('-')[0]!, dataCentre }, rack: '', incarnation: 1 })
    const others = peers.filter(peer => peer.name !== name)
    while (others.length > knownPeerCount) others.splice(randomness.integerBelow(others.length), 1)
    const breaker = new PromptBreaker({ name })
    const runs: EndpointRuns = new EndpointRuns({ name, breaker, hasCrashed: async () => true, onNews: () => exchange.publish(), clock, log })
    const exchange: NewsExchange = new NewsExchange({ link, breaker, peers: () => others, limits: new AnnouncedLimits(), onBreakerNews: () => runs.cancelBlocked(clock.now()), clock, randomness: new SeededRandomness(index), log })
    exchange.start()
    return { name, breaker, runs, exchange }
  }
  const gateways = peers.map((_, index) => start(index))
  const stop = async () => {
    for (const { exchange } of gateways) exchange.stop()
    await clock.advance(10_000)
  }
  return { clock, network, gateways, start, stop }
}

/** A request with the poison part at a gateway, whose endpoint crashes soon after the run began. */
async function crashUnder ({ name, breaker, runs }: Gateway, clock: ManualClock, index: number): Promise<boolean> {
  if (breaker.admit(poisoned, clock.now()).err) return false
  const run = runs.open({ instance: `engine-of-${name}-${index}`, address: '', prompt: poisoned, cancel: () => undefined })
  run.recordOutput(clock.now())
  await clock.advance(crashDelayMilliseconds)
  run.recordBreak(clock.now())
  run.close()
  return true
}

const isBlocked = ({ breaker }: Gateway, clock: ManualClock) => breaker.admit(poisoned, clock.now()).err

test.each([6, 231])('one crash seen at each of five gateways is known at all %i gateways in time, without the store', async size => {
  const { clock, gateways, stop } = createFleet(size)
  await clock.advance(2_000)
  for (let index = 0; index < 5; index++) await crashUnder(gateways[Math.floor(index * size / 5)]!, clock, index)
  await clock.advance(knownEverywhereMilliseconds)
  expect(gateways.filter(gateway => !isBlocked(gateway, clock)).map(({ name }) => name)).toEqual([])
  await stop()
}, 60_000)

test('a gateway that has just started knows of a blocked part at once', async () => {
  const { clock, gateways, start, stop } = createFleet(6)
  await clock.advance(2_000)
  for (let index = 0; index < 5; index++) await crashUnder(gateways[index]!, clock, index)
  await clock.advance(knownEverywhereMilliseconds)
  const restarted = start(3)
  await clock.advance(100)
  expect(isBlocked(restarted, clock)).toBe(true)
  restarted.exchange.stop()
  await stop()
})

test('gateways that were cut off from those that saw the crashes know of the part in time after the cut', async () => {
  const { clock, network, gateways, stop } = createFleet(9)
  await clock.advance(2_000)
  for (const dataCentre of ['coast-1', 'coast-2']) network.partition('inland-1', dataCentre)
  for (let index = 0; index < 5; index++) await crashUnder(gateways[index % 3 === 2 ? 0 : index]!, clock, index)
  await clock.advance(knownEverywhereMilliseconds)
  expect(gateways.filter(gateway => isBlocked(gateway, clock))).toHaveLength(6)
  for (const dataCentre of ['coast-1', 'coast-2']) network.heal('inland-1', dataCentre)
  await clock.advance(knownEverywhereMilliseconds)
  expect(gateways.filter(gateway => isBlocked(gateway, clock))).toHaveLength(9)
  await stop()
})

test('trying a blocked part again costs a large fleet one endpoint, however many gateways get requests with it', async () => {
  const { clock, gateways, stop } = createFleet(60)
  await clock.advance(2_000)
  for (let index = 0; index < 5; index++) await crashUnder(gateways[index]!, clock, index)
  await clock.advance(knownEverywhereMilliseconds)
  let admitted = 0
  for (let second = 0; second < 90; second++) {
    await clock.advance(1_000)
    for (const gateway of gateways) if (await crashUnder(gateway, clock, 100 + second)) admitted++
  }
  expect(admitted).toBe(1)
  await stop()
}, 60_000)

test('with nothing to tell, gateways send each other nothing', async () => {
  const { clock, network, stop } = createFleet(6)
  await clock.advance(10_000)
  const sent = network.requestCounts.get('breaker_news')
  await clock.advance(60_000)
  expect(network.requestCounts.get('breaker_news')).toBe(sent)
  await stop()
})
