/** The endpoint clients over real sockets: the reported delivery state of a call, and the matching of replies to calls. */
import type { Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { type EndpointDescription, Priority, SystemClock } from '../src/contract/index.ts'
import { type EngineCall, type EngineEvent, HttpEngineClient, HttpServiceClient, DeliveryState, type ServiceCall } from '../src/endpoint/index.ts'
import { type EngineRun, isCompleteAnswer, type ServiceRun, startEngine, startService, type StandIn } from '../src/standin/index.ts'
import { formatFinishFrame, formatTokenFrame } from './fakes/fakeEngineServer.ts'
import { httpChunk, httpReply, startScriptedServer } from './fakes/scriptedServer.ts'

const clock = new SystemClock()
const serviceClient = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 10_000 })
const engineClient = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 1_000 })
const neverAborted = new AbortController().signal
const openResources: Array<{ close (): Promise<void> }> = []

afterEach(async () => {
  await Promise.all(openResources.splice(0).map(resource => resource.close()))
})

function endpointAt (address: string): EndpointDescription {
  return { name: 'e', kind: 'service', address, place: { region: 'r', dataCentre: 'd' }, versions: [], service: 'ledger', checksFencing: true }
}

async function closeAfterTest<Resource extends { close (): Promise<void> }> (starting: Promise<Resource>): Promise<Resource> {
  const resource = await starting
  openResources.push(resource)
  return resource
}

const refund: ServiceCall = { method: 'POST', path: '/refunds', contentType: 'application/json', body: Buffer.from('{}'), idempotencyKey: 'key-1', traceParent: undefined }
const lookup: ServiceCall = { method: 'GET', path: '/balances/17', contentType: undefined, body: undefined, idempotencyKey: undefined, traceParent: undefined }

async function injectFault (standIn: StandIn, fault: object): Promise<void> {
  await fetch(`http://${standIn.address}/faults`, { method: 'POST', body: JSON.stringify(fault) })
}

async function recordsOf<Run> (standIn: StandIn): Promise<Run[]> {
  return await (await fetch(`http://${standIn.address}/records`)).json() as Run[]
}

test('a call on a refused connection is reported as not sent', async () => {
  const service = await startService({ listen: '127.0.0.1:0', name: 'ledger' })
  await service.close()
  const outcome = await serviceClient.call(endpointAt(service.address), refund, () => true, neverAborted)
  expect(outcome.val).toMatchObject({ delivery: DeliveryState.NotSent })
})

