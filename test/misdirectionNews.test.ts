import { afterEach, expect, test } from 'vitest'
import { PromptBreaker, breakerNewsSchema } from '../src/breaker/index.ts'
import { SeededRandomness } from '../src/contract/index.ts'
import type { MessageType } from '../src/link/index.ts'
import { NewsExchange } from '../src/news/index.ts'
import { Log } from '../src/observe/index.ts'
import { AnnouncedLimits } from '../src/rateLimit/index.ts'
import { FakeLinkNetwork } from './fakes/fakeLink.ts'
import { ManualClock } from './fakes/manualClock.ts'
import { noMisdirected } from './fakes/misdirection.ts'

const stops: (() => void)[] = []
afterEach(() => { for (const stop of stops.splice(0)) stop() })

const log = new Log('error', {}, () => undefined)
const endpoint = { identity: 'e1', bornAt: 1, address: '10.0.0.1:80', heartbeat: 4 }
const knownPeerCount = 64
/** Time in which a rejection is known at all gateways that can be reached. */
const knownEverywhereMilliseconds = 4_000
const earlierMessage: MessageType<object, object> = { name: 'breaker_news', body: breakerNewsSchema, reply: breakerNewsSchema }

class TellingFleet {
  readonly clock = new ManualClock()
  readonly network = new FakeLinkNetwork(this.clock, new SeededRandomness(5))
  readonly #randomness: SeededRandomness
  readonly #size: number

  constructor (size: number) {
    this.#size = size
    this.#randomness = new SeededRandomness(size)
    this.network.conditions.delayMilliseconds = (from, to) => from.place.region === to.place.region ? 1 : 20
  }

  linkOf (index: number) {
    const region = index % 2 === 0 ? 'coast' : 'hills'
    return this.network.linkFor({ ...peerAt(index), place: { region, dataCentre: region }, rack: '', incarnation: 1 })
  }

  start (index: number) {
    const others = [...Array(this.#size).keys()].filter(other => other !== index).map(peerAt)
    while (others.length > knownPeerCount) others.splice(this.#randomness.integerBelow(others.length), 1)
    const misdirected = noMisdirected({ randomness: new SeededRandomness(index) })
    const news = new NewsExchange({ link: this.linkOf(index), breaker: new PromptBreaker(peerAt(index)), limits: new AnnouncedLimits(), misdirected, peers: () => others, onBreakerNews: () => undefined, clock: this.clock, randomness: new SeededRandomness(index), log })
    news.start()
    stops.push(() => news.stop())
    return { misdirected, news }
  }
}

function peerAt (index: number) {
  return { name: `gateway-${index}`, address: `gateway-${index}` }
}

test.each([2, 8, 90, 195])('what one of %i gateways learns of an address is known to all, and so is that the endpoint answers there again', async size => {
  const fleet = new TellingFleet(size)
  const gateways = [...Array(size).keys()].map(index => fleet.start(index))
  await fleet.clock.advance(1_000)
  const [first, last] = [gateways[0]!, gateways.at(-1)!]
  const misdirectedCount = () => gateways.filter(({ misdirected }) => misdirected.isMisdirected(endpoint, fleet.clock.now())).length
  if (first.misdirected.recordRejection(endpoint, fleet.clock.now(), fleet.clock.now())) first.news.publish()
  await fleet.clock.advance(knownEverywhereMilliseconds)
  expect(misdirectedCount()).toBe(size)
  if (last.misdirected.recordAnswer(endpoint, fleet.clock.now(), fleet.clock.now())) last.news.publish()
  await fleet.clock.advance(knownEverywhereMilliseconds)
  expect(misdirectedCount()).toBe(0)
}, 60_000)

test('a gateway that starts hears of what was learnt long before', async () => {
  const fleet = new TellingFleet(3)
  const first = fleet.start(0)
  fleet.start(1)
  first.misdirected.recordRejection(endpoint, fleet.clock.now(), fleet.clock.now())
  await fleet.clock.advance(60_000)
  const { misdirected } = fleet.start(2)
  await fleet.clock.advance(500)
  expect(misdirected.all(fleet.clock.now())).toEqual([{ instance: 'e1@1', address: endpoint.address, heartbeat: 4, revision: 1, isMisdirected: true }])
})

test('gateways of an earlier build tell and are told the news that they know', async () => {
  const fleet = new TellingFleet(2)
  const { misdirected } = fleet.start(0)
  misdirected.recordRejection(endpoint, fleet.clock.now(), fleet.clock.now())
  const reply = fleet.linkOf(1).request(peerAt(0), earlierMessage, { reports: [], blocks: [], answers: [] }, 1_000)
  await fleet.clock.advance(100)
  expect((await reply).unwrap()).toEqual({ reports: [], blocks: [], answers: [] })
  expect(misdirected.isMisdirected(endpoint, fleet.clock.now())).toBe(true)
})
