import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'
import { RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

let harness: ForwarderHarness
let host: string
let caller: RawCaller
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), 600) })
  harness.putConfiguration(1)
  host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  caller = await RawCaller.connect(host)
})
afterEach(async () => {
  caller.close()
  await harness.close()
})

const shortTimeoutMilliseconds = 500
const shortLimits = { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: shortTimeoutMilliseconds, idle_timeout_ms: shortTimeoutMilliseconds }
const otherRoute = { name: 'other', hostname: 'desk.example', prefix: '/other/', route_type: 'idempotent', timeout_ms: 2_000, target_latency_ms: 400, backend: 'ledger' }

/** Applies settings with short time limits, and checks that they are in force. */
async function applyShortLimits (version: number): Promise<void> {
  harness.putConfiguration(version, { routes: [{ ...otherRoute, prefix: '/release/', route_type: 'non_idempotent', timeout_ms: 2_100 }, otherRoute], limits: shortLimits })
  await waitUntil(async () => (await harness.call(host, '/balance/1', { method: 'GET' })).status === 404)
}

test('a request that was passed on is answered although its route and its key go', async () => {
  caller.write(requestHead('/release/1', { id: 'running' }))
  await pause(100)
  harness.putConfiguration(2, { routes: [otherRoute], tenants: [], limits: shortLimits })
  await harness.forwarderAt(host).reload()
  await caller.until(1)
  expect(caller.statuses).toEqual([200])
})

test('a connection that was kept under a longer idle time is still served under a shorter one', async () => {
  caller.write(requestHead('/release/1', { id: 'before' }))
  await caller.until(1)
  await applyShortLimits(2)
  await pause(3 * shortTimeoutMilliseconds)
  caller.write(requestHead('/release/2', { id: 'after' }))
  await caller.until(2)
  expect(caller.statuses).toEqual([200, 200])
})

test('a head that began to arrive under a longer time limit is served under a shorter one', async () => {
  const head = requestHead('/release/1', { id: 'slow' })
  caller.write(head.slice(0, 40))
  await applyShortLimits(2)
  await pause(2_000)
  caller.write(head.slice(40))
  await caller.until(1)
  expect(caller.statuses).toEqual([200])
})

test('a connection on which nothing was sent yet is served after the time limit for heads', async () => {
  harness.putConfiguration(2, { limits: { ...shortLimits, idle_timeout_ms: 15_000 } })
  await pause(300)
  const unused = await RawCaller.connect(host)
  await pause(2_500)
  expect(unused.text).toBe('')
  unused.write(requestHead('/release/1', { id: 'first' }))
  await unused.until(1)
  expect(unused.statuses).toEqual([200])
  unused.close()
})

test('a head that takes too long on a kept connection is refused, and not only cut', async () => {
  await applyShortLimits(2)
  caller.write(requestHead('/release/1', { id: 'before' }))
  await caller.until(1)
  caller.write(requestHead('/release/2', { id: 'slow' }).slice(0, 40))
  await caller.until(2)
  expect(caller.statuses).toEqual([200, 408])
})

test('a running request on a connection with a slow second head is answered before that is refused', async () => {
  await applyShortLimits(2)
  caller.write(requestHead('/release/1', { id: 'running' }) + requestHead('/release/2', { id: 'slow' }).slice(0, 40))
  await caller.until(1)
  expect(caller.statuses[0]).toBe(200)
})
