/** "The whole answer to its own request": the engine client over a network that fails in every way. */
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

  constructor (tokens = 12, fates: readonly ExchangeFault[] = [], firstTokenDelayMilliseconds = 0) {
    this.engine = new FakeEngineServer(this.clock, { tokenCount: tokens, tokenIntervalMilliseconds: 10, firstTokenDelayMilliseconds })
    this.network.serve(address, this.engine)
    this.network.script = (_address, request) => {
      this.requests.push(request)
      if (request.method === 'DELETE') return {}
      return fates[this.requests.filter(sent => sent.method !== 'DELETE').length - 1] ?? {}
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

/** A fate for the pieces from `index` on; those before pass. */
function faultAtPiece (index: number, fate: (text: string) => ChunkFault): ExchangeFault {
  return { faultForChunk: (text, number) => number === index ? fate(text) : { deliveredChunks: [text] } }
}

function expectComplete (harness: EngineClientHarness, result: ReadResult): void {
  expect(result.text).toBe(harness.engine.expectedText('mine'))
  expect(result.last).toMatchObject({ type: 'finish', finish: { usage: { completionTokens: 12 } } })
}

test('an answer without faults is whole and uses one connection', async () => {
  const harness = new EngineClientHarness()
  expectComplete(harness, await harness.read())
  expect(harness.requests).toHaveLength(1)
})

test('a stream that is cut in the middle is resumed at its offset', async () => {
  const harness = new EngineClientHarness(12, [faultAtPiece(5, text => ({ deliveredChunks: [text], connectionFault: 'cut' }))])
  expectComplete(harness, await harness.read())
  expect(harness.requests.map(request => request.path)).toEqual(['/v1/chat/completions', '/v1/streams/mine?offset=6'])
})

test('a frame that comes twice is passed on once', async () => {
  const harness = new EngineClientHarness(12, [faultAtPiece(4, text => ({ deliveredChunks: [text, text] }))])
  expectComplete(harness, await harness.read())
  expect(harness.requests).toHaveLength(1)
})

test('a frame of another attempt is never passed on', async () => {
  const harness = new EngineClientHarness(12, [faultAtPiece(4, text => ({ deliveredChunks: [formatTokenFrame('other', 4, 1, 'not mine'), text] }))])
  expectComplete(harness, await harness.read())
})

test('the finish of another attempt does not end this one', async () => {
  const harness = new EngineClientHarness(12, [faultAtPiece(4, () => ({ deliveredChunks: [formatFinishFrame('other', 4), 'data: [DONE]\n\n'] }))])
  expectComplete(harness, await harness.read())
})

test('a missing frame is fetched before anything after it is passed on', async () => {
  const harness = new EngineClientHarness(12, [faultAtPiece(4, () => ({ deliveredChunks: [] }))])
  expectComplete(harness, await harness.read())
  expect(harness.requests.at(-1)?.path).toBe('/v1/streams/mine?offset=4')
})

test('a finish that comes before the last tokens does not make the answer whole', async () => {
  const harness = new EngineClientHarness(12, [faultAtPiece(4, () => ({ deliveredChunks: [formatFinishFrame('mine', 12), 'data: [DONE]\n\n'] }))])
  expectComplete(harness, await harness.read())
})

test('an end mark without a finish does not make the answer whole', async () => {
  const harness = new EngineClientHarness(12, [faultAtPiece(4, () => ({ deliveredChunks: ['data: [DONE]\n\n'] }))])
  expectComplete(harness, await harness.read())
})

test('a silent connection is left for a new one that resumes at the offset', async () => {
  const harness = new EngineClientHarness(12, [faultAtPiece(3, text => ({ deliveredChunks: [text], connectionFault: 'silent' }))])
  expectComplete(harness, await harness.read())
  expect(harness.requests.at(-1)?.path).toBe('/v1/streams/mine?offset=4')
})

test('a stream that is cut is not taken up over a pooled connection, which may be silent too', async () => {
  const harness = new EngineClientHarness(12, [faultAtPiece(5, text => {
    harness.network.silenceConnections(address)
    return { deliveredChunks: [text], connectionFault: 'cut' }
  })])
  expectComplete(harness, await harness.read())
  expect(harness.requests).toHaveLength(2)
})

test('a request that the HTTP library would start a second time leaves only once', async () => {
  const harness = new EngineClientHarness(12, [{ startsTwice: true }])
  expectComplete(harness, await harness.read())
  expect(harness.network.duplicateRequests).toBe(0)
})

test('a quiet engine that sends heartbeats is not taken for a silent connection', async () => {
  const harness = new EngineClientHarness(12, [], 5_000)
  expectComplete(harness, await harness.read())
  expect(harness.requests).toHaveLength(1)
})

test('after a silent connection nothing new is put on the pool that it came from', async () => {
  const harness = new EngineClientHarness(12)
  await harness.read(neverAborted, 'first')
  harness.network.silenceConnections(address)
  const result = await harness.read(neverAborted, 'second')
  expect(result.last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent } })
  expectComplete(harness, await harness.read())
})

