/** "The whole answer to its own request": the engine client over a network that fails in every way. */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type EndpointDescription, Priority } from '../src/contract/index.ts'
import { type EngineCall, type EngineEvent, HttpEngineClient, DeliveryState } from '../src/endpoint/index.ts'
import { FakeEngineServer, finishOf, frameOf } from './fakes/fakeEngineServer.ts'
import { type ExchangeFate, FakeNetwork, type NetworkRequest, type PieceFate } from './fakes/fakeNetwork.ts'
import { ManualClock } from './fakes/manualClock.ts'

const address = '127.0.0.1:1'
const endpoint: EndpointDescription = { name: 'e', kind: 'engine', address, place: { region: 'r', dataCentre: 'd' }, versions: ['small@1'], service: undefined, checksFencing: true }
const call: EngineCall = { attemptId: 'mine', version: 'small@1', messages: [], maximumTokens: 100, priority: Priority.Normal, prefixKey: 'p', traceParent: undefined }
const resumeLimit = 4
const never = new AbortController().signal

interface Seen {
  readonly text: string
  readonly last: EngineEvent | undefined
  readonly events: readonly EngineEvent[]
}

class Bench {
  readonly clock = new ManualClock()
  readonly network = new FakeNetwork(this.clock)
  readonly engine: FakeEngineServer
  readonly client: HttpEngineClient
  readonly requests: NetworkRequest[] = []

  constructor (tokens = 12, fates: readonly ExchangeFate[] = [], before = 0) {
    this.engine = new FakeEngineServer(this.clock, { tokens, betweenTokens: 10, before })
    this.network.serve(address, this.engine)
    this.network.script = (_address, request) => {
      this.requests.push(request)
      if (request.method === 'DELETE') return {}
      return fates[this.requests.filter(sent => sent.method !== 'DELETE').length - 1] ?? {}
    }
    this.client = new HttpEngineClient({ clock: this.clock, connectTimeoutMilliseconds: 500, inactivityTimeoutMilliseconds: 800, maximumResumes: resumeLimit, connectionFactory: this.network })
  }

  async read (signal = never, attemptId = 'mine'): Promise<Seen> {
    const reading = take(this.client.generate(endpoint, { ...call, attemptId }, signal))
    const seen = reading.then(value => ({ value }))
    for (;;) {
      const step = this.clock.advance(100).then(() => undefined)
      const over = await Promise.race([seen, step])
      await step
      if (over !== undefined) return over.value
    }
  }
}

async function take (events: AsyncIterable<EngineEvent>): Promise<Seen> {
  const seen: EngineEvent[] = []
  for await (const event of events) seen.push(event)
  const text = seen.map(event => event.type === 'chunk' ? event.chunk.text : '').join('')
  return { text, last: seen.at(-1), events: seen }
}

/** A fate for the pieces from `index` on; those before pass. */
function at (index: number, fate: (text: string) => PieceFate): ExchangeFate {
  return { piece: (text, number) => number === index ? fate(text) : { arrive: [text] } }
}

function expectWhole (bench: Bench, seen: Seen): void {
  expect(seen.text).toBe(bench.engine.textOf('mine'))
  expect(seen.last).toMatchObject({ type: 'finish', finish: { usage: { completionTokens: 12 } } })
}

test('an answer without faults is whole and uses one connection', async () => {
  const bench = new Bench()
  expectWhole(bench, await bench.read())
  expect(bench.requests).toHaveLength(1)
})

test('a stream that is cut in the middle is resumed at its offset', async () => {
  const bench = new Bench(12, [at(5, text => ({ arrive: [text], then: 'cut' }))])
  expectWhole(bench, await bench.read())
  expect(bench.requests.map(request => request.path)).toEqual(['/v1/chat/completions', '/v1/streams/mine?offset=6'])
})

test('a frame that comes twice is passed on once', async () => {
  const bench = new Bench(12, [at(4, text => ({ arrive: [text, text] }))])
  expectWhole(bench, await bench.read())
  expect(bench.requests).toHaveLength(1)
})

