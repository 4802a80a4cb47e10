import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness, type ForwarderOptions, waitUntil } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, block, pause, requestHead } from './fakes/rawCaller.ts'
import { sendUnread, unansweredRequests } from './fakes/slowCaller.ts'
import type { EndpointStandIn } from '../platform/standin/index.ts'

let harness: ForwarderHarness
let callers: RawCaller[]
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  callers = []
})
afterEach(async () => {
  for (const caller of callers) caller.close()
  await harness.close()
})

const largeAnswers = { count: 16, bytes: 500_000 }
/** The listener is closed after this time in a planned stop, and idle connections with it. */
const listenerCloseMilliseconds = 2_400
const lateRequestMilliseconds = 3_000
const bodyBytes = 60_000
const longRoutes = ['non_idempotent', 'idempotent'].map(type => ({ name: type, hostname: 'desk.example', prefix: type === 'idempotent' ? '/balance/' : '/release/', route_type: type, timeout_ms: 20_000, target_latency_ms: 9_000, backend: 'ledger', max_attempts: 1 }))

async function startReadyForwarder (options: ForwarderOptions = { graceSeconds: 6 }): Promise<string> {
  harness.putConfiguration(1, { routes: longRoutes })
  const host = await harness.startForwarder(options)
  await harness.waitUntilReady(host)
  return host
}

async function connectCaller (host: string): Promise<RawCaller> {
  const caller = await RawCaller.connect(host)
  callers.push(caller)
  return caller
}

/** A ledger that answers after a time, with a body of some bytes. */
async function startLedger (milliseconds: number, bytes = 4): Promise<EndpointStandIn> {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('x'.repeat(bytes)), milliseconds) })
  return ledger
}

/** A gateway that stops passes on only requests whose routes it has seen answered in the time that is left. */
async function showDuration (host: string): Promise<void> {
  const caller = await connectCaller(host)
  caller.write(requestHead('/release/0', { id: 'before' }))
  await caller.until(1)
}

/** A caller that sends requests for large answers and reads none of them yet. */
async function connectSlowReader (host: string, ledger: EndpointStandIn): Promise<RawCaller> {
  const caller = await connectCaller(host)
  await sendUnread(caller, ledger, largeAnswers)
  expect(ledger.received.length).toBeLessThan(largeAnswers.count)
  return caller
}

test('answers that wait for a slow caller arrive in full although the gateway stops', async () => {
  const ledger = await startLedger(10, largeAnswers.bytes)
  const host = await startReadyForwarder()
  const caller = await connectSlowReader(host, ledger)
  const stopped = harness.stopForwarder(host)
  await pause(listenerCloseMilliseconds + 300)
  caller.resume()
  await caller.until(largeAnswers.count)
  expect(unansweredRequests(caller, ledger, largeAnswers)).toEqual([])
  await stopped
})

test('answers that wait for a slow caller arrive in full although the stopping gateway closes idle connections', async () => {
  const ledger = await startLedger(10, largeAnswers.bytes)
  const host = await startReadyForwarder()
  const caller = await connectSlowReader(host, ledger)
  ledger.handleWith(({ path }, response) => {
    if (path === '/release/1') setTimeout(() => response.end('done'), 4_500)
    else response.end('x'.repeat(largeAnswers.bytes))
  })
  const running = await connectCaller(host)
  running.write(requestHead('/release/1', { id: 'running' }))
  await waitUntil(() => ledger.received.some(({ path }) => path === '/release/1'))
  const stopped = harness.stopForwarder(host)
  await pause(listenerCloseMilliseconds + 300)
  caller.resume()
  await caller.until(largeAnswers.count)
  expect(unansweredRequests(caller, ledger, largeAnswers)).toEqual([])
  await stopped
  expect(running.statuses).toEqual([200])
})

test('a caller that reads an answer slowly gets all of it while settings change and the boot file is read again', async () => {
  const ledger = await startLedger(10, largeAnswers.bytes)
  const host = await startReadyForwarder()
  const caller = await connectSlowReader(host, ledger)
  harness.putConfiguration(2, { routes: longRoutes, limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 200, idle_timeout_ms: 200 } })
  await harness.forwarderAt(host).reload()
  await pause(1_500)
  caller.resume()
  await caller.until(largeAnswers.count)
  expect(unansweredRequests(caller, ledger, largeAnswers)).toEqual([])
  expect(caller.statuses).toEqual(Array.from({ length: largeAnswers.count }, () => 200))
})

