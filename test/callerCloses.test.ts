import { afterEach, beforeEach, expect, test } from 'vitest'
import type { EndpointStandIn } from '../platform/standin/index.ts'
import { ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

const answerMilliseconds = 200
/** Twenty in turn fit into the time of their route. */
const shortAnswerMilliseconds = 20
const longIdleMilliseconds = 15_000
const shortIdleMilliseconds = 500

let harness: ForwarderHarness
let ledger: EndpointStandIn
let host: string
let caller: RawCaller
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  ledger = await harness.startEndpoint('ledger', { slots: 100 })
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), answerMilliseconds) })
  putIdleTime(1, longIdleMilliseconds)
  host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  caller = await RawCaller.connect(host)
})
afterEach(async () => {
  caller.close()
  await harness.close()
})

function putIdleTime (version: number, milliseconds: number): void {
  harness.putConfiguration(version, { limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: milliseconds } })
}

test('a connection is kept for as long as its answer announced although a shorter idle time came into force while the request ran', async () => {
  caller.write(requestHead('/balance/1', { id: 'running', method: 'GET' }))
  await waitUntil(() => ledger.received.length === 1)
  putIdleTime(2, shortIdleMilliseconds)
  await caller.until(1)
  expect(caller.responses[0]?.head).toMatch(/^keep-alive: timeout=15$/im)
  await pause(3 * shortIdleMilliseconds)
  caller.write(requestHead('/balance/2', { id: 'after', method: 'GET' }))
  await caller.until(2)
  expect(caller.statuses).toEqual([200, 200])
})

test('requests that wait behind others of their connection are answered although a malformed one comes after them', async () => {
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), shortAnswerMilliseconds) })
  const requests = Array.from({ length: 20 }, (_, index) => requestHead(`/balance/${index}`, { id: `ahead-${index}`, method: 'GET' }))
  caller.write(`${requests.join('')}malformed\r\n\r\n`)
  await Promise.race([caller.until(21), pause(5_000)])
  expect(caller.statuses).toEqual([...requests.map(() => 200), 400])
})

test('a request that was passed on behind another one is answered although the answer before it has no length', async () => {
  ledger.handleWith(({ path }, response) => {
    if (path === '/balance/2') {
      response.end('done')
      return
    }
    response.removeHeader('connection')
    response.shouldKeepAlive = false
    response.useChunkedEncodingByDefault = false
    response.writeHead(200)
    setTimeout(() => response.end('unframed'), answerMilliseconds)
  })
  caller.write(requestHead('/balance/1', { id: 'unframed', method: 'GET' }) + requestHead('/balance/2', { id: 'behind', method: 'GET' }))
  await Promise.race([caller.until(2), pause(3_000)])
  expect(caller.text).toContain('unframed')
  expect(caller.text).toContain('done')
})

test('answers reach a caller that is still sending when the last of them has announced the end of the connection', async () => {
  caller.write(requestHead('/balance/1', { id: 'last', method: 'GET', headers: 'connection: close\r\n' }))
  await waitUntil(() => ledger.received.length === 1)
  for (let index = 0; index < 40; index++) {
    caller.write(requestHead('/balance/2', { id: `crossing-${index}`, method: 'GET' }))
    await pause(10)
  }
  expect(caller.statuses).toEqual([200])
  expect(caller.state).toBe(ConnectionState.Ended)
})
