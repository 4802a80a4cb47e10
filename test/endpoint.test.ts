/** The endpoint clients over real sockets: what is said of how far a call came, and whose reply is whose. */
import { afterEach, expect, test } from 'vitest'
import { type EndpointDescription, Priority, SystemClock } from '../src/contract/index.ts'
import { type EngineCall, type EngineEvent, HttpEngineClient, HttpServiceClient, Reach, type ServiceCall } from '../src/endpoint/index.ts'
import { type EngineRun, isWholeAnswer, type ServiceRun, startEngine, startService, type StandIn } from '../src/standin/index.ts'
import { httpReply, scriptedServer } from './fakes/scriptedServer.ts'

const clock = new SystemClock()
const services = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 5_000, silenceMilliseconds: 10_000 })
const engines = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 5_000, silenceMilliseconds: 1_000 })
const never = new AbortController().signal
const closing: Array<{ close (): Promise<void> }> = []

afterEach(async () => {
  await Promise.all(closing.splice(0).map(open => open.close()))
})

function endpointAt (address: string): EndpointDescription {
  return { name: 'e', kind: 'service', address, place: { region: 'r', dataCentre: 'd' }, versions: [], service: 'ledger', checksFencing: true }
}

async function kept<Open extends { close (): Promise<void> }> (starting: Promise<Open>): Promise<Open> {
  const open = await starting
  closing.push(open)
  return open
}

const refund: ServiceCall = { method: 'POST', path: '/refunds', contentType: 'application/json', body: Buffer.from('{}'), idempotencyKey: 'key-1', traceParent: undefined }
const lookup: ServiceCall = { method: 'GET', path: '/balances/17', contentType: undefined, body: undefined, idempotencyKey: undefined, traceParent: undefined }

async function order (standIn: StandIn, fault: object): Promise<void> {
  await fetch(`http://${standIn.address}/faults`, { method: 'POST', body: JSON.stringify(fault) })
}

async function recordsOf<Run> (standIn: StandIn): Promise<Run[]> {
  return await (await fetch(`http://${standIn.address}/records`)).json() as Run[]
}

test('a refused connection never reached the service', async () => {
  const service = await startService({ listen: '127.0.0.1:0', name: 'ledger' })
  await service.close()
  const outcome = await services.call(endpointAt(service.address), refund, () => true, never)
  expect(outcome.val).toMatchObject({ reach: Reach.Never })
})

test('a service that runs a call and loses the reply leaves the outcome open', async () => {
  const service = await kept(startService({ listen: '127.0.0.1:0', name: 'ledger' }))
  await order(service, { fault: 'drop_reply' })
  const outcome = await services.call(endpointAt(service.address), refund, () => true, never)
  expect(outcome.val).toMatchObject({ reach: Reach.Maybe })
  expect(await recordsOf<ServiceRun>(service)).toHaveLength(1)
  expect((await services.hasRun(endpointAt(service.address), 'key-1', never)).unwrap()).toMatchObject({ status: 201 })
})

test('a call is sent once even where the connection breaks at its first bytes', async () => {
  const server = await kept(scriptedServer(socket => socket.destroy()))
  const outcome = await services.call(endpointAt(server.address), refund, () => true, never)
  expect(outcome.val).toMatchObject({ reach: Reach.Maybe })
  await clock.sleep(50)
  expect(server.received.filter(text => text !== '')).toHaveLength(1)
})

test('a call that may no longer be sent leaves no byte on the wire', async () => {
  const server = await kept(scriptedServer(socket => socket.end(httpReply('{}'))))
  const outcome = await services.call(endpointAt(server.address), refund, () => false, never)
  expect(outcome.val).toMatchObject({ reach: Reach.Never })
  await clock.sleep(50)
  expect(server.received.join('')).toBe('')
})

test('permission to send is asked when the connection stands, not before', async () => {
  const server = await kept(scriptedServer(socket => socket.end(httpReply('{}'))))
  const started = services.call(endpointAt(server.address), refund, () => maySend, never)
  const maySend = false
  expect((await started).val).toMatchObject({ reach: Reach.Never })
  expect(server.received.join('')).toBe('')
})

test('a call that was cancelled before it could be sent is never sent', async () => {
  const server = await kept(scriptedServer(socket => socket.end(httpReply('{}'))))
  const cancelling = new AbortController()
  const started = services.call(endpointAt(server.address), refund, () => true, cancelling.signal)
  cancelling.abort()
  expect((await started).val).toMatchObject({ reach: Reach.Never })
  await clock.sleep(50)
  expect(server.received.join('')).toBe('')
})

test('a silent service leaves the outcome open and its connection is not used again', async () => {
  const server = await kept(scriptedServer((socket, connection) => {
    if (connection > 0) socket.write(httpReply('{"balance":1}'))
  }))
  const endpoint = endpointAt(server.address)
  const hasty = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 5_000, silenceMilliseconds: 300 })
  expect((await hasty.call(endpoint, lookup, () => true, never)).val).toMatchObject({ reach: Reach.Maybe })
  expect((await hasty.call(endpoint, lookup, () => true, never)).unwrap()).toMatchObject({ status: 200 })
})