test('a call whose reply is lost is reported as possibly sent, and its run can be looked up', async () => {
  const service = await closeAfterTest(startService({ listen: '127.0.0.1:0', name: 'ledger' }))
  await injectFault(service, { fault: 'drop_reply' })
  const outcome = await serviceClient.call(endpointAt(service.address), refund, () => true, neverAborted)
  expect(outcome.val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  expect(await recordsOf<ServiceRun>(service)).toHaveLength(1)
  expect((await serviceClient.lookUpRun(endpointAt(service.address), 'key-1', neverAborted)).unwrap()).toMatchObject({ status: 201 })
})

test('a call is sent once even if the connection breaks at its first bytes', async () => {
  const server = await closeAfterTest(startScriptedServer(socket => socket.destroy()))
  const outcome = await serviceClient.call(endpointAt(server.address), refund, () => true, neverAborted)
  expect(outcome.val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  await clock.sleep(50)
  expect(server.received.filter(text => text !== '')).toHaveLength(1)
})

test('a call that may no longer be sent writes no byte to the connection', async () => {
  const server = await closeAfterTest(startScriptedServer(socket => socket.end(httpReply('{}'))))
  const outcome = await serviceClient.call(endpointAt(server.address), refund, () => false, neverAborted)
  expect(outcome.val).toMatchObject({ delivery: DeliveryState.NotSent })
  await clock.sleep(50)
  expect(server.received.join('')).toBe('')
})

test('permission to send is requested after the connection is established, not before', async () => {
  const server = await closeAfterTest(startScriptedServer(socket => socket.end(httpReply('{}'))))
  const pendingCall = serviceClient.call(endpointAt(server.address), refund, () => maySend, neverAborted)
  const maySend = false
  expect((await pendingCall).val).toMatchObject({ delivery: DeliveryState.NotSent })
  expect(server.received.join('')).toBe('')
})

test('a call cancelled before it could be sent is never sent', async () => {
  const server = await closeAfterTest(startScriptedServer(socket => socket.end(httpReply('{}'))))
  const cancellation = new AbortController()
  const pendingCall = serviceClient.call(endpointAt(server.address), refund, () => true, cancellation.signal)
  cancellation.abort()
  expect((await pendingCall).val).toMatchObject({ delivery: DeliveryState.NotSent })
  await clock.sleep(50)
  expect(server.received.join('')).toBe('')
})

test('a call to a silent service is reported as possibly sent, and its connection is not reused', async () => {
  const server = await closeAfterTest(startScriptedServer((socket, connection) => {
    if (connection > 0) socket.write(httpReply('{"balance":1}'))
  }))
  const endpoint = endpointAt(server.address)
  const shortTimeoutClient = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 300 })
  expect((await shortTimeoutClient.call(endpoint, lookup, () => true, neverAborted)).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  expect((await shortTimeoutClient.call(endpoint, lookup, () => true, neverAborted)).unwrap()).toMatchObject({ status: 200 })
})

test('a late reply to a cancelled call never answers the next call', async () => {
  const server = await closeAfterTest(startScriptedServer((socket, connection, received) => {
    const path = /GET (\S+)/.exec(received)?.[1] ?? ''
    const wait = connection === 0 ? 150 : 0
    setTimeout(() => socket.write(httpReply(JSON.stringify({ path }))), wait)
  }))
  const endpoint = endpointAt(server.address)
  const cancellation = new AbortController()
  const first = serviceClient.call(endpoint, { ...lookup, path: '/balances/first' }, () => true, cancellation.signal)
  await clock.sleep(50)
  cancellation.abort()
  expect((await first).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  const second = await serviceClient.call(endpoint, { ...lookup, path: '/balances/second' }, () => true, neverAborted)
  expect(Buffer.from(second.unwrap().body).toString('utf8')).toBe('{"path":"/balances/second"}')
})

test('a duplicated reply never answers the next call', async () => {
  for (const wait of [0, 10]) {
    const server = await closeAfterTest(startScriptedServer((socket, connection, received) => {
      const path = received.split('GET ').at(-1)?.split(' ')[0] ?? ''
      const reply = httpReply(JSON.stringify({ path, connection }))
      socket.write(reply)
      if (wait === 0) socket.write(reply)
      else setTimeout(() => socket.write(reply), wait)
    }))
    const endpoint = endpointAt(server.address)
    for (let number = 0; number < 6; number++) {
      const path = `/balances/${number}`
      const answer = await serviceClient.call(endpoint, { ...lookup, path }, () => true, neverAborted)
      if (answer.ok) expect(JSON.parse(Buffer.from(answer.val.body).toString('utf8'))).toMatchObject({ path })
      await clock.sleep(number)
    }
  }
})

test('a response with the idempotency key of another call is rejected', async () => {
  const server = await closeAfterTest(startScriptedServer(socket => socket.end(httpReply('{}', '201 Created\r\nidempotency-key: key-2'))))
  const outcome = await serviceClient.call(endpointAt(server.address), refund, () => true, neverAborted)
  expect(outcome.val).toMatchObject({ delivery: DeliveryState.PossiblySent })
})

test('each service call uses its own connection', async () => {
  const server = await closeAfterTest(startScriptedServer(socket => socket.write(httpReply('{}'))))
  for (const call of [lookup, lookup, refund]) {
    await serviceClient.call(endpointAt(server.address), call, () => true, neverAborted)
    await clock.sleep(20)
  }
  expect(server.received).toHaveLength(3)
})

test('a truncated response is not accepted as complete', async () => {
  const truncatedServer = await closeAfterTest(startScriptedServer(socket => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{"balance":1')))
  expect((await serviceClient.call(endpointAt(truncatedServer.address), lookup, () => true, neverAborted)).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  const unframedServer = await closeAfterTest(startScriptedServer(socket => socket.end('HTTP/1.1 200 OK\r\n\r\n{"balance":1}')))
  expect((await serviceClient.call(endpointAt(unframedServer.address), lookup, () => true, neverAborted)).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
})

const call: EngineCall = { attemptId: 'a-1', version: 'small@1', messages: [{ role: 'user', content: 'request=r1 tokens=60' }], maximumTokens: 100, priority: Priority.Normal, prefixKey: 'p', traceParent: undefined }

async function readEvents (events: AsyncIterable<EngineEvent>, afterFirst = async (): Promise<void> => undefined): Promise<{ text: string, last: EngineEvent | undefined }> {
  let text = ''
  let last: EngineEvent | undefined
  for await (const event of events) {
    if (event.type === 'chunk' && text === '') await afterFirst()
    if (event.type === 'chunk') text += event.chunk.text
    last = event
  }
  return { text, last }
}

test('after a silent connection the next load report is requested over a new one', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  let isSilent = false
  const server = await closeAfterTest(startScriptedServer((socket, connection) => {
    if (isSilent && connection < 2) return
    fetch(`http://${engine.address}/load`).then(response => response.text()).then(body => socket.write(httpReply(body))).catch(() => undefined)
  }))
  const shortTimeoutClient = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 500 })
  const requestReport = () => shortTimeoutClient.report(endpointAt(server.address), neverAborted)
  await Promise.all([requestReport(), requestReport()])
  isSilent = true
  await clock.sleep(20)
  expect((await requestReport()).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  expect((await requestReport()).ok).toBe(true)
})

test('a stream that the engine breaks off repeatedly still yields the complete answer', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  await injectFault(engine, { fault: 'cut', frames: 4, times: 6 })
  const { text, last } = await readEvents(engineClient.generate(endpointAt(engine.address), call, neverAborted))
  expect(last?.type).toBe('finish')
  expect(isCompleteAnswer(text, 'r1')).toBe(true)
  expect(await recordsOf<EngineRun>(engine)).toHaveLength(1)
})

test('a stream whose connection goes silent is resumed over a new one', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const events = engineClient.generate(endpointAt(engine.address), call, neverAborted)
  const { text, last } = await readEvents(events, () => injectFault(engine, { fault: 'silent' }))
  expect(last?.type).toBe('finish')
  expect(isCompleteAnswer(text, 'r1')).toBe(true)
})

test('an answer ends with a failure event when its engine dies in the middle', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const events = engineClient.generate(endpointAt(engine.address), call, neverAborted)
  const { last } = await readEvents(events, () => injectFault(engine, { fault: 'die', milliseconds: 100 }))
  expect(last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent } })
})