test('a frame of another attempt is never passed on', async () => {
  const bench = new Bench(12, [at(4, text => ({ arrive: [frameOf('other', 4, 1, 'not mine'), text] }))])
  expectWhole(bench, await bench.read())
})

test('the finish of another attempt does not end this one', async () => {
  const bench = new Bench(12, [at(4, () => ({ arrive: [finishOf('other', 4), 'data: [DONE]\n\n'] }))])
  expectWhole(bench, await bench.read())
})

test('a missing frame is fetched before anything after it is passed on', async () => {
  const bench = new Bench(12, [at(4, () => ({ arrive: [] }))])
  expectWhole(bench, await bench.read())
  expect(bench.requests.at(-1)?.path).toBe('/v1/streams/mine?offset=4')
})

test('a finish that comes before the last tokens does not make the answer whole', async () => {
  const bench = new Bench(12, [at(4, () => ({ arrive: [finishOf('mine', 12), 'data: [DONE]\n\n'] }))])
  expectWhole(bench, await bench.read())
})

test('an end mark without a finish does not make the answer whole', async () => {
  const bench = new Bench(12, [at(4, () => ({ arrive: ['data: [DONE]\n\n'] }))])
  expectWhole(bench, await bench.read())
})

test('a silent connection is left for a new one that resumes at the offset', async () => {
  const bench = new Bench(12, [at(3, text => ({ arrive: [text], then: 'silent' }))])
  expectWhole(bench, await bench.read())
  expect(bench.requests.at(-1)?.path).toBe('/v1/streams/mine?offset=4')
})

test('a stream that is cut is not taken up over a pooled connection, which may be silent too', async () => {
  const bench = new Bench(12, [at(5, text => {
    bench.network.silence(address)
    return { arrive: [text], then: 'cut' }
  })])
  expectWhole(bench, await bench.read())
  expect(bench.requests).toHaveLength(2)
})

test('a request that the HTTP library would start a second time leaves only once', async () => {
  const bench = new Bench(12, [{ startsTwice: true }])
  expectWhole(bench, await bench.read())
  expect(bench.network.secondCopies).toBe(0)
})

test('a quiet engine that sends heartbeats is not taken for a silent connection', async () => {
  const bench = new Bench(12, [], 5_000)
  expectWhole(bench, await bench.read())
  expect(bench.requests).toHaveLength(1)
})

test('after a silent connection nothing new is put on the pool that it came from', async () => {
  const bench = new Bench(12)
  await bench.read(never, 'first')
  bench.network.silence(address)
  const lost = await bench.read(never, 'second')
  expect(lost.last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent } })
  expectWhole(bench, await bench.read())
})

test('a connection that is refused at first never reached the engine', async () => {
  const bench = new Bench(12, [{ refused: true }])
  const seen = await bench.read()
  expect(seen.events).toMatchObject([{ type: 'failure', failure: { delivery: DeliveryState.NotSent } }])
  expect(bench.engine.runs).toHaveLength(0)
})

test('resumes without progress are bounded, and the end is a marked failure', async () => {
  const bench = new Bench(12, [at(3, text => ({ arrive: [text], then: 'cut' })), ...new Array<ExchangeFate>(20).fill({ refused: true })])
  const seen = await bench.read()
  expect(seen.last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent } })
  expect(bench.requests.filter(request => request.method === 'GET')).toHaveLength(resumeLimit)
})

test('a call that is cancelled ends with a failure and cancels the stream at the engine', async () => {
  const bench = new Bench(100)
  const cancelling = new AbortController()
  bench.clock.sleep(200).then(() => cancelling.abort()).catch(() => undefined)
  const seen = await bench.read(cancelling.signal)
  expect(seen.last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent, reason: 'cancelled' } })
  await bench.clock.advance(100)
  expect(bench.engine.runs).toEqual([expect.objectContaining({ cancelled: true })])
})

