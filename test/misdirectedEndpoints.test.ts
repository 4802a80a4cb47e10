import { afterEach, beforeEach, expect, test } from 'vitest'
import { type EndpointHandler, type EndpointStandIn, configurationDocument } from '../platform/standin/index.ts'
import { ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => await harness.close())

const requestIntervalMilliseconds = 20
const streamHeaders = { 'token-usage': '600,100', 'prefix-hash': 'a1:500,b2:100', 'deadline-ms': '25000' }
/** No endpoint counts as silent while the machine is busy. */
const patientTimes = { timeout_ms: 25_000, target_latency_ms: 20_000 }

/** What listens at an address that was given to another endpoint. */
const rejectAll: EndpointHandler = (_request, response) => {
  response.writeHead(421)
  response.end()
}

async function startEndpoints (service: 'ledger' | 'engines', count: number, handler?: EndpointHandler): Promise<readonly EndpointStandIn[]> {
  const endpoints = await Promise.all(Array.from({ length: count }, () => harness.startEndpoint(service)))
  if (handler !== undefined) for (const endpoint of endpoints) endpoint.handleWith(handler)
  return endpoints
}

async function startFleet (gatewayCount: number): Promise<readonly string[]> {
  harness.putConfiguration(1, { routes: configurationDocument(1).routes.map(route => ({ ...route, ...patientTimes })) })
  const first = await harness.startForwarder()
  const hosts = [first]
  while (hosts.length < gatewayCount) hosts.push(await harness.startForwarder({ seeds: [`${first}:8229`] }))
  for (const host of hosts) await harness.waitUntilReady(host)
  return hosts
}

async function sendInTurn (hosts: readonly string[], count: number, path = '/balance/1', headers: Record<string, string> = {}) {
  const responses = []
  for (let index = 0; index < count; index++) {
    responses.push(harness.call(hosts[index % hosts.length]!, path, { headers: { 'deadline-ms': '25000', ...headers } }))
    await new Promise(resolve => setTimeout(resolve, requestIntervalMilliseconds))
  }
  return await Promise.all(responses)
}

/** Waits until a gateway has heard that so many endpoints are not at their address. */
async function waitUntilLost (host: string, count: number): Promise<void> {
  await waitUntil(async () => {
    const metrics = await (await fetch(`http://${host}:9464/metrics`)).text()
    return metrics.includes(`lavenderdoor_endpoint_address_changes_total{change="lost"} ${count}`)
  })
}

function renewRow ({ identity }: EndpointStandIn): void {
  harness.store.put('servers', identity, { ...harness.store.read('servers', identity) as object, seq_no: 2 })
}

test.each([
  ['plain requests', 'ledger', '/balance/1', {}],
  ['requests that must not run twice', 'ledger', '/release/1', {}],
  ['streams', 'engines', '/query/1', { ...streamHeaders, model: '*' }],
  ['streams whose callers name a model that the endpoints have', 'engines', '/query/1', { ...streamHeaders, model: 'small' }]
] as const)('endpoints whose addresses answer 421 get no request for each one of the callers: %s', async (_name, service, path, headers) => {
  const gone = await startEndpoints(service, 2, rejectAll)
  const hosts = await startFleet(3)
  const responses = await sendInTurn(hosts, 120, path, headers)
  const arrivals = gone.reduce((sum, { received }) => sum + received.length, 0)
  expect(arrivals).toBeGreaterThan(0)
  // Without the news each request arrives at both.
  expect(arrivals).toBeLessThanOrEqual(2 * responses.length / 10)
  expect(new Set(responses.map(({ status, body }) => `${status} ${body}`))).toEqual(new Set(['503 {"error":"no_endpoint"}']))
}, 60_000)

test('an endpoint whose address answers 421 to one gateway gets nothing from the others, nor from one that starts later', async () => {
  const [gone] = await startEndpoints('ledger', 1, rejectAll)
  await startEndpoints('ledger', 1)
  const [first, second] = await startFleet(2)
  await waitUntil(async () => {
    await harness.call(first!, '/balance/1')
    return gone!.received.length > 0
  })
  await waitUntilLost(second!, 1)
  const third = await harness.startForwarder({ seeds: [`${first}:8229`] })
  await harness.waitUntilReady(third)
  await waitUntilLost(third, 1)
  const arrivals = gone!.received.length
  const responses = await sendInTurn([second!, third], 60)
  expect(responses.filter(({ status }) => status !== 200)).toEqual([])
  expect(gone!.received.length).toBeLessThanOrEqual(arrivals + 1)
}, 60_000)

test('an endpoint gets work again from all gateways once its row was renewed and one of its answers has come', async () => {
  const [endpoint] = await startEndpoints('ledger', 1, rejectAll)
  const hosts = await startFleet(2)
  await sendInTurn(hosts, 20)
  expect(endpoint!.received.length).toBeLessThanOrEqual(4)
  for (const host of hosts) await waitUntilLost(host, 1)
  endpoint!.handleWith((_request, response) => { response.end('done') })
  expect((await harness.call(hosts[0]!, '/balance/1')).status).toBe(503)
  renewRow(endpoint!)
  for (const host of hosts) await waitUntil(async () => (await harness.call(host, '/balance/1')).status === 200)
  const responses = await sendInTurn(hosts, 20)
  expect(responses.filter(({ status }) => status !== 200)).toEqual([])
}, 60_000)

test('a row that is renewed although its address still answers 421 costs one arrival and not one for each request', async () => {
  const [gone] = await startEndpoints('ledger', 1, rejectAll)
  const [host] = await startFleet(1)
  await sendInTurn([host!], 10)
  const arrivals = gone!.received.length
  renewRow(gone!)
  await waitUntil(async () => {
    await harness.call(host!, '/balance/1')
    return gone!.received.length > arrivals
  })
  await sendInTurn([host!], 60)
  expect(gone!.received.length).toBeLessThanOrEqual(arrivals + 2)
}, 60_000)