/** Serves a one-token answer and then calls `afterEndMark`, before the chunked body is ended. */
function singleTokenServer (afterEndMark: (socket: Socket) => void) {
  return startScriptedServer((socket, _connection, received) => {
    if (!received.endsWith('}')) return
    socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n')
    socket.write(httpChunk(formatTokenFrame('a-1', 0, 1, 'w') + formatFinishFrame('a-1', 1) + 'data: [DONE]\n\n'))
    afterEndMark(socket)
  })
}

test('a connection is reused if its last bytes arrive shortly after the end marker', async () => {
  const server = await closeAfterTest(singleTokenServer(socket => { setTimeout(() => socket.write('0\r\n\r\n'), 30) }))
  const endpoint = endpointAt(server.address)
  expect((await readEvents(engineClient.generate(endpoint, call, neverAborted))).last?.type).toBe('finish')
  await clock.sleep(100)
  expect((await readEvents(engineClient.generate(endpoint, call, neverAborted))).last?.type).toBe('finish')
  expect(server.received).toHaveLength(1)
})

test('a connection that keeps sending after the end marker is closed', async () => {
  let resolveClosed = (): void => undefined
  const connectionClosed = new Promise<void>(resolve => { resolveClosed = resolve })
  const server = await closeAfterTest(singleTokenServer(socket => {
    const heartbeatTimer = setInterval(() => socket.write(httpChunk(': heartbeat\n\n')), 50)
    socket.on('close', () => {
      clearInterval(heartbeatTimer)
      resolveClosed()
    })
  }))
  const shortTimeoutClient = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 200 })
  expect((await readEvents(shortTimeoutClient.generate(endpointAt(server.address), call, neverAborted))).last?.type).toBe('finish')
  await connectionClosed
})

test('a refusal carries its retry delay and counts as a refusal only if it arrived completely', async () => {
  const head = 'HTTP/1.1 503 Service Unavailable\r\nretry-after: 7\r\nx-attempt-id: a-1\r\n'
  const completeServer = await closeAfterTest(startScriptedServer(socket => socket.end(`${head}content-length: 2\r\n\r\n{}`)))
  const refused = await readEvents(engineClient.generate(endpointAt(completeServer.address), call, neverAborted))
  expect(refused.last).toMatchObject({ failure: { delivery: DeliveryState.Rejected, retryAfterSeconds: 7 } })
  const truncatedServer = await closeAfterTest(startScriptedServer(socket => socket.end(`${head}content-length: 20\r\n\r\n{}`)))
  const truncated = await readEvents(engineClient.generate(endpointAt(truncatedServer.address), call, neverAborted))
  expect(truncated.last).toMatchObject({ failure: { delivery: DeliveryState.PossiblySent } })
})

test('a refusal with the id of another attempt is not accepted', async () => {
  const server = await closeAfterTest(startScriptedServer(socket => socket.end(httpReply('{}', '404 Not Found\r\nx-attempt-id: a-2'))))
  const outcome = await readEvents(engineClient.generate(endpointAt(server.address), call, neverAborted))
  expect(outcome.last).toMatchObject({ failure: { delivery: DeliveryState.PossiblySent } })
})

test('a reader that consumes nothing buffers only a bounded part of the answer', async () => {
  const frame = `: ${'x'.repeat(1_000)}\n\n`
  let written = 0
  const server = await closeAfterTest(startScriptedServer(socket => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n')
    const data = 'data: {"id":"a-1","choices":[{"delta":{"content":"w"}}],"token_offset":0,"token_count":1}\n\n'
    socket.write(httpChunk(data))
    const chunk = httpChunk(frame)
    const writeMore = () => {
      while (written < 64_000_000 && socket.write(chunk)) written += chunk.length
    }
    socket.on('drain', writeMore)
    writeMore()
  }))
  const events = engineClient.generate(endpointAt(server.address), call, neverAborted)[Symbol.asyncIterator]()
  expect(await events.next()).toMatchObject({ value: { type: 'chunk' } })
  for (let before = -1; before !== written;) {
    before = written
    await clock.sleep(300)
  }
  expect(written).toBeLessThan(64_000_000)
  await events.return?.()
})
