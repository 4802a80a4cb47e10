import { monitorEventLoopDelay } from 'node:perf_hooks'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import type { EndpointStandIn } from '../platform/standin/index.ts'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, block, pause, requestHead } from './fakes/rawCaller.ts'

const graceSeconds = 4
const callerCount = 66
/** Heads arrive within this time of the stop, and bodies anywhere in the grace. */
const headMilliseconds = 2_200
/** Well before the end of the stop: answers that are expected by then are wanted. */
const surelyServedMilliseconds = 2_300
/** Endpoints of a process that stood still for so long answer later than they ever did. */
const starvedNanoseconds = 200_000_000
const body = 'x'.repeat(40)
const streamEvents = 4
const streamHeaders = 'token-usage: 10,10\r\nprefix-hash: a1:10\r\n'
const routes = [
  { prefix: '/release/', route_type: 'non_idempotent', backend: 'ledger', max_attempts: 1 },
  { prefix: '/balance/', route_type: 'idempotent', backend: 'ledger', max_attempts: 2 },
  { prefix: '/query/', route_type: 'streaming', backend: 'engines', max_attempts: 2, resumable: true, target_gap_ms: 9_000 }
].map(route => ({ name: route.prefix, hostname: 'desk.example', timeout_ms: 20_000, target_latency_ms: 9_000, priority: 1, public: false, ...route }))

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

/** The attempts that reached endpoints which work for a time on each. */
async function startEndpoints (milliseconds: number): Promise<() => readonly string[]> {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), milliseconds) })
  const engine = await harness.startEndpoint('engines', { slots: 60 })
  engine.handleWith(async (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    for (let id = 1; id <= streamEvents; id++) {
      await pause(milliseconds / streamEvents)
      response.write(formatEvent(id))
    }
    response.end()
  })
  return () => [...ledger.received, ...engine.received].map(({ headers }) => String(headers['attempt-id']))
}

async function connectCaller (host: string): Promise<RawCaller> {
  const caller = await RawCaller.connect(host)
  callers.push(caller)
  return caller
}

/** The statuses of all whole answers on a connection, streams among them. */
function statusesOf ({ text }: RawCaller): readonly string[] {
  const answers = text.split('HTTP/1.1 ').slice(1)
  const isWhole = (answer: string) => !/^transfer-encoding: chunked/im.test(answer) || answer.endsWith('0\r\n\r\n')
  return answers.filter(isWhole).map(answer => answer.slice(0, 3))
}

function head (prefix: string, id: string): string {
  return requestHead(`${prefix}${id}`, { id, bodyLength: body.length, headers: prefix === '/query/' ? streamHeaders : '' })
}

test.each([100, 500, 1_000, 1_800])('no request that a stopping gateway passes on to endpoints that work %d ms is cut, and all others are refused in time', async milliseconds => {
  const received = await startEndpoints(milliseconds)
  harness.putConfiguration(1, { routes })
  const host = await harness.startForwarder({ graceSeconds })
  await harness.waitUntilReady(host)
  const random = new SeededRandomness(milliseconds)
  const attempts = await Promise.all(Array.from({ length: callerCount }, async (_, index) => {
    const prefix = routes[index % routes.length]?.prefix ?? ''
    const caller = await connectCaller(host)
    // A first request keeps the connection, and shows the gateway how long its route takes.
    caller.write(head(prefix, `before-${index}`) + body)
    const headAt = random.fraction() * headMilliseconds
    return { id: `late-${index}`, prefix, caller, headAt, bodyAt: headAt + random.fraction() * (graceSeconds * 1_000 - headAt) }
  }))
  while (attempts.some(({ caller }) => statusesOf(caller).length === 0)) await pause(20)
  const eventLoopDelay = monitorEventLoopDelay()
  eventLoopDelay.enable()
  const stopped = harness.stopForwarder(host)
  await Promise.all(attempts.map(async ({ id, prefix, caller, headAt, bodyAt }) => {
    await pause(headAt)
    caller.write(head(prefix, id))
    await pause(bodyAt - headAt)
    caller.write(body)
  }))
  await stopped
  const ends = attempts.map(({ id, prefix, caller, bodyAt }) => ({ id, prefix, bodyAt, wasPassedOn: received().includes(id), end: statusesOf(caller)[1] ?? 'cut', mayReturn: /^retry-after: 0\.\d+\r$/im.test(caller.text) }))
  expect(ends.filter(({ wasPassedOn, end, prefix }) => wasPassedOn && end === 'cut' && prefix !== '/query/')).toEqual([])
  expect(ends.filter(({ wasPassedOn, end, mayReturn }) => !wasPassedOn && (end !== '503' || !mayReturn))).toEqual([])
  if (eventLoopDelay.max > starvedNanoseconds) return
  expect(ends.filter(({ wasPassedOn, end }) => wasPassedOn && end !== '200')).toEqual([])
  expect(ends.filter(({ wasPassedOn, bodyAt }) => !wasPassedOn && bodyAt < surelyServedMilliseconds - milliseconds)).toEqual([])
})

/** A gateway that has seen a route answered after a time, and the caller that asked. */
async function startAfterRun (milliseconds: number, path: string, ledgerHeaders: Record<string, string> = {}): Promise<{ host: string, caller: RawCaller, ledger: EndpointStandIn }> {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith((_request, response) => {
    response.writeHead(200, ledgerHeaders)
    setTimeout(() => response.end('done'), milliseconds)
  })
  harness.putConfiguration(1, { routes })
  const host = await harness.startForwarder({ graceSeconds })
  await harness.waitUntilReady(host)
  const caller = await connectCaller(host)
  caller.write(requestHead(`${path}before`, { id: 'before', method: 'GET' }))
  await caller.until(1)
  return { host, caller, ledger }
}

