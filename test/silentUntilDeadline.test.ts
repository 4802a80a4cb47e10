import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness } from './fakes/forwarderWorld.ts'

const calls = 16

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => await harness.close())

test('an endpoint that is silent until the deadline is not taken for one that broke the request off', async () => {
  const ledger = await harness.startEndpoint('ledger')
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  const callAll = async (deadlineMilliseconds: number) => await Promise.all(Array.from({ length: calls }, () => harness.call(host, '/balance/1', { headers: { 'deadline-ms': String(deadlineMilliseconds) } })))
  await callAll(1_500)
  ledger.handleWith(() => undefined)
  for (const { status } of await callAll(1_200)) expect(status).toBe(504)
  const metrics = await (await fetch(`http://${host}:8220/metrics`)).text()
  const brokenRuns = metrics.split('\n').filter(line => line.startsWith('lavenderdoor_forward_broken_runs_total{'))
  expect(brokenRuns).toHaveLength(1)
  expect(brokenRuns[0]).not.toContain('end="failed"')
})