test('pipelined requests that were passed on during a planned stop are all answered', async () => {
  const ledger = await startLedger(400)
  const host = await startReadyForwarder()
  const caller = await connectCaller(host)
  caller.write(requestHead('/release/0', { id: 'before' }))
  await caller.until(1)
  const stopped = harness.stopForwarder(host)
  caller.write(['first', 'second'].map(id => requestHead(`/release/${id}`, { id })).join(''))
  await caller.until(3)
  expect(ledger.received).toHaveLength(caller.responses.length)
  expect(caller.statuses).toEqual([200, 200, 200])
  await stopped
})

test('a request before a malformed one on the same connection gets its own answer', async () => {
  const ledger = await startLedger(300)
  const host = await startReadyForwarder()
  const caller = await connectCaller(host)
  caller.write(`${requestHead('/release/1', { id: 'first' })}no request\r\n\r\n`)
  await waitUntil(() => ledger.received.length === 1)
  await caller.until(1)
  expect(caller.statuses[0]).toBe(200)
})

test('an answer in a planned stop tells the caller to close its connection, also if its request came before', async () => {
  const ledger = await startLedger(500)
  const host = await startReadyForwarder()
  const caller = await connectCaller(host)
  caller.write(requestHead('/release/1', { id: 'running' }))
  await waitUntil(() => ledger.received.length === 1)
  const stopped = harness.stopForwarder(host)
  await caller.until(1)
  expect(caller.responses[0]?.head).toMatch(/connection: close/i)
  await stopped
})

test('a caller that is still sending the body of a refused request gets the refusal', async () => {
  const host = await startReadyForwarder()
  const caller = await connectCaller(host)
  caller.pause()
  caller.write(`${requestHead('/release/1', { id: 'refused', key: 'unknown-key', bodyLength: bodyBytes })}${'x'.repeat(bodyBytes / 2)}`)
  await pause(200)
  caller.write('x'.repeat(bodyBytes / 4))
  await pause(100)
  caller.write('x'.repeat(bodyBytes / 4))
  await pause(100)
  caller.resume()
  await caller.until(1)
  expect(caller.statuses).toEqual([401])
})

test('a caller that is still sending the body of a request that comes too late in a planned stop gets the refusal', async () => {
  const ledger = await startLedger(4_000)
  const host = await startReadyForwarder()
  const running = await connectCaller(host)
  running.write(requestHead('/release/1', { id: 'running' }))
  await waitUntil(() => ledger.received.length === 1)
  const caller = await connectCaller(host)
  const head = requestHead('/release/2', { id: 'late', bodyLength: bodyBytes })
  const stopped = harness.stopForwarder(host)
  caller.pause()
  caller.write(head.slice(0, 40))
  await pause(lateRequestMilliseconds + 100)
  caller.write(`${head.slice(40)}${'x'.repeat(bodyBytes / 2)}`)
  await pause(200)
  caller.write('x'.repeat(bodyBytes / 4))
  await pause(100)
  caller.write('x'.repeat(bodyBytes / 4))
  await pause(100)
  caller.resume()
  await caller.until(1)
  expect(caller.statuses).toEqual([503])
  await stopped
  expect(running.statuses).toEqual([200])
})

test.each(['an unused', 'a kept'])('a request that waits to be read on %s connection when a busy gateway closes idle ones gets an answer', async kind => {
  const ledger = await startLedger(10)
  const host = await startReadyForwarder()
  const caller = await connectCaller(host)
  if (kind === 'a kept') {
    caller.write(requestHead('/release/1', { id: 'before' }))
    await caller.until(1)
  }
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), 3_500) })
  const running = await connectCaller(host)
  running.write(requestHead('/release/2', { id: 'running' }))
  await pause(200)
  const answersBefore = caller.responses.length
  const stopped = harness.stopForwarder(host)
  await pause(listenerCloseMilliseconds - 100)
  ledger.handleWith((_request, response) => { response.end('done') })
  caller.write(requestHead('/release/3', { id: 'crossing' }))
  block(250)
  await caller.until(answersBefore + 1)
  expect(caller.responses).toHaveLength(answersBefore + 1)
  await stopped
})