test('a request whose run breaks off late in a stop is not sent to another endpoint that would be cut', async () => {
  const { host, caller, ledger } = await startAfterRun(1_800, '/balance/')
  const other = await harness.startEndpoint('ledger')
  const received = () => [...ledger.received, ...other.received].filter(({ path }) => path === '/balance/1')
  for (const endpoint of [ledger, other]) {
    endpoint.handleWith((_request, response) => {
      if (received().length === 1) setTimeout(() => response.socket?.destroy(), 1_500)
      else setTimeout(() => response.end('done'), 1_800)
    })
  }
  await pause(100)
  caller.write(requestHead('/balance/1', { id: 'broken', method: 'GET' }))
  await waitUntil(() => received().length === 1)
  await harness.stopForwarder(host)
  await caller.until(2)
  expect(caller.statuses).toEqual([200, 502])
  expect(received()).toHaveLength(1)
})

test('a request that waits for a place which comes too late for its route is refused in a stop, and not passed on and cut', async () => {
  const { host, caller, ledger } = await startAfterRun(1_500, '/release/', { 'server-limit': '0.5' })
  caller.write(requestHead('/release/1', { id: 'waiting' }))
  await pause(100)
  await harness.stopForwarder(host)
  await caller.until(2)
  expect(caller.statuses).toEqual([200, 503])
  expect(ledger.received.map(({ path }) => path)).toEqual(['/release/before'])
})

test('a request on a route that a gateway has never seen answered is refused in a stop, if its deadline lies beyond the end', async () => {
  const { host, caller, ledger } = await startAfterRun(10, '/balance/')
  const other = await connectCaller(host)
  const stopped = harness.stopForwarder(host)
  caller.write(requestHead('/release/1', { id: 'unknown' }))
  other.write(requestHead('/release/2', { id: 'short', timeoutMilliseconds: 2_000 }))
  await Promise.all([caller.until(2), other.until(1)])
  expect([...caller.statuses, ...other.statuses]).toEqual([200, 503, 200])
  expect(ledger.received.map(({ path }) => path)).toEqual(['/balance/before', '/release/2'])
  await stopped
})

test.each(['calm', 'starved'])('a run that outlasts the stop of a %s gateway ends with an answer that promises nothing, and what waits behind it on its connection is refused and not passed on', async kind => {
  const { host, caller, ledger } = await startAfterRun(10, '/balance/')
  ledger.handleWith(({ path }, response) => { if (path !== '/release/1') response.end('done') })
  caller.write(requestHead('/release/1', { id: 'endless' }))
  await waitUntil(() => ledger.received.length === 2)
  const stopped = harness.stopForwarder(host)
  caller.write(requestHead('/balance/1', { id: 'behind', method: 'GET' }))
  if (kind === 'starved') {
    await pause(2_900)
    block(600)
  }
  await stopped
  await caller.until(3)
  expect(caller.statuses).toEqual([200, 502, 503])
  expect(ledger.received.map(({ path }) => path)).toEqual(['/balance/before', '/release/1'])
  expect(caller.state).not.toBe(ConnectionState.Broken)
})

test('requests that are sent ahead on a kept connection during a stop are each answered, or refused and not passed on', async () => {
  const { host, caller, ledger } = await startAfterRun(600, '/release/')
  const ids = Array.from({ length: 40 }, (_, index) => `ahead-${index}`)
  const late = requestHead('/release/late', { id: 'late', bodyLength: body.length })
  const stopped = harness.stopForwarder(host)
  // More than are worked on at a time, so that the last ones begin too late.
  caller.write(ids.slice(0, 20).map(id => requestHead(`/release/${id}`, { id })).join(''))
  await pause(1_000)
  caller.write(ids.slice(20).map(id => requestHead(`/release/${id}`, { id })).join('') + late)
  await pause(1_500)
  caller.write(body)
  await stopped
  await caller.until(ids.length + 2)
  const received = ledger.received.map(({ headers }) => headers['attempt-id'])
  expect(caller.statuses.slice(1)).toEqual([...ids, 'late'].map(id => received.includes(id) ? 200 : 503))
  expect(received).not.toContain('late')
})

test('a reload and a second signal during a stop change nothing for requests that were passed on or are still sent', async () => {
  const { host, caller, ledger } = await startAfterRun(1_200, '/release/')
  const late = await connectCaller(host)
  caller.write(requestHead('/release/1', { id: 'running' }))
  await waitUntil(() => ledger.received.length === 2)
  const stopped = harness.stopForwarder(host)
  late.write(requestHead('/release/2', { id: 'sending', bodyLength: body.length }))
  await pause(300)
  await harness.changeBootFile(host, { bounds: { grace_s: 0.2, session_s: 5, retry_ratio: 0.9 } })
  await harness.forwarderAt(host).reload()
  harness.putConfiguration(2, { routes: [] })
  await Promise.race([harness.forwarderAt(host).stop(), pause(600)])
  late.write(body)
  await Promise.all([caller.until(2), late.until(1)])
  expect([...caller.statuses, ...late.statuses]).toEqual([200, 200, 200])
  await stopped
})
