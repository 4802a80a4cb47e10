import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Log } from '../src/observe/index.ts'
import { ForwarderHarness } from './fakes/forwarderWorld.ts'
import { GatewayFleet } from './fakes/gatewayFleet.ts'

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => {
  vi.restoreAllMocks()
  await harness.close()
})

test('a run that reaches its deadline without a response is counted as given up for that', async () => {
  const endpoint = await harness.startEndpoint('ledger')
  endpoint.handleWith(() => undefined)
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  expect((await harness.call(host, '/release/1', { headers: { 'deadline-ms': '300' } })).status).toBe(504)
  const metrics = await (await fetch(`http://${host}:8220/metrics`)).text()
  expect(metrics).toContain('lavenderdoor_forward_given_up_runs_total{service="ledger",reason="deadline"} 1')
})

test.each([
  ['short', '/release/1', 'x'.repeat(10)],
  ['long', '/balance/1', 'x'.repeat(300_000)]
])('the log of a %s answer that is not whole at its deadline tells what of it had arrived', async (_name, path, part) => {
  const lines = vi.spyOn(Log.prototype, 'info')
  const endpoint = await harness.startEndpoint('ledger')
  endpoint.handleWith((_request, response) => { response.write(part) })
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  await harness.call(host, path, { headers: { 'deadline-ms': '300' } })
  expect(lines.mock.calls.filter(([event]) => event === 'run_given_up')).toEqual([['run_given_up', expect.objectContaining({ reason: 'deadline', hasEndArrived: false, unreadBytes: 0, lateBytes: 0 })]])
})

test('the log of a run that is given up tells what was known of its endpoint and what was certain of the next attempt', async () => {
  const fleet = new GatewayFleet({ gateways: 1, engines: 2, slots: 1, queueLimit: 0, paces: { small: 1_000 }, seed: 1, retryLimits: { ratio: 0, windowMilliseconds: 10_000, slack: 1 } })
  const response = fleet.call(0, '/query/50', { 'attempt-id': 'a1', model: 'small', 'token-usage': '600,300', 'deadline-ms': '10000' })
  await fleet.clock.advance(12_000)
  await response
  expect(fleet.lines.find(({ event }) => event === 'run_given_up')).toMatchObject({ request: 'a1', model: 'small', reason: 'silence', runSilentMilliseconds: expect.any(Number), attemptsLeft: 2, isAllowedByBudget: false, untriedEndpoints: 0, untriedWithPlace: 0, nextEndpoint: expect.any(String) })
})
