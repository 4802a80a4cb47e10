import { afterEach, beforeEach, expect, test } from 'vitest'
import { type EndpointStandIn, type EndpointHandler } from '../platform/standin/index.ts'
import { PlatformHeaders } from '../platform/index.ts'
import { SeededRandomness } from '../src/contract/index.ts'
import { EndpointAnnouncements } from '../src/gateway/index.ts'
import { Log } from '../src/observe/index.ts'
import { AnnouncedLimits, WarmUps } from '../src/rateLimit/index.ts'
import { EndpointLoads, EndpointRegistry, overloadBackoff } from '../src/placement/index.ts'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import { ManualClock } from './fakes/manualClock.ts'
import { noMisdirected } from './fakes/misdirection.ts'

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => await harness.close())

async function startReadyForwarder (seeds: readonly string[] = [], storeAddress?: string): Promise<string> {
  harness.putConfiguration(1)
  const host = await harness.startForwarder({ seeds, storeAddress })
  await harness.waitUntilReady(host)
  return host
}

const streamHeaders = { model: '*', 'token-usage': '600,100', 'prefix-hash': 'a1:500,b2:100', 'deadline-ms': '2000' }

const drainingAnswer: EndpointHandler = (_request, response) => {
  response.setHeader('server-leaving', '1')
  response.end('done')
}
const drainingStream: EndpointHandler = (_request, response) => {
  response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90, 'server-leaving': '1' })
  response.end(formatEvent(1))
}
const drainingRefusal: EndpointHandler = (_request, response) => {
  response.writeHead(503, { 'not-executed': '1', 'server-leaving': '1' })
  response.end()
}
const overloadedFor = (retryAfter: string): EndpointHandler => (_request, response) => {
  response.writeHead(503, { 'not-executed': '1', 'retry-after': retryAfter })
  response.end()
}

/** Sends requests until the endpoint has been reached once. */
async function callUntilReached (host: string, endpoint: EndpointStandIn, path: string, headers: Record<string, string> = {}): Promise<void> {
  await waitUntil(async () => {
    await harness.call(host, path, { headers })
    return endpoint.received.length > 0
  })
}

test.each([
  ['a whole answer', 'ledger', '/balance/1', drainingAnswer],
  ['a stream', 'engines', '/query/1', drainingStream],
  ['a refusal', 'ledger', '/balance/1', drainingRefusal]
] as const)('an endpoint that announces its drain in %s gets no further request, although its row says that it is ready', async (_name, service, path, handler) => {
  const draining = await harness.startEndpoint(service)
  const other = await harness.startEndpoint(service)
  draining.handleWith(handler)
  other.handleWith((_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    response.end(formatEvent(1))
  })
  const host = await startReadyForwarder()
  const headers = service === 'engines' ? streamHeaders : {}
  await callUntilReached(host, draining, path, headers)
  harness.store.injectFault('silent')
  // Longer than an endpoint is left alone after any refusal.
  await new Promise(resolve => setTimeout(resolve, 400))
  const received = draining.received.length
  for (let call = 0; call < 20; call++) expect((await harness.call(host, `${path}${call}`, { headers })).status).toBe(200)
  expect(draining.received.length).toBe(received)
}, 30_000)

test('an endpoint that starts again under its identity serves, although it announced its drain before', async () => {
  const endpoint = await harness.startEndpoint('ledger')
  endpoint.handleWith(drainingAnswer)
  const host = await startReadyForwarder()
  await callUntilReached(host, endpoint, '/balance/1')
  expect((await harness.call(host, '/balance/2')).status).toBe(503)
  endpoint.handleWith((_request, response) => { response.end('done') })
  harness.store.put('servers', endpoint.identity, { ...harness.store.read('servers', endpoint.identity) as object, born: 2 })
  await waitUntil(async () => (await harness.call(host, '/balance/3')).status === 200)
}, 30_000)

test('a gateway that the store rejects hears from a peer which endpoints are draining', async () => {
  const draining = await harness.startEndpoint('ledger')
  draining.handleWith(drainingAnswer)
  const first = await startReadyForwarder()
  const rejecting = await harness.store.addListener('127.0.0.1')
  const second = await startReadyForwarder([`${first}:8229`], rejecting.address)
  rejecting.fault = 'busy'
  await callUntilReached(first, draining, '/balance/1')
  await waitUntil(async () => (await harness.call(second, '/balance/2')).status === 503)
  const received = draining.received.length
  for (let call = 0; call < 5; call++) await harness.call(second, '/balance/3')
  expect(draining.received.length).toBe(received)
}, 30_000)

test('an endpoint that refuses with a retry time gets no request until then, and its work goes to another', async () => {
  const retryMilliseconds = 3_000
  const overloaded = await harness.startEndpoint('ledger')
  const other = await harness.startEndpoint('ledger')
  overloaded.handleWith(overloadedFor(String(retryMilliseconds / 1_000)))
  const host = await startReadyForwarder()
  let sent = 0
  const callUntil = async (received: number, callsAtOnce: number) => {
    for (; overloaded.received.length < received; sent += callsAtOnce) {
      const calls = await Promise.all(Array.from({ length: callsAtOnce }, () => harness.call(host, '/balance/1')))
      expect(calls.map(call => call.status)).toEqual(calls.map(() => 200))
    }
  }
  await callUntil(1, 1)
  overloaded.handleWith((_request, response) => { response.end('done') })
  await callUntil(2, 10)
  const [refused, next] = overloaded.received
  expect(next!.at - refused!.at).toBeGreaterThanOrEqual(retryMilliseconds)
  expect(other.received.length).toBeGreaterThan(10)
  // Only the refused run was repeated.
  expect(other.received.length + overloaded.received.length).toBe(sent + 1)
}, 30_000)

