import { afterEach, beforeEach, expect, test } from 'vitest'
import type { EndpointStandIn } from '../platform/standin/index.ts'
import { ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

const fields = 'attempt-id: form\r\nauthorization: Bearer good-key\r\ndeadline-ms: 4000\r\n'
const host = 'host: desk.example\r\n'
const release = requestHead('/release/1', { id: 'release' })
const lookUp = requestHead('/balance/1', { id: 'look-up', method: 'GET' })
const connectHead = `CONNECT desk.example:80 HTTP/1.1\r\n${host}${fields}\r\n`

let harness: ForwarderHarness
let ledger: EndpointStandIn
let address: string
let caller: RawCaller
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  ledger = await harness.startEndpoint('ledger', { slots: 100 })
  harness.putConfiguration(1)
  address = await harness.startForwarder()
  await harness.waitUntilReady(address)
  caller = await RawCaller.connect(address)
})
afterEach(async () => {
  caller.close()
  await harness.close()
})

async function answersTo (text: string, count: number): Promise<readonly number[]> {
  caller.write(text)
  await Promise.race([caller.until(count), pause(2_000)])
  return caller.statuses
}

test.each([
  ['', 'http://desk.example/balance/1?as=of', '/balance/1?as=of'],
  [' of another host than its Host field', 'http://desk.example/balance/2', '/balance/2', 'host: other.example\r\n'],
  [' with a port and in capitals', 'HTTP://DESK.EXAMPLE:80/balance/3', '/balance/3']
])('a request in absolute form%s is served, and its endpoint gets the path alone', async (_kind, target, path, hostField = host) => {
  expect(await answersTo(`GET ${target} HTTP/1.1\r\n${hostField}${fields}\r\n`, 1)).toEqual([200])
  expect(ledger.received.map(request => request.path)).toEqual([path])
  expect(ledger.received[0]?.headers.host?.toLowerCase()).toMatch(/^desk\.example(:80)?$/)
})

test.each(['http://desk.example', 'http://desk.example?as=of', 'http://other.example/balance/1'])('a request for %s, which has no route, is refused as unknown', async target => {
  expect(await answersTo(`GET ${target} HTTP/1.1\r\n${host}${fields}\r\n`, 1)).toEqual([404])
})

test.each(['http://caller@desk.example/balance/1', 'http:///balance/1'])('a request for %s, which names no host, is refused as malformed', async target => {
  expect(await answersTo(`GET ${target} HTTP/1.1\r\n${host}${fields}\r\n`, 1)).toEqual([400])
})

test.each([['no Host field', ''], ['two Host fields', `${host}host: other.example\r\n`]])('a request with %s is refused, and the request behind it is answered', async (_kind, hostFields) => {
  expect(await answersTo(`GET /balance/1 HTTP/1.1\r\n${hostFields}${fields}\r\n${release}`, 2)).toEqual([400, 200])
  expect(ledger.received.map(({ path }) => path)).toEqual(['/release/1'])
})

test('CONNECT is refused, and the connection ends', async () => {
  expect(await answersTo(connectHead, 1)).toEqual([501])
  expect(caller.text).toMatch(/^connection: close\r$/im)
  await waitUntil(() => caller.state === ConnectionState.Ended)
})

test('CONNECT behind other requests is refused after their answers, also if they are long', async () => {
  const longAnswer = 'x'.repeat(4 * 1024 * 1024)
  ledger.handleWith(({ path }, response) => { response.end(path === '/release/1' ? longAnswer : 'done') })
  caller.pause()
  caller.write(lookUp + release + connectHead + release)
  await pause(300)
  caller.resume()
  await Promise.race([caller.until(3), pause(3_000)])
  expect(caller.responses.map(({ status, bodyLength }) => [status, bodyLength])).toEqual([[200, 4], [200, longAnswer.length], [501, 0]])
  expect(ledger.received).toHaveLength(2)
})

test.each([
  ['an upgrade', `GET /balance/1 HTTP/1.1\r\n${host}${fields}connection: upgrade, http2-settings\r\nupgrade: h2c\r\nhttp2-settings: AAM\r\n\r\n`, 200],
  ['TRACE', `TRACE /balance/1 HTTP/1.1\r\n${host}${fields}\r\n`, 200],
  ['OPTIONS *', `OPTIONS * HTTP/1.1\r\n${host}${fields}\r\n`, 404],
  ['an unknown expectation', `POST /release/2 HTTP/1.1\r\n${host}${fields}expect: wonder\r\ncontent-length: 2\r\n\r\nab`, 200],
  ['a folded field', `GET /balance/1 HTTP/1.1\r\n${host}${fields}x-note: one\r\n two\r\n\r\n`, 400],
  ['bare line feeds', `GET /balance/1 HTTP/1.1\r\n${host}${fields}\r\n`.replaceAll('\r\n', '\n'), 400],
  ['an unknown method', `WONDER /balance/1 HTTP/1.1\r\n${host}${fields}\r\n`, 400],
  ['HTTP/1.0 without keep-alive', `GET /balance/1 HTTP/1.0\r\n${host}${fields}\r\n`, 200]
])('a request with %s is answered behind another one', async (_kind, request, status) => {
  expect(await answersTo(release + request, 2)).toEqual([200, status])
  expect(ledger.received.flatMap(({ headers }) => Object.keys(headers))).not.toContain('upgrade')
})