test('where one connection was silent, the others of its time are not used again either', async () => {
  let isMute = false
  const server = await kept(scriptedServer((socket, connection) => {
    if (!isMute || connection > 1) setTimeout(() => socket.write(httpReply('{}')), 20)
  }))
  const endpoint = endpointAt(server.address)
  const hasty = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 5_000, silenceMilliseconds: 300 })
  const look = () => hasty.call(endpoint, lookup, () => true, never)
  await Promise.all([look(), look()])
  await clock.sleep(20)
  isMute = true
  expect((await look()).val).toMatchObject({ reach: Reach.Maybe })
  expect((await look()).ok).toBe(true)
})

test('a late reply to a call that was given up never answers the next one', async () => {
  const server = await kept(scriptedServer((socket, connection, received) => {
    const path = /GET (\S+)/.exec(received)?.[1] ?? ''
    const wait = connection === 0 ? 150 : 0
    setTimeout(() => socket.write(httpReply(JSON.stringify({ path }))), wait)
  }))
  const endpoint = endpointAt(server.address)
  const cancelling = new AbortController()
  const first = services.call(endpoint, { ...lookup, path: '/balances/first' }, () => true, cancelling.signal)
  await clock.sleep(50)
  cancelling.abort()
  expect((await first).val).toMatchObject({ reach: Reach.Maybe })
  const second = await services.call(endpoint, { ...lookup, path: '/balances/second' }, () => true, never)
  expect(Buffer.from(second.unwrap().body).toString('utf8')).toBe('{"path":"/balances/second"}')
})

test('calls that are not idempotent each get a connection of their own, others share', async () => {
  const server = await kept(scriptedServer(socket => socket.write(httpReply('{}'))))
  const endpoint = endpointAt(server.address)
  await services.call(endpoint, lookup, () => true, never)
  // The HTTP library uses a connection again only after a turn of the event loop.
  await clock.sleep(20)
  await services.call(endpoint, lookup, () => true, never)
  expect(server.received).toHaveLength(1)
  await clock.sleep(20)
  await services.call(endpoint, refund, () => true, never)
  expect(server.received).toHaveLength(2)
})

test('an answer that is cut short is not taken for a whole one', async () => {
  const cut = await kept(scriptedServer(socket => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{"balance":1')))
  expect((await services.call(endpointAt(cut.address), lookup, () => true, never)).val).toMatchObject({ reach: Reach.Maybe })
  const unframed = await kept(scriptedServer(socket => socket.end('HTTP/1.1 200 OK\r\n\r\n{"balance":1}')))
  expect((await services.call(endpointAt(unframed.address), lookup, () => true, never)).val).toMatchObject({ reach: Reach.Maybe })
})

const call: EngineCall = { attemptId: 'a-1', version: 'small@1', messages: [{ role: 'user', content: 'request=r1 tokens=60' }], maximumTokens: 100, priority: Priority.Normal, prefixKey: 'p', traceParent: undefined }

async function read (events: AsyncIterable<EngineEvent>, afterFirst = async (): Promise<void> => undefined): Promise<{ text: string, last: EngineEvent | undefined }> {
  let text = ''
  let last: EngineEvent | undefined
  for await (const event of events) {
    if (event.type === 'chunk' && text === '') await afterFirst()
    if (event.type === 'chunk') text += event.chunk.text
    last = event
  }
  return { text, last }
}

test('streams that an engine cuts again and again are answered whole', async () => {
  const engine = await kept(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  await order(engine, { fault: 'cut', frames: 4, times: 6 })
  const { text, last } = await read(engines.generate(endpointAt(engine.address), call, never))
  expect(last?.type).toBe('finish')
  expect(isWholeAnswer(text, 'r1')).toBe(true)
  expect(await recordsOf<EngineRun>(engine)).toHaveLength(1)
})

test('a stream whose connection goes silent is taken up over a new one', async () => {
  const engine = await kept(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const events = engines.generate(endpointAt(engine.address), call, never)
  const { text, last } = await read(events, () => order(engine, { fault: 'silent' }))
  expect(last?.type).toBe('finish')
  expect(isWholeAnswer(text, 'r1')).toBe(true)
})

test('an engine that dies in the middle of an answer ends it with a marked failure', async () => {
  const engine = await kept(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const events = engines.generate(endpointAt(engine.address), call, never)
  const { last } = await read(events, () => order(engine, { fault: 'die', milliseconds: 100 }))
  expect(last).toMatchObject({ type: 'failure', failure: { reach: Reach.Maybe } })
})

test('a reader that takes nothing holds no more than a bounded part of the answer', async () => {
  const frame = `: ${'x'.repeat(1_000)}\n\n`
  let written = 0
  const server = await kept(scriptedServer(socket => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n')
    const data = 'data: {"id":"a-1","choices":[{"delta":{"content":"w"}}],"token_offset":0,"token_count":1}\n\n'
    socket.write(`${data.length.toString(16)}\r\n${data}\r\n`)
    const piece = `${frame.length.toString(16)}\r\n${frame}\r\n`
    const more = () => {
      while (written < 64_000_000 && socket.write(piece)) written += piece.length
    }
    socket.on('drain', more)
    more()
  }))
  const events = engines.generate(endpointAt(server.address), call, never)[Symbol.asyncIterator]()
  expect(await events.next()).toMatchObject({ value: { type: 'chunk' } })
  for (let before = -1; before !== written;) {
    before = written
    await clock.sleep(300)
  }
  expect(written).toBeLessThan(64_000_000)
  await events.return?.()
})