test('when every endpoint wants no requests, callers are refused at once and told when the first wants some again', async () => {
  const overloaded = await harness.startEndpoint('ledger')
  overloaded.handleWith(overloadedFor('2'))
  const host = await startReadyForwarder()
  await callUntilReached(host, overloaded, '/balance/1')
  const received = overloaded.received.length
  const sentAt = performance.now()
  const response = await harness.call(host, '/balance/2')
  expect(response.status).toBe(503)
  expect(JSON.parse(response.body)).toEqual({ error: 'endpoints_overloaded' })
  const retryAfterSeconds = Number(response.headers['retry-after'])
  expect(retryAfterSeconds).toBeGreaterThan(1)
  expect(retryAfterSeconds).toBeLessThanOrEqual(2.5)
  expect(performance.now() - sentAt).toBeLessThan(500)
  expect(overloaded.received.length).toBe(received)
}, 30_000)

const target = { identity: 'i-1', bornAt: 1, service: 'ledger', address: '127.0.0.1:1', place: { region: 'coast', dataCentre: 'coast-1' }, version: 'v1', isDraining: false, models: [] }

/** Announcements of one endpoint, with the lines that they log. */
function createAnnouncements () {
  const clock = new ManualClock()
  const lines: string[] = []
  const loads = new EndpointLoads()
  const warmUps = new WarmUps({ requestsPerSecondOf: () => 2, tolerance: { rateFactor: 1.5, additionalRequests: 5 } })
  const registry = new EndpointRegistry()
  registry.update({ endpoints: [target], wasStoreUnavailable: false, now: 0 })
  const announcements = new EndpointAnnouncements({ registry, loads, announcedLimits: new AnnouncedLimits(), warmUps, misdirected: noMisdirected(), onNews: () => undefined, clock, randomness: new SeededRandomness(5), log: new Log('info', {}, line => lines.push(line)) })
  const record = (status: number, headers: Record<string, string>) => announcements.record(target, status, new PlatformHeaders().readResponseHead(headers), clock.now())
  return { clock, loads, registry, warmUps, record, lines: () => lines.map(line => JSON.parse(line)) }
}

test.each(['soon', '-3', '', 'Infinity', 'NaN', '1e999'])('a retry time of "%s" is ignored and logged once a second', value => {
  const { loads, record, lines, clock } = createAnnouncements()
  for (let response = 0; response < 5; response++) record(503, { 'retry-after': value })
  expect(loads.isOverloaded(target, clock.now())).toBe(false)
  expect(lines().filter(line => line.event === 'endpoint_header_invalid')).toHaveLength(1)
})

test('a retry time of a year is bounded and logged, and the retry time of another status is ignored', () => {
  const { loads, record, lines, clock } = createAnnouncements()
  record(429, { 'retry-after': '5' })
  expect(loads.isOverloaded(target, clock.now())).toBe(false)
  record(503, { 'retry-after': '31536000' })
  expect(loads.isOverloaded(target, clock.now() + 59_000)).toBe(true)
  expect(loads.isOverloaded(target, clock.now() + 63_000)).toBe(false)
  expect(lines().map(line => line.event)).toEqual(['endpoint_overloaded', 'endpoint_header_invalid'])
})

test('a flag that is repeated or malformed neither fails nor is taken for another', () => {
  const { registry, record, lines, clock } = createAnnouncements()
  record(200, { 'server-leaving': 'yes' })
  record(200, { 'server-leaving': '0' })
  expect(registry.isServing(target, clock.now())).toBe(true)
  record(200, { 'server-leaving': '1, 1' })
  expect(registry.isServing(target, clock.now())).toBe(false)
  expect(lines().map(line => line.event)).toEqual(['endpoint_header_invalid', 'endpoint_draining'])
})

test('of several retry times the latest end holds', () => {
  const { loads, record, clock } = createAnnouncements()
  record(503, { 'retry-after': '8' })
  record(503, { 'retry-after': '0.2' })
  expect(loads.isOverloaded(target, clock.now() + 7_900)).toBe(true)
})

test('after an overload an endpoint gets its load back step by step, and two hundred daemons return at unlike times', () => {
  const { loads, record, clock } = createAnnouncements()
  record(503, { 'retry-after': '4' })
  const returnedAt = clock.now() + 5_001
  const work = { prefillMilliseconds: 10, generationMilliseconds: 10 }
  const allowed: number[] = []
  for (let step = 0; step < 4; step++) {
    const trackers = []
    while (loads.mayTry(target, returnedAt) && trackers.length < 50) trackers.push(loads.track(target, work, returnedAt))
    allowed.push(trackers.length)
    trackers[0]?.recordResponseStart(returnedAt)
    for (const tracker of trackers) tracker.close('answered', returnedAt)
  }
  expect(allowed).toEqual([1, 2, 4, 8])
  const randomness = new SeededRandomness(7)
  const returns = Array.from({ length: 200 }, () => overloadBackoff(4_000, randomness).milliseconds)
  for (let from = 4_000; from < 5_000; from += 100) {
    const together = returns.filter(milliseconds => milliseconds >= from && milliseconds < from + 100).length
    expect(together).toBeGreaterThan(2)
    expect(together).toBeLessThan(50)
  }
})

test('an endpoint that turns cold while it serves says so in a response, and warms up for that time', () => {
  const { warmUps, record, clock, lines } = createAnnouncements()
  record(200, { 'cold-ms': '1500' })
  record(200, { 'cold-ms': '1400' })
  expect(warmUps.isWarmingUp('i-1@1', clock.now() + 1_399)).toBe(true)
  expect(warmUps.isWarmingUp('i-1@1', clock.now() + 1_401)).toBe(false)
  expect(lines().filter(({ event }) => event === 'endpoint_warming_up').length).toBe(1)
})
