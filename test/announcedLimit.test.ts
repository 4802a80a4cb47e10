import { afterEach, beforeEach, expect, test } from 'vitest'
import * as z from 'zod'
import type { EndpointStandIn } from '../platform/standin/index.ts'
import { SystemClock } from '../src/contract/index.ts'
import { TcpLink } from '../src/link/index.ts'
import { ForwarderHarness, formatEvent } from './fakes/forwarderWorld.ts'

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => await harness.close())

const limitPerSecond = 2
const spanMilliseconds = 4_000
/** All gateways that can be reached keep a limit from this time after an endpoint first named it. */
const propagationBoundMilliseconds = 4_000
/** What an endpoint accepts in one span: one and a half times its limit, and five requests. */
const maximumArrivals = limitPerSecond * spanMilliseconds / 1_000 * 1.5 + 5
const requestIntervalMilliseconds = 25
const requestCount = 520

/** Answers at once with two events, and names a limit while it has one. */
function serveStreams (endpoint: EndpointStandIn, limit: () => string | undefined): void {
  endpoint.handleWith((_request, response) => {
    const named = limit()
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90, ...(named === undefined ? {} : { 'server-limit': named }) })
    response.end(formatEvent(1) + formatEvent(2))
  })
}

async function startFleet (gatewayCount: number): Promise<readonly string[]> {
  harness.putConfiguration(1)
  const first = await harness.startForwarder()
  const hosts = [first]
  while (hosts.length < gatewayCount) hosts.push(await harness.startForwarder({ seeds: [`${first}:8229`] }))
  for (const host of hosts) await harness.waitUntilReady(host)
  return hosts
}

/** Sends requests to all gateways in turn; their sessions and shared prompt parts prefer few endpoints. */
async function sendLoad (hosts: readonly string[], count: number): Promise<readonly number[]> {
  const responses: Promise<number>[] = []
  for (let index = 0; index < count; index++) {
    const headers = { model: 'small', session: `s${index % 5}`, 'token-usage': '600,100', 'prefix-hash': `a${index % 3}:500,f${index}:100`, 'deadline-ms': '3000' }
    responses.push(harness.call(hosts[index % hosts.length]!, `/query/${index}`, { body: 'q', headers }).then(({ status }) => status, () => 0))
    await new Promise(resolve => setTimeout(resolve, requestIntervalMilliseconds))
  }
  return await Promise.all(responses)
}

/** The largest number of arrivals in any span that begins at a time or later. */
function busiestSpan ({ received }: EndpointStandIn, from: number): number {
  const arrivals = received.map(({ at }) => at).filter(at => at >= from)
  return Math.max(0, ...arrivals.map(start => arrivals.filter(at => at >= start && at < start + spanMilliseconds).length))
}

test('an endpoint that names a limit gets no more than that from all gateways together, and callers are served by the others', async () => {
  const limited = await Promise.all([0, 1, 2].map(() => harness.startEndpoint('engines')))
  const unlimited = await harness.startEndpoint('engines')
  for (const endpoint of limited) serveStreams(endpoint, () => String(limitPerSecond))
  serveStreams(unlimited, () => undefined)
  const hosts = await startFleet(4)
  const startedAt = performance.now()
  const statuses = await sendLoad(hosts, requestCount)
  for (const endpoint of limited) expect(busiestSpan(endpoint, startedAt + propagationBoundMilliseconds)).toBeLessThanOrEqual(maximumArrivals)
  expect(statuses.filter(status => status !== 200)).toEqual([])
}, 60_000)

/** Sends requests together to one gateway, and returns their responses. */
async function callTogether (host: string, count: number) {
  const headers = { model: 'small', 'token-usage': '600,100', 'prefix-hash': 'a1:500,b1:100', 'deadline-ms': '1500' }
  return await Promise.all([...Array(count).keys()].map(index => harness.call(host, `/query/${index}`, { body: 'q', headers })))
}

