import { type MockInstance, afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Log } from '../src/observe/index.ts'
import { CrashingEndpoints } from './fakes/crashingEndpoints.ts'
import { type CallOptions, type ClientResponse, ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'

let harness: ForwarderHarness
let endpoints: CrashingEndpoints
let hosts: string[]
let warnings: MockInstance<Log['warn']>
beforeEach(async () => {
  warnings = vi.spyOn(Log.prototype, 'warn')
  harness = await ForwarderHarness.start()
})
afterEach(async () => {
  endpoints.end()
  await harness.close()
  vi.restoreAllMocks()
})

const streamHeaders = { model: 'small', 'token-usage': '600,100', 'prefix-hash': 'a1:400,f1:50', 'deadline-ms': '2000' }

async function startGateways (service: 'ledger' | 'engines', holds: (path: string) => boolean = () => false): Promise<void> {
  harness.putConfiguration(1)
  endpoints = new CrashingEndpoints(harness, { service, count: 6, kills: ({ path }) => path.includes('kill'), holds: ({ path }) => holds(path), crashMilliseconds: 40, awayMilliseconds: 5_000 })
  await endpoints.start()
  const first = await harness.startForwarder()
  hosts = [first, await harness.startForwarder({ seeds: [`${first}:8229`] })]
  for (const host of hosts) await harness.waitUntilReady(host)
}

/** The gateways that have blocked a request, each of which has a log of its own. */
const blockingGateways = () => new Set(warnings.mock.contexts.filter((_log, call) => warnings.mock.calls[call]![0] === 'request_blocked')).size

/** Sends a request to one gateway after the other until three endpoints have crashed and all gateways have judged that; the responses. */
async function crashThree (path: string, options: (index: number) => CallOptions): Promise<readonly ClientResponse[]> {
  const responses: ClientResponse[] = []
  while (endpoints.crashTimes.length < 3) responses.push(await harness.call(hosts[responses.length % 2]!, path, options(responses.length)))
  await waitUntil(() => blockingGateways() === hosts.length)
  return responses
}

test.each([
  ['a stream that its caller resumes after a different event each time', 'engines', '/query/kill', (index: number) => ({ body: 'q', headers: { ...streamHeaders, 'last-event-id': String(index) } })],
  ['a call without a key, as the runs of other services make', 'ledger', '/open/kill', () => ({ method: 'GET', headers: { authorization: '' } })],
  ['a request whose session and deadline change', 'ledger', '/balance/kill', (index: number) => ({ method: 'GET', headers: { session: `s${index}`, 'deadline-ms': String(1_500 - index), traceparent: `00-${index}` } })]
] as const)('%s is known by what it asks, and refused at both gateways once three endpoints have crashed', async (_name, service, path, options) => {
  await startGateways(service)
  const crashed = await crashThree(path, options)
  expect(crashed.map(({ status }) => status)).toEqual(crashed.map(() => 502))
  const before = endpoints.arrivals.length
  for (const host of hosts) {
    const refused = await harness.call(host, path, options(9))
    expect(refused.status).toBe(503)
    expect(JSON.parse(refused.body)).toEqual({ error: 'request_blocked' })
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(60)
  }
  expect(endpoints.arrivals.length).toBe(before)
})

test('a request that waits at an endpoint when it is blocked is taken back, and its caller hears at once that it may have run', async () => {
  let isHolding = true
  await startGateways('ledger', () => isHolding)
  const waiting = harness.call(hosts[0]!, '/release/kill', { body: 'x', headers: { 'deadline-ms': '60000' } })
  await waitUntil(() => endpoints.held.length === 1)
  isHolding = false
  await crashThree('/release/kill', () => ({ body: 'x' }))
  expect((await waiting).status).toBe(502)
  await waitUntil(() => endpoints.held[0]!.isAborted)
})
