/**
 * The engine client over a fake network with faults of every kind. A caller must get the complete answer to
 * its own request, or a failure that is marked as one.
 */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type EndpointDescription, Priority } from '../src/contract/index.ts'
import { type EngineCall, type EngineEvent, HttpEngineClient, DeliveryState } from '../src/endpoint/index.ts'
import { FakeEngineServer, formatFinishFrame, formatTokenFrame } from './fakes/fakeEngineServer.ts'
import { type ExchangeFault, FakeHttpNetwork, type NetworkRequest, type ChunkFault } from './fakes/fakeNetwork.ts'
import { ManualClock } from './fakes/manualClock.ts'

const address = '127.0.0.1:1'
const endpoint: EndpointDescription = { name: 'e', kind: 'engine', address, place: { region: 'r', dataCentre: 'd' }, versions: ['small@1'], service: undefined, checksFencing: true }
const call: EngineCall = { attemptId: 'mine', version: 'small@1', messages: [], maximumTokens: 100, priority: Priority.Normal, prefixKey: 'p', traceParent: undefined }
const resumeLimit = 4
const neverAborted = new AbortController().signal

interface ReadResult {
  readonly text: string
  readonly last: EngineEvent | undefined
  readonly events: readonly EngineEvent[]
}

class EngineClientHarness {
  readonly clock = new ManualClock()
  readonly network = new FakeHttpNetwork(this.clock)
  readonly engine: FakeEngineServer
  readonly client: HttpEngineClient
  readonly requests: NetworkRequest[] = []

  constructor (tokens = 12, exchangeFaults: readonly ExchangeFault[] = [], firstTokenDelayMilliseconds = 0) {
    this.engine = new FakeEngineServer(this.clock, { tokenCount: tokens, tokenIntervalMilliseconds: 10, firstTokenDelayMilliseconds })
    this.network.serve(address, this.engine)
    this.network.script = (_address, request) => {
      this.requests.push(request)
      if (request.method === 'DELETE') return {}
      return exchangeFaults[this.requests.filter(sent => sent.method !== 'DELETE').length - 1] ?? {}
    }
    this.client = new HttpEngineClient({ clock: this.clock, connectTimeoutMilliseconds: 500, inactivityTimeoutMilliseconds: 800, maximumResumes: resumeLimit, connectionFactory: this.network })
  }

  async read (signal = neverAborted, attemptId = 'mine'): Promise<ReadResult> {
    const reading = collect(this.client.generate(endpoint, { ...call, attemptId }, signal))
    const seen = reading.then(value => ({ value }))
    for (;;) {
      const tick = this.clock.advance(100).then(() => undefined)
      const outcome = await Promise.race([seen, tick])
      await tick
      if (outcome !== undefined) return outcome.value
    }
  }
}

async function collect (events: AsyncIterable<EngineEvent>): Promise<ReadResult> {
  const collected: EngineEvent[] = []
  for await (const event of events) collected.push(event)
  const text = collected.map(event => event.type === 'chunk' ? event.chunk.text : '').join('')
  return { text, last: collected.at(-1), events: collected }
}

/** Applies a fault to the chunk at `index`; all other chunks are delivered unchanged. */
function faultAtChunk (index: number, chunkFault: (text: string) => ChunkFault): ExchangeFault {
  return { faultForChunk: (text, chunkIndex) => chunkIndex === index ? chunkFault(text) : { deliveredChunks: [text] } }
}

function expectComplete (harness: EngineClientHarness, result: ReadResult): void {
  expect(result.text).toBe(harness.engine.expectedText('mine'))
  expect(result.last).toMatchObject({ type: 'finish', finish: { usage: { completionTokens: 12 } } })
}

test('without faults an answer is complete and takes one request', async () => {
  const harness = new EngineClientHarness()
  expectComplete(harness, await harness.read())
  expect(harness.requests).toHaveLength(1)
})

test('a stream whose connection breaks is resumed at its offset', async () => {
  const harness = new EngineClientHarness(12, [faultAtChunk(5, text => ({ deliveredChunks: [text], connectionFault: 'cut' }))])
  expectComplete(harness, await harness.read())
  expect(harness.requests.map(request => request.path)).toEqual(['/v1/chat/completions', '/v1/streams/mine?offset=6'])
})

