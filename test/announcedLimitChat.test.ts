import { afterEach, beforeEach, expect, test } from 'vitest'
import { type EndpointDescription, Priority, SystemClock } from '../src/contract/index.ts'
import { HttpEngineClient, HttpServiceClient, type SendGate, rateHeader } from '../src/endpoint/index.ts'
import type { ReadRateAnnouncement } from '../src/rateLimit/index.ts'
import { FakeEngineClient } from './fakes/fakeEngineClient.ts'
import { EntryHarness } from './fakes/entryWorld.ts'
import { formatFinishFrame, formatTokenFrame } from './fakes/fakeEngineServer.ts'
import { httpChunk, httpReply, startScriptedServer } from './fakes/scriptedServer.ts'

const limitPerSecond = 2
const spanMilliseconds = 4_000
/** What an engine accepts in one span: one and a half times its limit, and five requests. */
const maximumArrivals = limitPerSecond * spanMilliseconds / 1_000 * 1.5 + 5
const limitedNames = ['further-0', 'further-1']

let engines: FakeEngineClient
let harness: EntryHarness
beforeEach(async () => {
  engines = new FakeEngineClient(new SystemClock())
  engines.limitOf = ({ name }) => limitedNames.includes(name) ? limitPerSecond : undefined
  harness = await EntryHarness.start(undefined, undefined, engines)
})
afterEach(async () => { await harness.close() })

const furtherEngines = (count: number) => Array.from({ length: count }, (_, index) => `[endpoints.further-${index}]\naddress = "127.0.0.1:${index + 1}"\ndata_centre = "lower-mainland-a"\nversions = ["small@1"]`).join('\n')
let nextQuestion = 1
const ask = async () => await harness.call('/v1/chat/completions', { body: { model: 'auto', messages: [{ role: 'user', content: `question ${nextQuestion++}` }] } })

test('an engine that announces a limit to a daemon gets no more than that, and callers are answered by the others', async () => {
  harness.settings.install(harness.settingsText(furtherEngines(2)))
  const answers: Promise<Response>[] = []
  for (let request = 0; request < 240; request++) {
    answers.push(ask())
    await new Promise(resolve => setTimeout(resolve, 25))
  }
  expect((await Promise.all(answers)).every(({ status }) => status === 200)).toBe(true)
  for (const name of limitedNames) {
    const arrivals = engines.runs.filter(({ endpoint }) => endpoint === name).map(({ startedAt }) => startedAt)
    expect(arrivals.length).toBeGreaterThan(0)
    for (const first of arrivals) expect(arrivals.filter(at => at >= first && at < first + spanMilliseconds).length).toBeLessThanOrEqual(maximumArrivals)
  }
}, 30_000)

test('with the limits of all engines used up, callers beyond them are refused as not run and told when to come back', async () => {
  engines.limitOf = () => 0.2
  harness.settings.install(harness.settingsText().replace('versions = ["small@1", "small@2", "large@1"]', 'versions = ["small@1"]'))
  expect((await ask()).status).toBe(200)
  const refused = await Promise.all([...Array(40)].map(() => ask()))
  const refusals = refused.filter(({ status }) => status === 503)
  expect(refusals.length).toBeGreaterThan(30)
  expect(await refusals[0]!.json()).toMatchObject({ error: { code: 'overloaded', run: 'not_run' } })
  expect(Number(refusals[0]!.headers.get('retry-after'))).toBeGreaterThan(0)
  expect(engines.runs.length).toBeLessThanOrEqual(8)
}, 60_000)

/** A gate that records what it is asked and told. */
class RecordingGate implements SendGate {
  readonly responses: { readonly read: ReadRateAnnouncement, readonly isServed: boolean }[] = []
  sends = 0
  charges = 0

  trySend (): boolean {
    this.sends++
    return true
  }

  charge (): void {
    this.charges++
  }

  recordResponse (read: ReadRateAnnouncement, isServed: boolean): void {
    this.responses.push({ read, isServed })
  }
}

const clock = new SystemClock()
const clientOptions = { clock, connectTimeoutMilliseconds: 1_000, inactivityTimeoutMilliseconds: 1_000, initialResumeDelayMilliseconds: 10 }
const neverAborted = new AbortController().signal
const endpointAt = (address: string): EndpointDescription => ({ name: 'e', kind: 'service', address, place: { region: 'r', dataCentre: 'd' }, versions: [], service: 'ledger', checksFencing: true })

test('an engine client asks the gate for a send, charges it for resumed streams and tells it what responses announce', async () => {
  const server = await startScriptedServer((socket, connection, received) => {
    const isWhole = received.startsWith('POST') ? received.endsWith('}') : received.endsWith('\r\n\r\n')
    if (!isWhole) return
    const head = `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n${rateHeader}: 2.5\r\n\r\n`
    if (connection === 0) {
      socket.write(head + httpChunk(formatTokenFrame('a-1', 0, 1, 'one ')))
      setTimeout(() => socket.destroy(), 20)
      return
    }
    socket.end(head + httpChunk(formatTokenFrame('a-1', 1, 1, 'two ')) + httpChunk(formatFinishFrame('a-1', 2)) + httpChunk('data: [DONE]\n\n') + '0\r\n\r\n')
  })
  const gate = new RecordingGate()
  const call = { attemptId: 'a-1', version: 'small@1' as const, messages: [], maximumTokens: 2, priority: Priority.Normal, prefixKey: '', traceParent: undefined, gate }
  const events = []
  for await (const event of new HttpEngineClient(clientOptions).generate(endpointAt(server.address), call, neverAborted)) events.push(event)
  await server.close()
  expect(events.at(-1)).toMatchObject({ type: 'finish' })
  expect(gate.sends).toBe(1)
  expect(gate.charges).toBeGreaterThanOrEqual(1)
  expect(gate.responses.map(({ read }) => read.announcement)).toEqual([{ type: 'limited', requestsPerSecond: 2.5 }, { type: 'limited', requestsPerSecond: 2.5 }])
})

test('a service client sends nothing that the gate holds back, and tells it what responses announce', async () => {
  const server = await startScriptedServer(socket => { socket.write(httpReply('{}', `200 OK\r\n${rateHeader}: 3`)) })
  const gate = new RecordingGate()
  const client = new HttpServiceClient(clientOptions)
  const call = { method: 'GET', path: '/balances/1', contentType: undefined, body: undefined, idempotencyKey: undefined, traceParent: undefined, gate }
  expect((await client.call(endpointAt(server.address), call, () => true, neverAborted)).ok).toBe(true)
  expect(gate.responses).toEqual([{ read: { announcement: { type: 'limited', requestsPerSecond: 3 }, error: undefined }, isServed: true }])
  gate.trySend = () => false
  const heldBack = await client.call(endpointAt(server.address), call, () => true, neverAborted)
  expect(heldBack.err && heldBack.val.delivery).toBe('never')
  await server.close()
  expect(server.received.filter(text => text.length > 0)).toHaveLength(1)
})