test('a connection that is refused at first never reached the engine', async () => {
  const harness = new EngineClientHarness(12, [{ isRefused: true }])
  const result = await harness.read()
  expect(result.events).toMatchObject([{ type: 'failure', failure: { delivery: DeliveryState.NotSent } }])
  expect(harness.engine.runs).toHaveLength(0)
})

test('resumes without progress are bounded, and the end is a marked failure', async () => {
  const harness = new EngineClientHarness(12, [faultAtPiece(3, text => ({ deliveredChunks: [text], connectionFault: 'cut' })), ...new Array<ExchangeFault>(20).fill({ isRefused: true })])
  const result = await harness.read()
  expect(result.last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent } })
  expect(harness.requests.filter(request => request.method === 'GET')).toHaveLength(resumeLimit)
})

test('a call that is cancelled ends with a failure and cancels the stream at the engine', async () => {
  const harness = new EngineClientHarness(100)
  const cancellation = new AbortController()
  harness.clock.sleep(200).then(() => cancellation.abort()).catch(() => undefined)
  const result = await harness.read(cancellation.signal)
  expect(result.last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent, reason: 'cancelled' } })
  await harness.clock.advance(100)
  expect(harness.engine.runs).toEqual([expect.objectContaining({ cancelled: true })])
})

test('a reader that leaves early cancels the stream at the engine', async () => {
  const harness = new EngineClientHarness(100)
  const events = harness.client.generate(endpoint, call, neverAborted)[Symbol.asyncIterator]()
  const first = events.next()
  await harness.clock.advance(50)
  expect(await first).toMatchObject({ value: { type: 'chunk' } })
  await events.return?.()
  await harness.clock.advance(100)
  expect(harness.engine.runs).toEqual([expect.objectContaining({ cancelled: true })])
})

const passPiece = (text: string): ChunkFault => ({ deliveredChunks: [text] })
const pieceFates: Readonly<Record<string, (text: string) => ChunkFault>> = {
  pass: passPiece,
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
const exchangeFateArbitrary = fc.record({
  isRefused: fc.constantFrom(false, false, false, true),
  isRequestLost: fc.constantFrom(false, false, false, true),
  connectMilliseconds: fc.constantFrom(0, 5, 300, 2_000),
  requestDelayMilliseconds: fc.constantFrom(0, 0, 50, 900),
  pieces: fc.dictionary(fc.integer({ min: 0, max: 14 }).map(String), fc.constantFrom(...Object.keys(pieceFates)), { maxKeys: 4 })
}).map(({ pieces, ...fate }): ExchangeFault => ({
  ...fate,
  faultForChunk: (text, index) => (pieceFates[pieces[index] ?? 'pass'] ?? passPiece)(text)
}))

test('whatever befalls the connections, the answer is exactly whole or marked as failed', async () => {
  const outcomes = { finish: 0, failure: 0 }
  await fc.assert(fc.asyncProperty(fc.array(exchangeFateArbitrary, { maxLength: 8 }), async fates => {
    const harness = new EngineClientHarness(12, fates)
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

test('while the engine can be reached and the faults end, the answer is whole', async () => {
  const faultyPiecesArbitrary = exchangeFateArbitrary.map(({ faultForChunk: piece }): ExchangeFault => piece === undefined ? {} : { faultForChunk: piece })
  await fc.assert(fc.asyncProperty(fc.array(faultyPiecesArbitrary, { maxLength: resumeLimit }), async fates => {
    const harness = new EngineClientHarness(12, fates)
    expectComplete(harness, await harness.read())
  }), { seed: 21, numRuns: 200 })
})
