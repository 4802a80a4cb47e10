import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { afterEach, expect, test, vi } from 'vitest'
import { endpointDocument } from '../platform/standin/index.ts'
import { Log } from '../src/observe/index.ts'
import { ForwarderHarness } from './fakes/forwarderWorld.ts'
import { pause } from './fakes/rawCaller.ts'

const streamCount = 5
/** A gateway reads less than this of a stream whose bytes are no answer; the kernel holds some more. */
const maximumTakenBytes = 8 * 1024 * 1024

let worker: Worker | undefined
let harness: ForwarderHarness | undefined
afterEach(async () => {
  vi.restoreAllMocks()
  await harness?.close()
  await worker?.terminate()
  harness = worker = undefined
})

async function startFlood (isRising: boolean): Promise<string> {
  worker = new Worker(new URL('./fakes/floodWorker.mjs', import.meta.url), { workerData: { isRising } })
  const [{ port }] = await once(worker, 'message')
  return `127.0.0.1:${port}`
}

async function takenBytes (): Promise<number> {
  worker!.postMessage('')
  const [{ takenBytes }] = await once(worker!, 'message')
  return takenBytes
}

async function startGateway (flood: string): Promise<string> {
  harness = await ForwarderHarness.start()
  harness.putConfiguration(1)
  await harness.startEndpoint('ledger')
  harness.store.put('servers', 'i-flood', endpointDocument('engines', flood, { slots: 100 }))
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  return host
}

test.each([
  ['events whose ids do not rise', false, 'event ids that do not rise'],
  ['far more events than were asked for', true, 'more events than the request asked for']
])('a gateway ends streams of %s as failed by their endpoint, and says why', async (_name, isRising, reason) => {
  const host = await startGateway(await startFlood(isRising))
  const warn = vi.spyOn(Log.prototype, 'warn')
  const headers = { 'deadline-ms': '2000', model: 'small', 'token-usage': '600,100', 'prefix-hash': 'a1:500,b1:100' }
  const ids = Array.from({ length: streamCount }, (_, index) => `flood-${index}`)
  const answers = await Promise.all(ids.map(id => harness!.call(host, `/query/${id}`, { headers: { ...headers, 'attempt-id': id } }).catch(() => undefined)))
  const bytes = await takenBytes()
  expect(answers.filter(answer => answer?.status === 200 && answer.isComplete)).toEqual([])
  const lines = warn.mock.calls.filter(([event]) => event === 'stream_is_no_answer').map(([, fields]) => fields)
  // A request that comes after several of these has no endpoint left, and is refused.
  const unserved = ids.filter((id, index) => answers[index]?.status !== 503)
  expect(unserved.length).toBeGreaterThan(0)
  expect(lines.map(fields => fields?.request)).toEqual(expect.arrayContaining(unserved))
  expect(new Set(lines.map(fields => `${fields?.endpoint}: ${fields?.reason}`))).toEqual(new Set([`i-flood: ${reason}`]))
  expect(bytes / lines.length).toBeLessThan(maximumTakenBytes)
}, 20_000)

test('a gateway serves others while streams that name no size send small events until their deadline', async () => {
  const host = await startGateway(await startFlood(true))
  const startedAt = performance.now()
  const flooding = Promise.all(Array.from({ length: streamCount }, (_, index) => harness!.call(host, `/query/${index}`, { headers: { 'deadline-ms': '2000' } }).catch(() => undefined)))
  const times: number[] = []
  while (performance.now() - startedAt < 2_500) {
    const calledAt = performance.now()
    expect((await harness!.call(host, `/balance/${times.length}`)).status).toBe(200)
    times.push(performance.now() - calledAt)
    await pause(20)
  }
  const answers = await flooding
  if (process.env.LAVENDERDOOR_SHOW_TIMES !== undefined) console.log(JSON.stringify({ calls: times.length, median: times.toSorted((a, b) => a - b)[times.length >> 1], max: Math.max(...times), takenBytes: await takenBytes(), streams: answers.map(answer => answer?.body.length) }))
  expect(answers.filter(answer => answer?.isComplete)).toEqual([])
}, 60_000)
