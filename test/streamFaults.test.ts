import { type Server, type Socket, createServer } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { type EndpointHandler, configurationDocument, endpointDocument } from '../platform/standin/index.ts'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

const streamHeaders = 'token-usage: 10,10\r\nprefix-hash: a1:10\r\n'
const lastChunk = '0\r\n\r\n'
const errorText = 'this is the text of an error'
const resumableRoute = { name: 'query', hostname: 'desk.example', prefix: '/query/', route_type: 'streaming', timeout_ms: 4_000, target_latency_ms: 400, target_gap_ms: 400, priority: 1, max_attempts: 3, resumable: true, public: false, backend: 'ledger' }
const routes = [resumableRoute, { ...resumableRoute, name: 'draft', prefix: '/draft/', resumable: false }]

let harness: ForwarderHarness
let server: Server | undefined
let caller: RawCaller | undefined
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => {
  caller?.close()
  server?.close()
  await harness.close()
})

async function startReadyForwarder (): Promise<string> {
  harness.putConfiguration(1, { routes, backends: configurationDocument(1).backends })
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  return host
}

/** Ways in which a stream that has begun breaks off. */
const breaks: Readonly<Record<string, (socket: Socket) => void>> = {
  'a reset': socket => socket.resetAndDestroy(),
  'an end in order': socket => socket.end(),
  'an end inside an event': socket => socket.end('id: 3\nda')
}

/** How the next endpoint tells of its failure. */
const failures: Readonly<Record<string, EndpointHandler>> = {
  'an error with a length': (_request, response) => { response.writeHead(500, { 'content-length': errorText.length }).end(errorText) },
  'an error with chunks': (_request, response) => {
    response.writeHead(500).write(errorText)
    response.end()
  },
  'an error without a frame': ({ headers }, { socket }) => { socket?.end(`HTTP/1.1 500 Failed\r\nattempt-id: ${headers['attempt-id']}\r\nserver-seal: s\r\nconnection: close\r\n\r\n${errorText}`) },
  'a refusal': (_request, response) => { response.writeHead(503, { 'not-executed': '1' }).end(errorText) },
  'a failure that promises': (_request, response) => { response.writeHead(503).end(errorText) },
  'a client error': (_request, response) => { response.writeHead(404).end(errorText) },
  'a success that is no stream': (_request, response) => { response.writeHead(202).end(errorText) },
  'a success without a seal': (_request, response) => {
    response.removeHeader('server-seal')
    response.writeHead(200).end(formatEvent(3))
  }
}

/** Writes the start of a stream, with chunks or without a frame, which then breaks off. */
function brokenStream (isFramed: boolean, breakOff: (socket: Socket) => void): EndpointHandler {
  return async ({ headers }, { socket }) => {
    const events = formatEvent(1) + formatEvent(2)
    const frame = isFramed ? 'transfer-encoding: chunked' : 'connection: close'
    socket?.write(`HTTP/1.1 200 OK\r\nattempt-id: ${headers['attempt-id']}\r\nserver-seal: s\r\nconfidence: 90\r\n${frame}\r\n\r\n`)
    socket?.write(isFramed ? `${events.length.toString(16)}\r\n${events}\r\n` : events)
    await pause(60)
    if (socket !== null) breakOff(socket)
  }
}

const cases = Object.keys(breaks).flatMap(breakName => Object.keys(failures).flatMap(failureName => [true, false].map(isFramed => ({ breakName, failureName, isFramed }))))
  // Without a frame an end in order between two events is that of a whole stream.
  .filter(({ breakName, isFramed }) => isFramed || breakName !== 'an end in order')

test.each(cases)('after a stream broke off by $breakName (chunks: $isFramed), $failureName of the next endpoint is not found in it, nor does it look whole', async ({ breakName, failureName, isFramed }) => {
  const engines = await Promise.all([1, 2, 3].map(() => harness.startEndpoint('ledger')))
  let runs = 0
  for (const engine of engines) engine.handleWith((request, response) => (runs++ === 0 ? brokenStream(isFramed, breaks[breakName]!) : failures[failureName]!)(request, response))
  const host = await startReadyForwarder()
  caller = await RawCaller.connect(host)
  caller.write(requestHead('/query/1', { id: 'a', headers: `${streamHeaders}connection: close\r\n`, timeoutMilliseconds: 3_000 }))
  await waitUntil(() => caller!.state !== ConnectionState.Open)
  expect(runs).toBeGreaterThan(1)
  expect(caller.text.match(/HTTP\/1\.1/g)).toHaveLength(1)
  expect(caller.text).not.toContain(errorText)
  expect(caller.text.match(/^id: \d+$/gm)).toEqual(['id: 1', 'id: 2'])
  expect(caller.text.endsWith(lastChunk)).toBe(false)
})

test('the caller of a stream gets no success without a seal, whatever its status', async () => {
  const engines = [await harness.startEndpoint('ledger'), await harness.startEndpoint('ledger')]
  let runs = 0
  for (const engine of engines) {
    engine.handleWith((_request, response) => {
      if (runs++ > 0) return response.writeHead(200).end(formatEvent(1)) as never
      response.removeHeader('server-seal')
      response.writeHead(202).end('accepted')
    })
  }
  const host = await startReadyForwarder()
  const response = await harness.call(host, '/query/1', { headers: { 'token-usage': '10,10', 'prefix-hash': 'a1:10' } })
  expect(response).toMatchObject({ status: 200, body: formatEvent(1) })
  expect(response.headers['server-seal']).toBeDefined()
})

test('a refusal that an endpoint writes once more on a kept connection is not taken for the answer to a repeated stream that may run once', async () => {
  const counts = { requests: 0, runs: 0 }
  server = createServer(socket => {
    let served = 0
    socket.on('error', () => undefined).on('data', bytes => {
      const head = bytes.toString('latin1')
      const refusal = `HTTP/1.1 503 Full\r\nattempt-id: ${/^attempt-id: (.*)\r$/im.exec(head)?.[1]}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n`
      served++
      if (++counts.requests === 1) return socket.write(refusal)
      counts.runs++
      // On the kept connection the earlier refusal comes first.
      socket.write(served > 1 ? refusal : `HTTP/1.1 200 OK\r\nattempt-id: same\r\nserver-seal: s\r\ncontent-length: ${formatEvent(1).length}\r\n\r\n${formatEvent(1)}`)
    })
  })
  const port = await new Promise<number>(resolve => server!.listen(0, '127.0.0.1', () => resolve((server!.address() as { port: number }).port)))
  harness.store.put('servers', 'i-faulty', endpointDocument('ledger', `127.0.0.1:${port}`))
  const host = await startReadyForwarder()
  const ask = () => harness.call(host, '/draft/1', { headers: { 'attempt-id': 'same', 'token-usage': '10,10', 'prefix-hash': 'a1:10' } })
  expect((await ask()).status).toBe(503)
  await pause(600)
  const repeated = await ask()
  expect({ status: repeated.status, runs: counts.runs }).toEqual({ status: 200, runs: 1 })
})
