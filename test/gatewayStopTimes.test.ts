import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'
import { RawCaller, pause, requestHead } from './fakes/rawCaller.ts'
import { Log } from '../src/observe/index.ts'

/** The platform excuses requests that were sent up to this time after its signal. */
const excusedMilliseconds = 3_000
/** A busy VM may notice the signal so much later. */
const signalDelayMilliseconds = 400
const graceSeconds = 4

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

/** A gateway whose endpoint answers after a time, with one request in flight. */
async function startWithRunningRequest (milliseconds: number): Promise<string> {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), milliseconds) })
  harness.putConfiguration(1, { routes: [{ name: 'long', hostname: 'desk.example', prefix: '/release/', route_type: 'non_idempotent', timeout_ms: 20_000, target_latency_ms: 9_000, backend: 'ledger', max_attempts: 1 }] })
  const host = await harness.startForwarder({ graceSeconds })
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
  const host = await startWithRunningRequest(3_000)
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
  const host = await startWithRunningRequest(10_000)
  const startedAt = performance.now()
  await harness.stopForwarder(host)
  const handOverAndFlushMilliseconds = 300
  expect(performance.now() - startedAt).toBeLessThan(graceSeconds * 1_000 - signalDelayMilliseconds - handOverAndFlushMilliseconds)
})

test('a run that the end of a stop cuts is logged as cut by the stop, and not as left by its caller', async () => {
  const lines = vi.spyOn(Log.prototype, 'info')
  const host = await startWithRunningRequest(10_000)
  await harness.stopForwarder(host)
  await waitUntil(() => lines.mock.calls.some(([event]) => event === 'request_ended'))
  const fieldsOf = (name: string) => lines.mock.calls.find(([event]) => event === name)?.[1]
  expect(fieldsOf('request_ended')).toMatchObject({ outcome: 'cut_by_stop' })
  expect(fieldsOf('drained')).toMatchObject({ cut: 1 })
})