test('a duplicated frame is delivered once', async () => {
  const harness = new EngineClientHarness(12, [faultAtChunk(4, text => ({ deliveredChunks: [text, text] }))])
  expectComplete(harness, await harness.read())
  expect(harness.requests).toHaveLength(1)
})

test('a frame of another attempt is never delivered', async () => {
  const harness = new EngineClientHarness(12, [faultAtChunk(4, text => ({ deliveredChunks: [formatTokenFrame('other', 4, 1, 'not mine'), text] }))])
  expectComplete(harness, await harness.read())
})

test('a finish frame of another attempt does not end this one', async () => {
  const harness = new EngineClientHarness(12, [faultAtChunk(4, () => ({ deliveredChunks: [formatFinishFrame('other', 4), 'data: [DONE]\n\n'] }))])
  expectComplete(harness, await harness.read())
})

test('a missing frame is fetched before any later frame is delivered', async () => {
  const harness = new EngineClientHarness(12, [faultAtChunk(4, () => ({ deliveredChunks: [] }))])
  expectComplete(harness, await harness.read())
  expect(harness.requests.at(-1)?.path).toBe('/v1/streams/mine?offset=4')
})

test('a finish frame before the last tokens does not complete the answer', async () => {
  const harness = new EngineClientHarness(12, [faultAtChunk(4, () => ({ deliveredChunks: [formatFinishFrame('mine', 12), 'data: [DONE]\n\n'] }))])
  expectComplete(harness, await harness.read())
})

test('an end marker without a finish frame does not complete the answer', async () => {
  const harness = new EngineClientHarness(12, [faultAtChunk(4, () => ({ deliveredChunks: ['data: [DONE]\n\n'] }))])
  expectComplete(harness, await harness.read())
})

test('a silent connection is replaced by a new one that resumes at the offset', async () => {
  const harness = new EngineClientHarness(12, [faultAtChunk(3, text => ({ deliveredChunks: [text], connectionFault: 'silent' }))])
  expectComplete(harness, await harness.read())
  expect(harness.requests.at(-1)?.path).toBe('/v1/streams/mine?offset=4')
})

test('a broken stream is not resumed over a pooled connection, which may be silent too', async () => {
  const harness = new EngineClientHarness(12, [faultAtChunk(5, text => {
    harness.network.silenceConnections(address)
    return { deliveredChunks: [text], connectionFault: 'cut' }
  })])
  expectComplete(harness, await harness.read())
  expect(harness.requests).toHaveLength(2)
})

test('a request that the HTTP library would start a second time is sent only once', async () => {
  const harness = new EngineClientHarness(12, [{ startsTwice: true }])
  expectComplete(harness, await harness.read())
  expect(harness.network.duplicateRequests).toBe(0)
})

test('a slow engine that sends heartbeats is not treated as a silent connection', async () => {
  const harness = new EngineClientHarness(12, [], 5_000)
  expectComplete(harness, await harness.read())
  expect(harness.requests).toHaveLength(1)
})

test('after a silent connection its pool gets no new requests', async () => {
  const harness = new EngineClientHarness(12)
  await harness.read(neverAborted, 'first')
  harness.network.silenceConnections(address)
  const result = await harness.read(neverAborted, 'second')
  expect(result.last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent } })
  expectComplete(harness, await harness.read())
})

test('a refused first connection is reported as not sent', async () => {
  const harness = new EngineClientHarness(12, [{ isRefused: true }])
  const result = await harness.read()
  expect(result.events).toMatchObject([{ type: 'failure', failure: { delivery: DeliveryState.NotSent } }])
  expect(harness.engine.runs).toHaveLength(0)
})

test('resumes without progress are bounded and end in a failure event', async () => {
  const harness = new EngineClientHarness(12, [faultAtChunk(3, text => ({ deliveredChunks: [text], connectionFault: 'cut' })), ...new Array<ExchangeFault>(20).fill({ isRefused: true })])
  const result = await harness.read()
  expect(result.last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent } })
  expect(harness.requests.filter(request => request.method === 'GET')).toHaveLength(resumeLimit)
})

test('a cancelled call ends with a failure and cancels the stream at the engine', async () => {
  const harness = new EngineClientHarness(100)
  const cancellation = new AbortController()
  harness.clock.sleep(200).then(() => cancellation.abort()).catch(() => undefined)
  const result = await harness.read(cancellation.signal)
  expect(result.last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent, reason: 'cancelled' } })
  await harness.clock.advance(100)
  expect(harness.engine.runs).toEqual([expect.objectContaining({ cancelled: true })])
})

