import { afterEach, beforeEach, expect, test } from 'vitest'
import type { EndpointHandler, EndpointStandIn } from '../platform/standin/index.ts'
import { SeededRandomness } from '../src/contract/index.ts'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

/** More seeds by hand: `LAVENDERDOOR_SEEDS=100-149 npx vitest run test/requestsAheadProperty.test.ts`. */
const [firstSeed = 1, lastSeed = firstSeed] = (process.env.LAVENDERDOOR_SEEDS ?? '1-2').split('-').map(Number)
const seeds = Array.from({ length: lastSeed - firstSeed + 1 }, (_, index) => firstSeed + index)
const requestCount = 16
const positions = Array.from({ length: requestCount }, (_, index) => index)
const streamHeaders = 'token-usage: 10,10\r\nprefix-hash: a1:10\r\n'
const largeBytes = 400_000
const quietMilliseconds = 300
const patienceMilliseconds = 6_000

interface Way {
  readonly path: string
  readonly timeoutMilliseconds?: number
  /** Whether the answer may be broken off. */
  readonly isCut?: true
  /** Replaces the text of a request with a head. */
  readonly write?: (head: string) => readonly string[]
}

/** The ways in which an answer can end; text that is written after a pause is a part of its own. */
const ways: Readonly<Record<string, Way>> = {
  whole: { path: '/release/whole' },
  deadline: { path: '/query/endless', timeoutMilliseconds: 300, isCut: true },
  enginesBreakOff: { path: '/query/broken', isCut: true },
  engineFallsSilent: { path: '/query/silent', timeoutMilliseconds: 1_200, isCut: true },
  refusedBeforeBody: { path: '/nowhere', write: head => [head.replace('length: 0', 'length: 4'), 'body'] },
  bodyTooLarge: { path: '/release/large', write: head => [head.replace('length: 0', 'length: 70000') + 'x'.repeat(40_000), 'x'.repeat(30_000)] },
  unframed: { path: '/balance/unframed', isCut: true },
  longBodyBreaksOff: { path: '/balance/long', isCut: true },
  callerReadsLate: { path: '/balance/unread' },
  malformedBehind: { path: '/release/last', write: head => [`${head}no request\r\n\r\n`] },
  headBreaksOff: { path: '/release/last', write: head => [head, head.slice(0, 30)] },
  tooManyAhead: { path: '/release/many', write: head => [head.repeat(80)] },
  inTinyPieces: { path: '/release/pieces', write: head => [head.replace('content-length: 0', 'transfer-encoding: chunked') + '1\r\nx\r\n'.repeat(1_100)] }
}
const wayNames = Object.keys(ways)

/** How an endpoint answers a way that is not whole. */
const handlers: Readonly<Record<string, EndpointHandler>> = {
  '/query/endless': async (_request, response) => {
    beginStream(response)
    for (let id = 1; !response.destroyed; id++) {
      response.write(formatEvent(id))
      await pause(40)
    }
  },
  '/query/broken': async (_request, response) => {
    beginStream(response).write(formatEvent(1))
    await pause(20)
    response.socket?.destroy()
  },
  '/query/silent': (_request, response) => { beginStream(response).write(formatEvent(1)) },
  '/balance/unframed': ({ headers }, { socket }) => {
    socket?.end(`HTTP/1.1 200 OK\r\nattempt-id: ${headers['attempt-id']}\r\nserver-seal: s\r\nconnection: close\r\n\r\nunframed`)
  },
  '/balance/long': async (_request, response) => {
    response.writeHead(200, { 'content-length': 2 * largeBytes }).write('x'.repeat(largeBytes))
    await pause(50)
    response.socket?.destroy()
  },
  '/balance/unread': (_request, response) => { response.end('x'.repeat(largeBytes)) }
}

function beginStream (response: Parameters<EndpointHandler>[1]): typeof response {
  return response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
}

