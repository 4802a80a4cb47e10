import { afterEach, beforeEach, expect, test } from 'vitest'
import type { EndpointStandIn } from '../platform/standin/index.ts'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

const answerMilliseconds = 700
const givenUpMilliseconds = 400
const lookUp = requestHead('/balance/1', { id: 'look-up', method: 'GET' })
const release = requestHead('/release/1', { id: 'release' })
const query = requestHead('/query/1', { id: 'query', headers: 'model: *\r\ntoken-usage: 10,10\r\nprefix-hash: a1:10\r\n' })

let harness: ForwarderHarness
let ledger: EndpointStandIn
let engine: EndpointStandIn
let caller: RawCaller
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  ledger = await harness.startEndpoint('ledger', { slots: 100 })
  engine = await harness.startEndpoint('engines')
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), answerMilliseconds) })
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  caller = await RawCaller.connect(host)
})
afterEach(async () => {
  caller.close()
  await harness.close()
})

async function untilEnded (): Promise<void> {
  await waitUntil(() => caller.state !== ConnectionState.Open)
}

test.each([['look-up', lookUp], ['once-only request', release], ['stream', query]])('a %s whose caller half-closes right behind it is refused as not run and not passed on', async (_kind, request) => {
  caller.write(request)
  caller.endSending()
  await untilEnded()
  expect(caller.statuses).toEqual([503])
  expect(caller.state).toBe(ConnectionState.Ended)
  await pause(200)
  expect([...ledger.received, ...engine.received]).toEqual([])
})

test('a once-only run under way is answered although its caller half-closes, and what is behind it is refused as not run', async () => {
  caller.write(release)
  await waitUntil(() => ledger.received.length === 1)
  caller.write(requestHead('/release/2', { id: 'behind' }) + lookUp)
  caller.endSending()
  await untilEnded()
  expect(caller.statuses).toEqual([200, 503, 503])
  expect(caller.state).toBe(ConnectionState.Ended)
  expect(ledger.received.map(({ path, isAborted }) => ({ path, isAborted }))).toEqual([{ path: '/release/1', isAborted: false }])
})

test('a once-only run under way is answered although its caller half-closes in the middle of the next request', async () => {
  caller.write(release)
  await waitUntil(() => ledger.received.length === 1)
  caller.write(lookUp.slice(0, 30))
  caller.endSending()
  await untilEnded()
  expect(caller.statuses).toEqual([200])
  expect(caller.state).toBe(ConnectionState.Ended)
})

test('a run that may be repeated is given up when its caller half-closes, and the caller is told at once', async () => {
  caller.write(lookUp)
  await waitUntil(() => ledger.received.length === 1)
  caller.endSending()
  await pause(givenUpMilliseconds)
  expect(caller.statuses).toEqual([502])
  expect(ledger.received[0]?.isAborted).toBe(true)
  expect(caller.state).toBe(ConnectionState.Ended)
})

test('a stream that has begun is given up when its caller half-closes, and does not look complete', async () => {
  engine.handleWith((_request, response) => { response.writeHead(200, { 'content-type': 'text/event-stream' }).write(formatEvent(1)) })
  caller.write(query)
  await waitUntil(() => caller.text.includes('piece 1'))
  caller.endSending()
  await pause(givenUpMilliseconds)
  expect(caller.state).not.toBe(ConnectionState.Open)
  expect(caller.statuses).toEqual([])
  expect(engine.received[0]?.isAborted).toBe(true)
})

test('a once-only run is given up when its connection is reset', async () => {
  caller.write(release)
  await waitUntil(() => ledger.received.length === 1)
  caller.reset()
  await pause(givenUpMilliseconds)
  expect(ledger.received[0]?.isAborted).toBe(true)
})
