import { createServer } from 'node:http'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { type EndpointHandler, type EndpointStandIn, endpointDocument } from '../platform/standin/index.ts'
import { endWithoutFrame } from '../src/gateway/responseFraming.ts'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

const streamHeaders = 'token-usage: 10,10\r\nprefix-hash: a1:10\r\n'
const lastChunk = '0\r\n\r\n'
const eventCount = 4
const eventMilliseconds = 60
const longAnswerBytes = 400_000

let harness: ForwarderHarness
let caller: RawCaller | undefined
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => {
  caller?.close()
  await harness.close()
})

async function startReadyForwarder (): Promise<string> {
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  return host
}

function expectedEvents (count: number): string {
  return Array.from({ length: count }, (_, index) => formatEvent(index + 1)).join('')
}

/** Answers with neither a length nor chunks; the answer ends with its connection, as that of a killed process does. */
function unframed (parts: readonly string[], beforeEnd: () => void = () => undefined): EndpointHandler {
  return async ({ headers }, { socket }) => {
    socket?.write(`HTTP/1.1 200 OK\r\nattempt-id: ${headers['attempt-id']}\r\nserver-seal: s\r\nconfidence: 90\r\nconnection: close\r\n\r\n`)
    for (const part of parts) {
      socket?.write(part)
      await pause(eventMilliseconds)
    }
    beforeEnd()
    socket?.end()
  }
}

const unframedEvents = unframed(Array.from({ length: eventCount }, (_, index) => formatEvent(index + 1)))

/** Streams the rest of the events, with chunks. */
const resumedEvents: EndpointHandler = ({ headers }, response) => {
  response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
  for (let id = Number(headers['last-event-id'] ?? 0) + 1; id <= eventCount; id++) response.write(formatEvent(id))
  response.end()
}

async function callRaw (host: string, text: string): Promise<RawCaller> {
  caller = await RawCaller.connect(host)
  caller.write(text)
  return caller
}

async function untilClosed (open: RawCaller): Promise<void> {
  await waitUntil(() => open.state !== ConnectionState.Open)
}

test('the caller of a stream without a frame sees by its last chunk whether it is whole', async () => {
  const engine = await harness.startEndpoint('engines')
  engine.handleWith(unframedEvents)
  const host = await startReadyForwarder()
  const open = await callRaw(host, requestHead('/query/1', { id: 'a', headers: `${streamHeaders}connection: close\r\n` }))
  await waitUntil(() => open.text.includes(formatEvent(2)))
  expect(open.text).toMatch(/^transfer-encoding: chunked\r$/im)
  expect(open.text.endsWith(lastChunk)).toBe(false)
  await untilClosed(open)
  expect(open.text.endsWith(lastChunk)).toBe(true)
})

test('the caller of a long answer without a frame sees by its last chunk whether it is whole', async () => {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith(unframed(['x'.repeat(longAnswerBytes), 'y']))
  const host = await startReadyForwarder()
  const open = await callRaw(host, requestHead('/balance/1', { id: 'a', method: 'GET', headers: 'connection: close\r\n' }))
  await untilClosed(open)
  expect(open.text).toMatch(/^transfer-encoding: chunked\r$/im)
  expect(open.text.endsWith(lastChunk)).toBe(true)
})

test('the caller of a long answer with a length is told the length, by which it sees whether the answer is whole', async () => {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith((_request, response) => {
    response.writeHead(200, { 'content-length': longAnswerBytes })
    response.end('x'.repeat(longAnswerBytes))
  })
  const host = await startReadyForwarder()
  const open = await callRaw(host, requestHead('/balance/1', { id: 'a', method: 'GET' }))
  await open.until(1)
  expect(open.responses[0]?.bodyLength).toBe(longAnswerBytes)
})

test('a short answer without a frame, which its endpoint may have broken off, is not framed as complete', async () => {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith(unframed(['perhaps', ' half']))
  const host = await startReadyForwarder()
  const open = await callRaw(host, requestHead('/release/1', { id: 'a' }))
  await untilClosed(open)
  expect(open.text).toMatch(/^HTTP\/1.1 200 OK\r[^]*\r\n\r\nperhaps half$/)
  expect(open.text).not.toMatch(/^(content-length|transfer-encoding):/im)
})

test('a short answer without a frame leaves its gateway in one write, so that a killed gateway can not cut it', async () => {
  const writes: string[] = []
  const server = createServer((request, response) => {
    const { socket } = request
    const write = socket.write.bind(socket)
    const writev = (socket as unknown as { _writev: (parts: { chunk: Buffer }[], done: () => void) => void })._writev.bind(socket)
    Object.assign(socket, { _writev: (parts: { chunk: Buffer }[], done: () => void) => { writes.push('one'); writev(parts, done) } })
    socket.write = ((part: string | Buffer, ...rest: never[]) => {
      if (socket.writableCorked === 0) writes.push('one')
      return write(part, ...rest)
    }) as typeof socket.write
    endWithoutFrame(response, 200, { 'server-seal': 's' }, Buffer.from('whole'))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  const body = await fetch(`http://127.0.0.1:${port}/`).then(response => response.text())
  server.close()
  expect(body).toBe('whole')
  expect(writes).toHaveLength(1)
})

test.each([
  ['a stream', '/query/1', 'engines', resumedEvents],
  ['a stream without a frame', '/query/1', 'engines', unframedEvents],
  ['a long answer without a frame', '/balance/1', 'ledger', unframed(['x'.repeat(longAnswerBytes), 'y'])]
] as const)('an HTTP/1.0 caller, which can read no chunks, gets %s with a length', async (_name, path, service, handler) => {
  const endpoint = await harness.startEndpoint(service)
  endpoint.handleWith(handler)
  const host = await startReadyForwarder()
  const open = await callRaw(host, requestHead(path, { id: 'a', headers: streamHeaders }).replace('HTTP/1.1', 'HTTP/1.0'))
  await untilClosed(open)
  expect(open.responses).toHaveLength(1)
  expect(open.responses[0]?.bodyLength).toBeGreaterThan(0)
  expect(open.text).not.toMatch(/^transfer-encoding:/im)
})

test('a stream without a frame that ends because its engine was killed goes on at another engine', async () => {
  const engines = [await harness.startEndpoint('engines'), await harness.startEndpoint('engines')]
  let runs = 0
  for (const engine of engines) engine.handleWith((request, response) => (runs++ === 0 ? unframed([formatEvent(1), formatEvent(2)], () => engine.stopListening()) : resumedEvents)(request, response))
  const host = await startReadyForwarder()
  const response = await harness.call(host, '/query/1', { headers: { 'token-usage': '10,10', 'prefix-hash': 'a1:10' } })
  expect(response).toMatchObject({ status: 200, body: expectedEvents(eventCount), isComplete: true })
})

test('an answer without a frame is not passed on as whole when its endpoint was killed', async () => {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith(unframed(['perhaps half'], () => ledger.stopListening()))
  const host = await startReadyForwarder()
  expect((await harness.call(host, '/release/1')).status).toBe(502)
})

test('an answer without a frame is whole although its endpoint, which leaves as planned, accepts no more connections', async () => {
  const ledger: EndpointStandIn = await harness.startEndpoint('ledger')
  ledger.handleWith(unframed(['do', 'ne', ''], () => ledger.stopListening()))
  const host = await startReadyForwarder()
  const response = harness.call(host, '/release/1')
  await waitUntil(() => ledger.received.length === 1)
  harness.store.put('servers', ledger.identity, endpointDocument('ledger', ledger.address, { state: 'draining' }))
  expect(await response).toMatchObject({ status: 200, body: 'done', isComplete: true })
})