let harness: ForwarderHarness
let endpoints: readonly EndpointStandIn[]
let host: string
let callers: RawCaller[]
beforeEach(async () => {
  callers = []
  harness = await ForwarderHarness.start()
  endpoints = [await harness.startEndpoint('ledger', { slots: 300 }), await harness.startEndpoint('engines', { slots: 300 })]
  for (const endpoint of endpoints) {
    endpoint.handleWith(async (request, response) => {
      const handler = handlers[request.path.split('?')[0]!]
      await pause(5)
      if (handler === undefined) response.end('done')
      else await handler(request, response)
    })
  }
  harness.putConfiguration(1)
  host = await harness.startForwarder()
  await harness.waitUntilReady(host)
})
afterEach(async () => {
  for (const caller of callers) caller.close()
  await harness.close()
})

/** Sends requests of some ways on one connection; returns those that were passed on to an endpoint and have no answer. */
async function lostOf (name: string, plan: readonly string[]): Promise<readonly string[]> {
  const caller = await RawCaller.connect(host)
  callers.push(caller)
  const idAt = (index: number) => `${name}-${index}`
  const texts = plan.map((way, index) => {
    const { path, timeoutMilliseconds, write = head => [head] } = ways[way]!
    return write(requestHead(`${path}?${idAt(index)}`, { id: idAt(index), timeoutMilliseconds, headers: path.startsWith('/query/') ? streamHeaders : '' }))
  })
  const isLate = plan.includes('callerReadsLate')
  if (isLate) caller.pause()
  for (const [first, ...later] of texts) {
    caller.write(first!)
    for (const text of later) {
      await pause(10)
      caller.write(text)
    }
  }
  if (isLate) await pause(quietMilliseconds)
  caller.resume()
  await untilQuiet(caller, plan.length)
  const runs = new Set(endpoints.flatMap(({ received }) => received.map(({ headers }) => headers['attempt-id'])))
  return plan.flatMap((way, index) => runs.has(idAt(index)) && ways[way]!.isCut !== true && caller.responses[index] === undefined ? [`${index} ${way}`] : [])
}

/** Waits for all answers, the end of the connection, or the time after which none is expected. */
async function untilQuiet (caller: RawCaller, count: number): Promise<void> {
  await Promise.race([caller.until(count), pause(patienceMilliseconds)])
  await pause(quietMilliseconds)
}

test.each(wayNames.filter(way => way !== 'whole'))('no request that was passed on is lost, wherever among sixteen sent ahead an answer ends so: %s', async way => {
  const lost = await Promise.all(positions.map(position => lostOf(`p${position}`, positions.map(index => index === position ? way : 'whole'))))
  expect(Object.fromEntries(lost.entries())).toEqual(Object.fromEntries(positions.map(position => [position, []])))
  expect(endpoints[0]!.received.length).toBeGreaterThan(requestCount)
}, 30_000)

test.each(seeds)('no request that was passed on is lost among answers that end in many ways (seed %d)', async seed => {
  const randomness = new SeededRandomness(seed)
  const plans = positions.map(() => positions.map(() => randomness.fraction() < 0.7 ? 'whole' : wayNames[randomness.integerBelow(wayNames.length)]!))
  const lost = await Promise.all(plans.map((plan, index) => lostOf(`s${index}`, plan)))
  expect(lost.flatMap((requests, index) => requests.map(request => `${index}: ${request} of ${plans[index]!.join()}`))).toEqual([])
}, 30_000)

test('no request that was passed on is lost in a planned stop, wherever among sixteen sent ahead it begins', async () => {
  endpoints[0]!.handleWith((_request, response) => { setTimeout(() => response.end('done'), 60) })
  const lost = positions.map(async position => {
    await pause(position * 50)
    return await lostOf(`stop-${position}`, positions.map(() => 'whole'))
  })
  await waitUntil(() => endpoints[0]!.received.length > 2 * requestCount)
  await harness.stopForwarder(host)
  expect((await Promise.all(lost)).flat()).toEqual([])
  expect(callers.filter(({ state }) => state === ConnectionState.Broken)).toEqual([])
}, 30_000)
