import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { EndpointStandIn } from '../platform/standin/index.ts'
import { Log } from '../src/observe/index.ts'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

const streamHeaders = 'token-usage: 10,10\r\nprefix-hash: a1:10\r\n'
const timeoutMilliseconds = 400
const maximumAhead = 64
const behind = ['/release/1', '/balance/2', '/release/3']

let harness: ForwarderHarness
let ledger: EndpointStandIn
let engine: EndpointStandIn
let host: string
let caller: RawCaller
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  ledger = await harness.startEndpoint('ledger')
  engine = await harness.startEndpoint('engines')
  harness.putConfiguration(1)
  host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  caller = await RawCaller.connect(host)
})
afterEach(async () => {
  vi.restoreAllMocks()
  caller.close()
  await harness.close()
})

const streamAhead = requestHead('/query/ahead', { id: 'ahead', timeoutMilliseconds, headers: streamHeaders })
const requestsBehind = behind.map((path, index) => requestHead(path, { id: `behind-${index}` })).join('')

/** Sends some events, and then does something else. */
function streamThen (end: () => void | Promise<void>): void {
  engine.handleWith(async (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    response.write(formatEvent(1))
    await pause(timeoutMilliseconds / 4)
    await end()
    if (!response.destroyed) response.socket?.destroy()
  })
}

test.each([
  ['is cut at its deadline', () => streamThen(async () => await pause(2 * timeoutMilliseconds))],
  ['breaks off at all its engines', () => streamThen(() => undefined)],
  ['is cut since its engine falls silent', () => engine.handleWith((_request, response) => { response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 }).write(formatEvent(1)) })]
])('a request behind a stream that %s is not passed on, and the log counts it as waiting', async (_name, script) => {
  const lines = vi.spyOn(Log.prototype, 'warn')
  script()
  caller.write(streamAhead + requestsBehind)
  await waitUntil(() => caller.state !== ConnectionState.Open)
  const cutLine = () => lines.mock.calls.find(([event]) => event === 'requests_cut')
  await waitUntil(() => cutLine() !== undefined)
  expect(ledger.received.map(({ path }) => path)).toEqual([])
  expect(cutLine()?.[1]).toMatchObject({ begun: 1, waiting: behind.length })
})

test('requests behind a stream that ends whole are passed on one after the other, and their log tells how long they waited', async () => {
  const lines = vi.spyOn(Log.prototype, 'info')
  let running = 0
  let mostRunning = 0
  ledger.handleWith(async (_request, response) => {
    mostRunning = Math.max(mostRunning, ++running)
    await pause(20)
    running--
    response.end('done')
  })
  engine.handleWith(async (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    await pause(timeoutMilliseconds / 2)
    response.end(formatEvent(1))
  })
  caller.write(streamAhead + requestsBehind)
  await caller.until(1 + behind.length)
  expect(caller.statuses).toEqual([200, 200, 200, 200])
  expect([ledger.received.map(({ path }) => path), mostRunning]).toEqual([behind, 1])
  const waits = lines.mock.calls.filter(([event]) => event === 'request_ended').map(([, fields]) => fields?.waitedMilliseconds)
  expect(waits).toEqual([undefined, ...behind.map(() => expect.any(Number))])
})

test('a request whose deadline comes while it waits is refused as not run, and is not passed on', async () => {
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), 600) })
  const late = requestHead('/release/late', { id: 'late', timeoutMilliseconds: 300 })
  caller.write(requestHead('/release/long', { id: 'long' }) + late + requestHead('/release/after', { id: 'after' }))
  await caller.until(3)
  expect(caller.statuses).toEqual([200, 503, 200])
  expect(ledger.received.map(({ path }) => path)).toEqual(['/release/long', '/release/after'])
})

test('no request that waits is passed on after its caller has left, and what it holds is given back', async () => {
  ledger.handleWith(() => undefined)
  caller.write(requestHead('/release/endless', { id: 'endless' }) + requestsBehind)
  await waitUntil(() => ledger.received.length === 1)
  caller.close()
  await waitUntil(() => ledger.received[0]?.isAborted === true)
  await pause(300)
  expect(ledger.received).toHaveLength(1)
  expect(await (await fetch(`http://${host}:8220/metrics`)).text()).toMatch(/^lavenderdoor_held_bytes 0$/m)
})

test.each(['/release/', '/nowhere/'])('more requests to %s than a connection may send ahead cut none that was passed on, and the caller is told the end', async path => {
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), response.req.url === '/release/first' ? 400 : 2) })
  caller.write(requestHead('/release/first', { id: 'first' }) + Array.from({ length: 200 }, (_, index) => requestHead(`${path}${index}`, { id: `ahead-${index}` })).join(''))
  await caller.until(200)
  expect(caller.state).toBe(ConnectionState.Ended)
  expect(caller.responses).toHaveLength(maximumAhead)
  expect(caller.statuses[0]).toBe(200)
  expect(ledger.received).toHaveLength(caller.statuses.filter(status => status === 200).length)
  if (path === '/release/') expect(caller.responses.at(-1)?.head).toMatch(/^connection: close$/im)
})

test('a request behind whose body comes in tiny pieces beside others like it is refused in its turn, and cuts no run', async () => {
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), 600) })
  const inPieces = (id: string) => requestHead('/release/pieces', { id }).replace('content-length: 0', 'transfer-encoding: chunked') + '1\r\nx\r\n'.repeat(1_100)
  const others = [await RawCaller.connect(host), await RawCaller.connect(host)]
  for (const other of others) other.write(inPieces('other'))
  await pause(100)
  caller.write(requestHead('/release/running', { id: 'running' }) + inPieces('behind'))
  await caller.until(3)
  for (const other of others) other.close()
  expect(caller.statuses).toEqual([200, 503])
  expect(caller.state).toBe(ConnectionState.Ended)
})

test('a running request outlasts the idle time and the time of a head behind it, which is refused after its answer', async () => {
  harness.putConfiguration(2, { limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 200, idle_timeout_ms: 200 } })
  await pause(200)
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), 1_800) })
  caller.write(requestHead('/release/running', { id: 'running' }) + requestHead('/release/behind', { id: 'behind' }).slice(0, 40))
  await caller.until(2)
  expect(caller.statuses).toEqual([200, 408])
})
