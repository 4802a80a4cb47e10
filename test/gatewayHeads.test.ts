import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'
import type { EndpointStandIn } from '../platform/standin/index.ts'

const idleMilliseconds = 500
const headMilliseconds = 2_500
const answerMilliseconds = 800
/** How long a connection may outlive its limits. */
const toleranceMilliseconds = 2_000
const maximumCloseMilliseconds = 3_000
const malformedHead = 'no request\r\n\r\n'
const limits = { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: headMilliseconds, idle_timeout_ms: idleMilliseconds }

let harness: ForwarderHarness
let ledger: EndpointStandIn
let caller: RawCaller
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  ledger = await harness.startEndpoint('ledger')
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), answerMilliseconds) })
  harness.putConfiguration(1, { limits })
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  caller = await RawCaller.connect(host)
})
afterEach(async () => {
  caller.close()
  await harness.close()
})

test('a connection on which nothing was sent is closed after the idle time without a response', async () => {
  await pause(idleMilliseconds + toleranceMilliseconds)
  expect(caller.state).not.toBe(ConnectionState.Open)
  expect(caller.text).toBe('')
})

test.each(['an unused', 'a kept'])('a head that arrives within its limit on %s connection is served although it takes longer than the idle time', async kind => {
  const statuses = kind === 'a kept' ? [200, 200] : [200]
  if (kind === 'a kept') {
    caller.write(requestHead('/release/1', { id: 'before' }))
    await caller.until(1)
  }
  const head = requestHead('/release/2', { id: 'slow' })
  caller.write(head.slice(0, 40))
  await pause(headMilliseconds - idleMilliseconds)
  caller.write(head.slice(40))
  await caller.until(statuses.length)
  expect(caller.statuses).toEqual(statuses)
})

test('a head that never ends is refused as late, and its connection is closed', async () => {
  caller.write(requestHead('/release/1', { id: 'endless' }).slice(0, 40))
  await caller.until(1)
  expect(caller.statuses).toEqual([408])
  await pause(maximumCloseMilliseconds + toleranceMilliseconds)
  // The kernel tells of a closed connection at the second write.
  for (const text of ['x', 'y']) {
    caller.write(text)
    await pause(100)
  }
  expect(caller.state).toBe(ConnectionState.Broken)
})

test('a caller that is still sending after a malformed head gets the refusal', async () => {
  caller.pause()
  for (let part = 0; part < 4; part++) {
    caller.write(`${malformedHead}${'x'.repeat(10_000)}`)
    await pause(100)
  }
  caller.resume()
  await caller.until(1)
  expect(caller.statuses).toEqual([400])
})

test('requests before a malformed one are answered in turn, then that is refused, and what follows is not passed on', async () => {
  caller.write(['first', 'second'].map(id => requestHead(`/release/${id}`, { id })).join('') + malformedHead + requestHead('/release/3', { id: 'third' }))
  await pause(200)
  caller.write(requestHead('/release/4', { id: 'fourth' }))
  await caller.until(3)
  expect(caller.statuses).toEqual([200, 200, 400])
  expect(ledger.received).toHaveLength(2)
})

test('a malformed body is refused once', async () => {
  caller.write(requestHead('/release/1', { id: 'malformed' }).replace('content-length: 0', 'transfer-encoding: chunked') + 'no chunk\r\n')
  await caller.until(2)
  expect(caller.statuses).toEqual([400])
  expect(ledger.received).toHaveLength(0)
})

test('a caller that sends without end after a malformed head is closed', async () => {
  caller.write(requestHead('/release/1', { id: 'first' }) + malformedHead)
  const startedAt = performance.now()
  while (caller.state !== ConnectionState.Broken && performance.now() - startedAt < answerMilliseconds + maximumCloseMilliseconds + toleranceMilliseconds) {
    caller.write('x'.repeat(16 * 1024))
    await pause(5)
  }
  expect(caller.state).toBe(ConnectionState.Broken)
  expect(caller.statuses).toEqual([200, 400])
})