test('a limit is known to gateways that never sent to the endpoint, with the store away, and to one that has just started', async () => {
  const endpoint = await harness.startEndpoint('engines')
  serveStreams(endpoint, () => '0.5')
  const [first, second] = await startFleet(2)
  harness.store.injectFault('silent')
  expect((await callTogether(first!, 1))[0]!.status).toBe(200)
  await new Promise(resolve => setTimeout(resolve, 500))
  const before = endpoint.received.length
  const refused = (await callTogether(second!, 10)).filter(({ status }) => status === 503)
  expect(endpoint.received.length - before).toBeLessThanOrEqual(1)
  expect(refused.length).toBeGreaterThanOrEqual(9)
  for (const { headers } of refused) expect(Number(headers['retry-after'])).toBeGreaterThan(0)
  const third = await harness.startForwarder({ seeds: [`${first!}:8229`] })
  await harness.waitUntilReady(third)
  const beforeThird = endpoint.received.length
  await callTogether(third, 10)
  expect(endpoint.received.length - beforeThird).toBeLessThanOrEqual(1)
}, 30_000)

test('while the limits of all endpoints are used up, some callers wait for a place and those whose turn would come too late are refused at once', async () => {
  const endpoint = await harness.startEndpoint('engines')
  serveStreams(endpoint, () => '4')
  const [host] = await startFleet(1)
  await callTogether(host!, 1)
  await new Promise(resolve => setTimeout(resolve, 600))
  const startedAt = performance.now()
  const ends: number[] = []
  const responses = await Promise.all([...Array(12)].map(async () => {
    const [response] = await callTogether(host!, 1)
    if (response!.status === 503) ends.push(performance.now() - startedAt)
    return response!.status
  }))
  expect(responses.filter(status => status === 200).length).toBeGreaterThanOrEqual(3)
  expect(responses.filter(status => status === 503).length).toBeGreaterThanOrEqual(5)
  expect(responses.every(status => status === 200 || status === 503)).toBe(true)
  expect(ends.filter(milliseconds => milliseconds < 400).length).toBeGreaterThanOrEqual(5)
}, 30_000)

test('an endpoint that names its limit no more gets its load back, also from gateways that no longer sent to it', async () => {
  let limit: string | undefined = '1'
  const endpoint = await harness.startEndpoint('engines')
  serveStreams(endpoint, () => limit)
  const hosts = await startFleet(3)
  await callTogether(hosts[0]!, 1)
  await new Promise(resolve => setTimeout(resolve, 300))
  limit = undefined
  await sendLoad(hosts, 400)
  const statuses = await Promise.all(hosts.map(async host => (await callTogether(host, 10)).map(({ status }) => status)))
  expect(statuses.flat()).toEqual(Array(30).fill(200))
}, 60_000)

test('a prompt that is blocked while its request waits for a place is not sent', async () => {
  const endpoint = await harness.startEndpoint('engines')
  serveStreams(endpoint, () => '2')
  const [host] = await startFleet(1)
  await callTogether(host!, 1)
  const before = endpoint.received.length
  const headers = { model: 'small', 'token-usage': '600,100', 'prefix-hash': 'c1:500,d1:100', 'deadline-ms': '5000' }
  const waiting = harness.call(host!, '/query/1', { body: 'q', headers })
  const identity = { name: 'peer', address: '127.0.0.1:0', place: { region: 'coast', dataCentre: 'coast-1' }, rack: '', incarnation: 1 }
  const link = new TcpLink({ identity, secret: 'secret of a test', clock: new SystemClock() })
  const news = { reports: [], blocks: [{ organisation: 'harbour', part: 'c1', holder: 'peer', trips: 1, ageMilliseconds: 0 }], answers: [] }
  await new Promise(resolve => setTimeout(resolve, 100))
  const told = await link.request({ name: '', address: `${host!}:8229` }, { name: 'breaker_news', body: z.any(), reply: z.any() }, news, 1_000)
  expect(told.ok).toBe(true)
  const response = await waiting
  await link.close()
  expect(response.status).toBe(503)
  expect(response.body).toContain('prompt_blocked')
  expect(endpoint.received.length).toBe(before)
}, 20_000)
