import fc from 'fast-check'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { decodeConfiguration, decodeEndpoint, decodeEvidence, decodeHandOver, decodeOrder, decodePins, decodeStatus } from '../platform/index.ts'
import { configurationDocument, endpointDocument } from '../platform/standin/index.ts'
import { SystemClock } from '../src/contract/index.ts'
import { Connections } from '../src/endpoint/index.ts'
import { ConnectionOutcome, connectionProbe } from '../src/httpClient/index.ts'
import { ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'

const deepText = `${'['.repeat(30_000)}${']'.repeat(30_000)}`
const hugeNumber = '1e999'
const requestCount = 60

/** Rows of another writer among those of the endpoints, by key; each names the service of sound endpoints. */
const oddRows: Readonly<Record<string, string>> = {
  'i-octet': JSON.stringify(endpointDocument('ledger', '10.0.0.300:8080')),
  'i-port': JSON.stringify(endpointDocument('ledger', '127.0.0.1:99999')),
  'i-port-just-over': JSON.stringify(endpointDocument('ledger', '127.0.0.1:65536')),
  'i-port-zero': JSON.stringify(endpointDocument('ledger', '127.0.0.1:0')),
  'i-no-address': JSON.stringify(endpointDocument('ledger', '')),
  'i-odd-é\nname': JSON.stringify(endpointDocument('ledger', '127.0.0.1:9')),
  'i-deep': JSON.stringify(endpointDocument('ledger', '127.0.0.1:99999')).replace('"seq_no":1', `"seq_no":1,"extra":${deepText}`),
  'i-deep-models': JSON.stringify(endpointDocument('ledger', '127.0.0.1:9')).replace('"llms":[]', `"llms":${deepText}`),
  'i-huge': JSON.stringify(endpointDocument('ledger', '127.0.0.1:99999')).replace('"born":1', `"born":${hugeNumber}`),
  'i-huge-slots': JSON.stringify(endpointDocument('ledger', '127.0.0.1:99999')).replace('"slots":6', `"slots":${hugeNumber}`),
  'i-prototype': '{"__proto__":{"backend":"ledger"}}',
  'i-array': '[]',
  'i-null': 'null',
  'i-text': 'no JSON'
}

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => { await harness.close() })

test('odd rows among the endpoints name no endpoint, and all requests reach the sound ones', async () => {
  const ledgers = [await harness.startEndpoint('ledger'), await harness.startEndpoint('ledger')]
  for (const [key, text] of Object.entries(oddRows)) harness.store.putText('servers', key, text)
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  const statuses = await Promise.all(Array.from({ length: requestCount }, async (_, index) => (await harness.call(host, index % 2 === 0 ? '/release/1' : '/balance/1')).status))
  expect(statuses).toEqual(statuses.map(() => 200))
  expect(ledgers.flatMap(({ received }) => received)).toHaveLength(requestCount)
})

test('a gateway goes on following the store after odd rows in each of its tables', async () => {
  const first = await harness.startEndpoint('ledger')
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  for (const text of [deepText, hugeNumber, `{"backend":"ledger","to":"v2","duration_s":${hugeNumber}}`, '{"backend":"ledger","to":"v2","duration_s":1e300}']) harness.store.putText('op', 'rollout/ledger', text)
  for (const text of [deepText, `{"state":"in_progress","to":"v2","started_at_ms":${hugeNumber}}`, '{"state":"in_progress","to":"v2","started_at_ms":-1e300}']) harness.store.putText('status', 'rollout/ledger', text)
  for (const prefix of ['evidence/ledger/other', 'pins/ledger/other', 'sessions/other']) {
    harness.store.putText('status', prefix, `{"service":"ledger","to":"v2","observer":"other","answers":1e300,"failures":-1e300,"slow":${hugeNumber},"sessions":${deepText}}`)
  }
  harness.store.putText('op', 'config', deepText)
  harness.putConfiguration(2, { routes: configurationDocument(2).routes.map(route => ({ ...route, prefix: route.prefix.replace('/balance/', '/account/') })) })
  await waitUntil(async () => (await harness.call(host, '/account/1')).status === 200)
  expect(first.received.length).toBeGreaterThan(0)
})

const document = fc.oneof(
  fc.json({ maxDepth: 6 }),
  fc.record({
    backend: fc.oneof(fc.constant('ledger'), fc.jsonValue()),
    address: fc.oneof(fc.tuple(fc.nat(999), fc.nat(999), fc.nat(999), fc.nat(999), fc.nat(99_999)).map(([a, b, c, d, port]) => `${a}.${b}.${c}.${d}:${port}`), fc.string()),
    zone: fc.constantFrom('coast-1', ''),
    version: fc.string(),
    state: fc.constantFrom('ready', 'draining', 'odd'),
    seq_no: fc.oneof(fc.double(), fc.jsonValue()),
    born: fc.oneof(fc.double(), fc.maxSafeNat()),
    slots: fc.jsonValue(),
    llms: fc.oneof(fc.constant([]), fc.jsonValue())
  }).map(value => JSON.stringify(value)),
  fc.string(),
  fc.nat(20_000).map(depth => '{"llms":'.repeat(depth))
)

test('whatever another writer leaves in a row, each decoder returns a value or a reason, and each endpoint can be sent to', () => {
  fc.assert(fc.property(document, fc.string(), (text, key) => {
    const bytes = Buffer.from(text)
    decodeConfiguration(bytes, new Set())
    for (const decode of [decodeOrder, decodeEvidence, decodePins, decodeHandOver]) decode(bytes)
    decodeStatus(key, bytes)
    const endpoint = decodeEndpoint(key, bytes, new Map())
    if (endpoint.err) return
    const { hostname, port } = new URL(`http://${endpoint.val.address}`)
    expect(`${hostname}:${port === '' ? '80' : port}`).toBe(endpoint.val.address)
    expect(endpoint.val.identity).toMatch(/^[\x21-\x7e]+$/)
  }), { numRuns: 3_000, seed: 39 })
})

test.each(['10.0.0.300:8080', '127.0.0.1:99999', 'no address'])('an attempt at %s, which the HTTP client rejects, fails as not sent', async address => {
  const connections = new Connections({ clock: new SystemClock(), connectTimeoutMilliseconds: 1_000 })
  const options = { clock: new SystemClock(), method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: 5_000, mayStillSend: () => true }
  for (const exchange of [connections.startDedicated(address, options), connections.startPooled(address, options)]) {
    expect((await exchange.next()).type).toBe('failure')
    expect(exchange.mayHaveSent).toBe(false)
  }
  expect(await connectionProbe(100, new SystemClock())(address)).toBe(ConnectionOutcome.Unanswered)
  await connections.close()
})

test.each([['token-usage', 'Infinity,1'], ['token-usage', '1e308,1e308'], ['token-usage', '1,2e9'], ['prefix-hash', `a1:${'9'.repeat(400)}`]])('a request whose %s is %s is refused, and leaves no endless load at an endpoint', async (name, value) => {
  const engine = await harness.startEndpoint('engines')
  engine.handleWith((_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    response.end('id: 1\ndata: a\n\n')
  })
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  const usual = { 'token-usage': '10,10', 'prefix-hash': 'a1:10' }
  expect((await harness.call(host, '/query/1', { headers: { ...usual, [name]: value } })).status).toBe(400)
  expect((await harness.call(host, '/query/2', { headers: usual })).status).toBe(200)
  expect(engine.received).toHaveLength(1)
})
