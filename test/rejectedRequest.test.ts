import { afterEach, beforeEach, expect, test } from 'vitest'
import { type EndpointHandler, configurationDocument } from '../platform/standin/index.ts'
import { isRequestAtFault } from '../src/gateway/index.ts'
import { ForwarderHarness, formatEvent } from './fakes/forwarderWorld.ts'

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => await harness.close())

const headers = { 'token-usage': '600,100', 'deadline-ms': '2000' }
const rejectedCalls = 12

/** An engine without the model that some callers name. */
const serveOthers: EndpointHandler = (request, response) => {
  const isServed = request.headers.model !== 'none'
  response.writeHead(isServed ? 200 : 421, { 'content-type': 'text/event-stream', confidence: 90 })
  response.end(isServed ? formatEvent(1) : '')
}

test.each([
  ['that no endpoint has', { llms: [] }],
  ['that the route does not allow', { llms: [{ name: 'small' }, { name: 'none' }] }]
])('a caller who names a model %s reaches two endpoints with each request, and takes none of them from the others', async (_name, row) => {
  const engines = await Promise.all([1, 2, 3, 4].map(() => harness.startEndpoint('engines', row)))
  for (const engine of engines) engine.handleWith(serveOthers)
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  const call = (model: string) => harness.call(host, '/query/1', { headers: { ...headers, model } })
  for (let index = 0; index < rejectedCalls; index++) {
    const { status, body } = await call('none')
    expect(`${status} ${body}`).toBe('503 {"error":"no_endpoint"}')
  }
  const arrivals = engines.map(({ received }) => received.length)
  expect(arrivals.reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual(2 * rejectedCalls)
  for (let index = 0; index < 60; index++) expect((await call('small')).status).toBe(200)
  for (const [index, { received }] of engines.entries()) expect(received.length).toBeGreaterThan(arrivals[index]!)
}, 30_000)

const sizes = ['small', 'large']
test.each([
  ['a request without a model', undefined, undefined, [], [], false],
  ['a model that the gateway chose', '*', 'small', sizes, [], false],
  ['any model where the route has none to choose from', '*', undefined, [], ['small'], true],
  ['a named model that the endpoint lists', 'small', 'small', [], ['small'], false],
  ['a named model that the endpoint does not list', 'small', 'small', [], ['large'], true],
  ['a named model at an endpoint that lists none', 'small', 'small', [], [], true],
  ['a named model of the route', 'small', 'small', sizes, ['small'], false],
  ['a named model that is not of the route', 'tiny', 'tiny', sizes, ['tiny'], true],
  ['a model that a plain request passes on', 'small', undefined, [], [], true],
  ['an empty name', '', '', [], [], true]
])('a rejection of %s is laid to the request only if it may be', (_name, named, model, modelSizes, models, isExpected) => {
  const rejected = { head: { model: named, acceptsAnyModel: named === '*' }, route: { modelSizes }, endpoint: { identity: 'i-1', models }, model, hasJustAnswered: false }
  expect(isRequestAtFault({ ...rejected, response: {} })).toBe(isExpected)
  expect(isRequestAtFault({ ...rejected, response: {}, hasJustAnswered: true })).toBe(true)
  expect(isRequestAtFault({ ...rejected, response: { responder: 'i-1' } })).toBe(true)
  expect(isRequestAtFault({ ...rejected, response: { responder: 'i-2' }, hasJustAnswered: true })).toBe(false)
})

test.each([
  ['fields', (index: number) => `f${index.toString(36)}`],
  ['fields named by numbers', String]
])('a caller whose %s are more than an endpoint reads neither hides from it which endpoint is meant nor takes it from the others', async (_name, fieldName) => {
  const endpoint = await harness.startEndpoint('ledger')
  harness.putConfiguration(1, { limits: { ...configurationDocument(1).limits, max_header_bytes: 64_000 } })
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  const manyFields = Object.fromEntries(Array.from({ length: 2_100 }, (_, index) => [fieldName(index), '']))
  expect((await harness.call(host, '/release/1', { body: 'x', headers: manyFields })).status).toBe(200)
  expect((await harness.call(host, '/release/2')).status).toBe(200)
  expect(endpoint.received.length).toBe(2)
}, 30_000)

test('a caller who makes a busy endpoint answer 421 takes it from nobody, at no gateway', async () => {
  const endpoint = await harness.startEndpoint('ledger')
  endpoint.handleWith((request, response) => { response.writeHead(request.headers.odd === undefined ? 200 : 421).end() })
  harness.putConfiguration(1)
  const first = await harness.startForwarder()
  const second = await harness.startForwarder({ seeds: [`${first}:8229`] })
  for (const host of [first, second]) await harness.waitUntilReady(host)
  for (let round = 0; round < 20; round++) {
    expect((await harness.call(first, '/balance/1')).status).toBe(200)
    expect((await harness.call(second, '/balance/1')).status).toBe(200)
    expect((await harness.call(second, '/balance/1', { headers: { odd: '1' } })).status).toBe(503)
  }
}, 30_000)