test('a request whose head had arrived in part when the stop began is answered', async () => {
  await startLedger(10)
  const host = await startReadyForwarder()
  await showDuration(host)
  const caller = await connectCaller(host)
  const head = requestHead('/release/1', { id: 'partly' })
  caller.write(head.slice(0, 40))
  await pause(50)
  const stopped = harness.stopForwarder(host)
  await pause(1_500)
  caller.write(head.slice(40))
  await caller.until(1)
  expect(caller.statuses).toEqual([200])
  await stopped
})

test('a request that waits for the tables when the gateway is stopped is answered', async () => {
  const host = await harness.startForwarder({ graceSeconds: 4 })
  const caller = await connectCaller(host)
  caller.write(requestHead('/release/1', { id: 'early' }))
  const stopped = harness.stopForwarder(host)
  await caller.until(1)
  expect(caller.statuses).toEqual([503])
  await stopped
})

test('a request whose body is still arriving when the time of a stop ends gets a refusal', async () => {
  await startLedger(10)
  const host = await startReadyForwarder({ graceSeconds: 2 })
  const caller = await connectCaller(host)
  caller.write(`${requestHead('/release/1', { id: 'slow', bodyLength: bodyBytes })}x`)
  await pause(100)
  await harness.stopForwarder(host)
  await caller.until(1)
  expect(caller.statuses).toEqual([503])
})

test('a request that waits for a place when the time of a stop ends gets a refusal', async () => {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith((_request, response) => {
    response.setHeader('server-limit', '0.3')
    response.end('done')
  })
  const host = await startReadyForwarder({ graceSeconds: 2 })
  const waiting: RawCaller[] = []
  for (let index = 0; index < 4; index++) {
    const caller = await connectCaller(host)
    caller.write(requestHead(`/balance/${index}`, { id: `place-${index}`, method: 'GET' }))
    if (index === 0) await caller.until(1)
    waiting.push(caller)
  }
  await pause(100)
  const unanswered = waiting.filter(({ responses }) => responses.length === 0)
  expect(unanswered.length).toBeGreaterThan(0)
  await harness.stopForwarder(host)
  await Promise.all(unanswered.map(caller => caller.until(1)))
  expect(unanswered.map(({ statuses }) => statuses)).toEqual(unanswered.map(() => [503]))
})

/** A ledger whose long answer ends with its connection, and has not ended yet. */
async function startUnframedLedger (breakOffMilliseconds: number | undefined): Promise<EndpointStandIn> {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith((_request, response) => {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
    response.write('x'.repeat(400_000))
    if (breakOffMilliseconds !== undefined) setTimeout(() => response.socket?.resetAndDestroy(), breakOffMilliseconds)
  })
  return ledger
}

/** Only chunks whose last one is missing show the caller of a closed connection that its answer is not whole. */
function expectUnfinishedChunks ({ text, state }: RawCaller): void {
  expect(text).toMatch(/^HTTP\/1.1 200 OK/)
  expect(text).toMatch(/^transfer-encoding: chunked\r$/im)
  expect(text.endsWith('0\r\n\r\n')).toBe(false)
  expect(state).not.toBe(ConnectionState.Open)
}

test('an answer without a length that a stop cuts does not look complete', async () => {
  const ledger = await startUnframedLedger(undefined)
  const host = await startReadyForwarder({ graceSeconds: 2 })
  const caller = await connectCaller(host)
  caller.write(requestHead('/balance/1', { id: 'cut', method: 'GET' }))
  await waitUntil(() => ledger.received.length === 1)
  await harness.stopForwarder(host)
  await caller.until(1)
  expectUnfinishedChunks(caller)
})

test('an answer without a length that its endpoint breaks off does not look complete', async () => {
  await startUnframedLedger(300)
  const host = await startReadyForwarder()
  const caller = await connectCaller(host)
  caller.write(requestHead('/balance/1', { id: 'broken', method: 'GET' }))
  await caller.until(1)
  expectUnfinishedChunks(caller)
})