test('a reader that leaves early cancels the stream at the engine', async () => {
  const bench = new Bench(100)
  const events = bench.client.generate(endpoint, call, never)[Symbol.asyncIterator]()
  const first = events.next()
  await bench.clock.advance(50)
  expect(await first).toMatchObject({ value: { type: 'chunk' } })
  await events.return?.()
  await bench.clock.advance(100)
  expect(bench.engine.runs).toEqual([expect.objectContaining({ cancelled: true })])
})

const passed = (text: string): PieceFate => ({ arrive: [text] })
const pieceFates: Readonly<Record<string, (text: string) => PieceFate>> = {
  pass: passed,
  twice: text => ({ arrive: [text, text] }),
  drop: () => ({ arrive: [] }),
  split: text => ({ arrive: [text.slice(0, 9), text.slice(9)] }),
  crossed: text => ({ arrive: [text.replaceAll('"mine"', '"other"')] }),
  crossedThenOwn: text => ({ arrive: [text.replaceAll('"mine"', '"other"'), text] }),
  garbled: text => ({ arrive: [`${text.slice(0, 20)}\n\n`] }),
  early: () => ({ arrive: [finishOf('mine', 12), 'data: [DONE]\n\n'] }),
  stale: text => ({ arrive: [frameOf('mine', 0, 1, 'mine#0/ü '), text] }),
  cut: text => ({ arrive: [text], then: 'cut' }),
  cutInside: text => ({ arrive: [text.slice(0, text.length / 2)], then: 'cut' }),
  silent: text => ({ arrive: [text], then: 'silent' })
}
const exchangeFate = fc.record({
  refused: fc.constantFrom(false, false, false, true),
  requestLost: fc.constantFrom(false, false, false, true),
  connect: fc.constantFrom(0, 5, 300, 2_000),
  late: fc.constantFrom(0, 0, 50, 900),
  pieces: fc.dictionary(fc.integer({ min: 0, max: 14 }).map(String), fc.constantFrom(...Object.keys(pieceFates)), { maxKeys: 4 })
}).map(({ pieces, ...fate }): ExchangeFate => ({
  ...fate,
  piece: (text, index) => (pieceFates[pieces[index] ?? 'pass'] ?? passed)(text)
}))

test('whatever befalls the connections, the answer is exactly whole or marked as failed', async () => {
  const outcomes = { finish: 0, failure: 0 }
  await fc.assert(fc.asyncProperty(fc.array(exchangeFate, { maxLength: 8 }), async fates => {
    const bench = new Bench(12, fates)
    const seen = await bench.read()
    const whole = bench.engine.textOf('mine')
    const isFinish = seen.last?.type === 'finish'
    outcomes[isFinish ? 'finish' : 'failure']++
    expect(seen.events.slice(0, -1).every(event => event.type === 'chunk')).toBe(true)
    expect(seen.last?.type).toBe(isFinish ? 'finish' : 'failure')
    expect(isFinish ? seen.text === whole : whole.startsWith(seen.text)).toBe(true)
    const saysNever = seen.last?.type === 'failure' && seen.last.failure.delivery === DeliveryState.NotSent
    await bench.clock.advance(5_000)
    if (saysNever) expect(bench.engine.runs).toHaveLength(0)
  }), { seed: 20, numRuns: 400 })
  expect(outcomes.finish).toBeGreaterThan(50)
  expect(outcomes.failure).toBeGreaterThan(50)
})

test('while the engine can be reached and the faults end, the answer is whole', async () => {
  const faulty = exchangeFate.map(({ piece }): ExchangeFate => piece === undefined ? {} : { piece })
  await fc.assert(fc.asyncProperty(fc.array(faulty, { maxLength: resumeLimit }), async fates => {
    const bench = new Bench(12, fates)
    expectWhole(bench, await bench.read())
  }), { seed: 21, numRuns: 200 })
})