test('a reader that stops early cancels the stream at the engine', async () => {
  const harness = new EngineClientHarness(100)
  const events = harness.client.generate(endpoint, call, neverAborted)[Symbol.asyncIterator]()
  const first = events.next()
  await harness.clock.advance(50)
  expect(await first).toMatchObject({ value: { type: 'chunk' } })
  await events.return?.()
  await harness.clock.advance(100)
  expect(harness.engine.runs).toEqual([expect.objectContaining({ cancelled: true })])
})

const passChunk = (text: string): ChunkFault => ({ deliveredChunks: [text] })
const chunkFaults: Readonly<Record<string, (text: string) => ChunkFault>> = {
  pass: passChunk,
  twice: text => ({ deliveredChunks: [text, text] }),
  drop: () => ({ deliveredChunks: [] }),
  split: text => ({ deliveredChunks: [text.slice(0, 9), text.slice(9)] }),
  crossed: text => ({ deliveredChunks: [text.replaceAll('"mine"', '"other"')] }),
  crossedThenOwn: text => ({ deliveredChunks: [text.replaceAll('"mine"', '"other"'), text] }),
  garbled: text => ({ deliveredChunks: [`${text.slice(0, 20)}\n\n`] }),
  early: () => ({ deliveredChunks: [formatFinishFrame('mine', 12), 'data: [DONE]\n\n'] }),
  stale: text => ({ deliveredChunks: [formatTokenFrame('mine', 0, 1, 'mine#0/ü '), text] }),
  cut: text => ({ deliveredChunks: [text], connectionFault: 'cut' }),
  cutInside: text => ({ deliveredChunks: [text.slice(0, text.length / 2)], connectionFault: 'cut' }),
  silent: text => ({ deliveredChunks: [text], connectionFault: 'silent' })
}
const exchangeFaultArbitrary = fc.record({
  isRefused: fc.constantFrom(false, false, false, true),
  isRequestLost: fc.constantFrom(false, false, false, true),
  connectMilliseconds: fc.constantFrom(0, 5, 300, 2_000),
  requestDelayMilliseconds: fc.constantFrom(0, 0, 50, 900),
  chunks: fc.dictionary(fc.integer({ min: 0, max: 14 }).map(String), fc.constantFrom(...Object.keys(chunkFaults)), { maxKeys: 4 })
}).map(({ chunks, ...connectionFaults }): ExchangeFault => ({
  ...connectionFaults,
  faultForChunk: (text, index) => (chunkFaults[chunks[index] ?? 'pass'] ?? passChunk)(text)
}))

test('under any connection faults the answer is exactly complete or marked as failed', async () => {
  const outcomes = { finish: 0, failure: 0 }
  await fc.assert(fc.asyncProperty(fc.array(exchangeFaultArbitrary, { maxLength: 8 }), async exchangeFaults => {
    const harness = new EngineClientHarness(12, exchangeFaults)
    const result = await harness.read()
    const completeText = harness.engine.expectedText('mine')
    const isFinish = result.last?.type === 'finish'
    outcomes[isFinish ? 'finish' : 'failure']++
    expect(result.events.slice(0, -1).every(event => event.type === 'chunk')).toBe(true)
    expect(result.last?.type).toBe(isFinish ? 'finish' : 'failure')
    expect(isFinish ? result.text === completeText : completeText.startsWith(result.text)).toBe(true)
    const isReportedNotSent = result.last?.type === 'failure' && result.last.failure.delivery === DeliveryState.NotSent
    await harness.clock.advance(5_000)
    if (isReportedNotSent) expect(harness.engine.runs).toHaveLength(0)
  }), { seed: 20, numRuns: 400 })
  expect(outcomes.finish).toBeGreaterThan(50)
  expect(outcomes.failure).toBeGreaterThan(50)
})

test('the answer is complete when the engine is reachable and the faults end', async () => {
  const chunkFaultsArbitrary = exchangeFaultArbitrary.map(({ faultForChunk }): ExchangeFault => faultForChunk === undefined ? {} : { faultForChunk })
  await fc.assert(fc.asyncProperty(fc.array(chunkFaultsArbitrary, { maxLength: resumeLimit }), async exchangeFaults => {
    const harness = new EngineClientHarness(12, exchangeFaults)
    expectComplete(harness, await harness.read())
  }), { seed: 21, numRuns: 200 })
})
