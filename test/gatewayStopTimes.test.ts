import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'
import { SystemClock, untilInputIsRead } from '../src/contract/index.ts'
import { Log } from '../src/observe/index.ts'

/** The platform excuses requests that were sent up to this time after its signal. */
const excusedMilliseconds = 3_000
/** A busy VM may notice the signal so much later. */
const signalDelayMilliseconds = 400
const graceSeconds = 4
/** Longer than a test waits for a state, so that the end of the stop is not taken for it. */
const longGraceSeconds = 15

/** Of a stream that is whole. */
const lastEventId = 9_999

let harness: ForwarderHarness
let callers: RawCaller[]
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  callers = []
})
afterEach(async () => {
  vi.restoreAllMocks()
  for (const caller of callers) caller.close()
  await harness.close()
})

/** A gateway with one request in flight, whose endpoint answers when a promise resolves. */
async function startWithRunningRequest (end: Promise<void>, seconds = graceSeconds): Promise<string> {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith(async (_request, response) => {
    await end
    response.end('done')
  })
  harness.putConfiguration(1, { routes: [{ name: 'long', hostname: 'desk.example', prefix: '/release/', route_type: 'non_idempotent', timeout_ms: 20_000, target_latency_ms: 9_000, backend: 'ledger', max_attempts: 1 }] })
  const host = await harness.startForwarder({ graceSeconds: seconds })
  await harness.waitUntilReady(host)
  const running = await connectCaller(host)
  running.write(requestHead('/release/1', { id: 'running' }))
  await waitUntil(() => ledger.received.length === 1)
  ledger.handleWith((_request, response) => { response.end('done') })
  return host
}

async function connectCaller (host: string): Promise<RawCaller> {
  const caller = await RawCaller.connect(host)
  callers.push(caller)
  return caller
}

test('a request that may have been sent too late, since the signal may have been noticed late, is refused', async () => {
  const host = await startWithRunningRequest(pause(3_000))
  const caller = await connectCaller(host)
  const head = requestHead('/release/2', { id: 'late' })
  caller.write(head.slice(0, 40))
  await pause(50)
  const stopped = harness.stopForwarder(host)
  await pause(excusedMilliseconds - signalDelayMilliseconds + 100)
  caller.write(head.slice(40))
  await caller.until(1)
  expect(caller.statuses).toEqual([503])
  await stopped
})

test('a stop that waits for a run leaves time for a late signal, the hand-over of sessions and the flush of the log', async () => {
  const host = await startWithRunningRequest(pause(10_000))
  const startedAt = performance.now()
  await harness.stopForwarder(host)
  const handOverAndFlushMilliseconds = 300
  expect(performance.now() - startedAt).toBeLessThan(graceSeconds * 1_000 - signalDelayMilliseconds - handOverAndFlushMilliseconds)
})

test('a run that the end of a stop cuts is logged as cut by the stop, and not as left by its caller', async () => {
  const lines = vi.spyOn(Log.prototype, 'info')
  const host = await startWithRunningRequest(pause(10_000))
  await harness.stopForwarder(host)
  await waitUntil(() => lines.mock.calls.some(([event]) => event === 'request_ended'))
  const fieldsOf = (name: string) => lines.mock.calls.find(([event]) => event === name)?.[1]
  expect(fieldsOf('request_ended')).toMatchObject({ outcome: 'cut_by_stop' })
  expect(fieldsOf('drained')).toMatchObject({ cut: 1 })
})

/** Waits until the listener is closed and what was closed with it has been read; connections are accepted until then. */
async function untilListenerIsClosed (host: string): Promise<void> {
  await waitUntil(() => connectCaller(host).then(() => false, () => true))
  await untilInputIsRead(new SystemClock())
}

test.each([['answered', 'good-key', 200], ['refused', 'unknown-key', 401]] as const)('a kept connection whose request was %s before the stop is closed in order while other requests run', async (_end, key, status) => {
  let endRun: () => void = () => undefined
  const host = await startWithRunningRequest(new Promise(resolve => { endRun = resolve }), longGraceSeconds)
  const caller = await connectCaller(host)
  caller.write(requestHead('/release/2', { id: 'before', key }))
  await caller.until(1)
  const stopped = harness.stopForwarder(host)
  await untilListenerIsClosed(host)
  expect(caller.statuses).toEqual([status])
  expect(caller.state).toBe(ConnectionState.Ended)
  expect(callers[0]?.state).toBe(ConnectionState.Open)
  endRun()
  await stopped
  expect(callers[0]?.statuses).toEqual([200])
})

test('a planned stop does not give up a stream\'s silent run before another endpoint has taken it over', async () => {
  const engines = [await harness.startEndpoint('engines'), await harness.startEndpoint('engines')]
  const gapMilliseconds = 800
  const silentMilliseconds = 3 * gapMilliseconds
  const silence = { isOver: false }
  let streams = 0
  let busy: string | undefined
  for (const engine of engines) {
    engine.handleWith(async (_request, response) => {
      busy ??= engine.identity
      // The other engine is full.
      if (engine.identity !== busy) return response.writeHead(503, { 'not-executed': '1' }).end() as never
      const isPreempted = streams++ === 0
      response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
      let id = 1
      response.write(formatEvent(id++))
      for (; !silence.isOver; await pause(20)) if (!isPreempted) response.write(formatEvent(id++))
      response.end(formatEvent(id) + formatEvent(lastEventId))
    })
  }
  harness.putConfiguration(1, { routes: [{ name: 'query', hostname: 'desk.example', prefix: '/query/', route_type: 'streaming', timeout_ms: 9_000, target_latency_ms: 400, target_gap_ms: gapMilliseconds, priority: 1, max_attempts: 3, resumable: true, public: false, backend: 'engines' }] })
  const host = await harness.startForwarder({ graceSeconds: longGraceSeconds })
  await harness.waitUntilReady(host)
  const ask = () => harness.call(host, '/query/1', { headers: { 'token-usage': '10,10', 'prefix-hash': 'a1:10', 'deadline-ms': '8000' } })
  const answers = [ask()]
  await waitUntil(() => streams === 1)
  answers.push(ask())
  await waitUntil(() => streams === 2)
  const stopped = harness.stopForwarder(host)
  await pause(silentMilliseconds)
  silence.isOver = true
  const ends = await Promise.all(answers)
  expect(ends.map(({ isComplete, body }) => ({ isComplete, isWhole: body.endsWith(formatEvent(lastEventId)) }))).toEqual(ends.map(() => ({ isComplete: true, isWhole: true })))
  expect(streams).toBe(2)
  await stopped
})
