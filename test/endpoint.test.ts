/** The endpoint clients over real sockets: what is said of how far a call came, and whose reply is whose. */
import type { Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { type EndpointDescription, Priority, SystemClock } from '../src/contract/index.ts'
import { type EngineCall, type EngineEvent, HttpEngineClient, HttpServiceClient, DeliveryState, type ServiceCall } from '../src/endpoint/index.ts'
import { type EngineRun, isCompleteAnswer, type ServiceRun, startEngine, startService, type StandIn } from '../src/standin/index.ts'
import { finishOf, frameOf } from './fakes/fakeEngineServer.ts'
import { httpChunk, httpReply, scriptedServer } from './fakes/scriptedServer.ts'

const clock = new SystemClock()
const services = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 10_000 })
const engines = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 1_000 })
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
  expect(outcome.val).toMatchObject({ delivery: DeliveryState.NotSent })
})

test('a service that runs a call and loses the reply leaves the outcome open', async () => {
  const service = await kept(startService({ listen: '127.0.0.1:0', name: 'ledger' }))
  await order(service, { fault: 'drop_reply' })
  const outcome = await services.call(endpointAt(service.address), refund, () => true, never)
  expect(outcome.val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  expect(await recordsOf<ServiceRun>(service)).toHaveLength(1)
  expect((await services.lookUpRun(endpointAt(service.address), 'key-1', never)).unwrap()).toMatchObject({ status: 201 })
})

test('a call is sent once even where the connection breaks at its first bytes', async () => {
  const server = await kept(scriptedServer(socket => socket.destroy()))
  const outcome = await services.call(endpointAt(server.address), refund, () => true, never)
  expect(outcome.val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  await clock.sleep(50)
  expect(server.received.filter(text => text !== '')).toHaveLength(1)
})

test('a call that may no longer be sent leaves no byte on the wire', async () => {
  const server = await kept(scriptedServer(socket => socket.end(httpReply('{}'))))
  const outcome = await services.call(endpointAt(server.address), refund, () => false, never)
  expect(outcome.val).toMatchObject({ delivery: DeliveryState.NotSent })
  await clock.sleep(50)
  expect(server.received.join('')).toBe('')
})

test('permission to send is asked when the connection stands, not before', async () => {
  const server = await kept(scriptedServer(socket => socket.end(httpReply('{}'))))
  const started = services.call(endpointAt(server.address), refund, () => maySend, never)
  const maySend = false
  expect((await started).val).toMatchObject({ delivery: DeliveryState.NotSent })
  expect(server.received.join('')).toBe('')
})

test('a call that was cancelled before it could be sent is never sent', async () => {
  const server = await kept(scriptedServer(socket => socket.end(httpReply('{}'))))
  const cancelling = new AbortController()
  const started = services.call(endpointAt(server.address), refund, () => true, cancelling.signal)
  cancelling.abort()
  expect((await started).val).toMatchObject({ delivery: DeliveryState.NotSent })
  await clock.sleep(50)
  expect(server.received.join('')).toBe('')
})

test('a silent service leaves the outcome open and its connection is not used again', async () => {
  const server = await kept(scriptedServer((socket, connection) => {
    if (connection > 0) socket.write(httpReply('{"balance":1}'))
  }))
  const endpoint = endpointAt(server.address)
  const hasty = new HttpServiceClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 300 })
  expect((await hasty.call(endpoint, lookup, () => true, never)).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  expect((await hasty.call(endpoint, lookup, () => true, never)).unwrap()).toMatchObject({ status: 200 })
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
  expect((await first).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  const second = await services.call(endpoint, { ...lookup, path: '/balances/second' }, () => true, never)
  expect(Buffer.from(second.unwrap().body).toString('utf8')).toBe('{"path":"/balances/second"}')
})

test('a reply that comes twice never answers the next call', async () => {
  for (const wait of [0, 10]) {
    const server = await kept(scriptedServer((socket, connection, received) => {
      const path = received.split('GET ').at(-1)?.split(' ')[0] ?? ''
      const reply = httpReply(JSON.stringify({ path, connection }))
      socket.write(reply)
      if (wait === 0) socket.write(reply)
      else setTimeout(() => socket.write(reply), wait)
    }))
    const endpoint = endpointAt(server.address)
    for (let number = 0; number < 6; number++) {
      const path = `/balances/${number}`
      const answer = await services.call(endpoint, { ...lookup, path }, () => true, never)
      if (answer.ok) expect(JSON.parse(Buffer.from(answer.val.body).toString('utf8'))).toMatchObject({ path })
      await clock.sleep(number)
    }
  }
})

test('an answer that names another call is not taken', async () => {
  const server = await kept(scriptedServer(socket => socket.end(httpReply('{}', '201 Created\r\nidempotency-key: key-2'))))
  const outcome = await services.call(endpointAt(server.address), refund, () => true, never)
  expect(outcome.val).toMatchObject({ delivery: DeliveryState.PossiblySent })
})

test('each call gets a connection of its own', async () => {
  const server = await kept(scriptedServer(socket => socket.write(httpReply('{}'))))
  for (const call of [lookup, lookup, refund]) {
    await services.call(endpointAt(server.address), call, () => true, never)
    await clock.sleep(20)
  }
  expect(server.received).toHaveLength(3)
})

test('an answer that is cut short is not taken for a whole one', async () => {
  const cut = await kept(scriptedServer(socket => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{"balance":1')))
  expect((await services.call(endpointAt(cut.address), lookup, () => true, never)).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  const unframed = await kept(scriptedServer(socket => socket.end('HTTP/1.1 200 OK\r\n\r\n{"balance":1}')))
  expect((await services.call(endpointAt(unframed.address), lookup, () => true, never)).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
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

test('after a silent connection the next report is asked for over a new one', async () => {
  const engine = await kept(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  let isMute = false
  const server = await kept(scriptedServer((socket, connection) => {
    if (isMute && connection < 2) return
    fetch(`http://${engine.address}/load`).then(response => response.text()).then(body => socket.write(httpReply(body))).catch(() => undefined)
  }))
  const hasty = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 500 })
  const ask = () => hasty.report(endpointAt(server.address), never)
  await Promise.all([ask(), ask()])
  isMute = true
  await clock.sleep(20)
  expect((await ask()).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  expect((await ask()).ok).toBe(true)
})

test('streams that an engine cuts again and again are answered whole', async () => {
  const engine = await kept(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  await order(engine, { fault: 'cut', frames: 4, times: 6 })
  const { text, last } = await read(engines.generate(endpointAt(engine.address), call, never))
  expect(last?.type).toBe('finish')
  expect(isCompleteAnswer(text, 'r1')).toBe(true)
  expect(await recordsOf<EngineRun>(engine)).toHaveLength(1)
})

test('a stream whose connection goes silent is taken up over a new one', async () => {
  const engine = await kept(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const events = engines.generate(endpointAt(engine.address), call, never)
  const { text, last } = await read(events, () => order(engine, { fault: 'silent' }))
  expect(last?.type).toBe('finish')
  expect(isCompleteAnswer(text, 'r1')).toBe(true)
})

test('an engine that dies in the middle of an answer ends it with a marked failure', async () => {
  const engine = await kept(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const events = engines.generate(endpointAt(engine.address), call, never)
  const { last } = await read(events, () => order(engine, { fault: 'die', milliseconds: 100 }))
  expect(last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.PossiblySent } })
})

/** Serves a one-token answer; what comes after its end mark is the test's. */
function apartServer (after: (socket: Socket) => void) {
  return scriptedServer((socket, _connection, received) => {
    if (!received.endsWith('}')) return
    socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n')
    socket.write(httpChunk(frameOf('a-1', 0, 1, 'w') + finishOf('a-1', 1) + 'data: [DONE]\n\n'))
    after(socket)
  })
}

test('a connection is kept where its last bytes come a little after the end mark', async () => {
  const server = await kept(apartServer(socket => { setTimeout(() => socket.write('0\r\n\r\n'), 30) }))
  const endpoint = endpointAt(server.address)
  expect((await read(engines.generate(endpoint, call, never))).last?.type).toBe('finish')
  await clock.sleep(100)
  expect((await read(engines.generate(endpoint, call, never))).last?.type).toBe('finish')
  expect(server.received).toHaveLength(1)
})

test('a connection that goes on after the end mark is cut', async () => {
  let closed = (): void => undefined
  const closing = new Promise<void>(resolve => { closed = resolve })
  const server = await kept(apartServer(socket => {
    const beating = setInterval(() => socket.write(httpChunk(': heartbeat\n\n')), 50)
    socket.on('close', () => {
      clearInterval(beating)
      closed()
    })
  }))
  const hasty = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 5_000, inactivityTimeoutMilliseconds: 200 })
  expect((await read(hasty.generate(endpointAt(server.address), call, never))).last?.type).toBe('finish')
  await closing
})

test('a refusal names when to come back, and is believed only where it came whole', async () => {
  const head = 'HTTP/1.1 503 Service Unavailable\r\nretry-after: 7\r\nx-attempt-id: a-1\r\n'
  const whole = await kept(scriptedServer(socket => socket.end(`${head}content-length: 2\r\n\r\n{}`)))
  const refused = await read(engines.generate(endpointAt(whole.address), call, never))
  expect(refused.last).toMatchObject({ failure: { delivery: DeliveryState.Rejected, retryAfterSeconds: 7 } })
  const cut = await kept(scriptedServer(socket => socket.end(`${head}content-length: 20\r\n\r\n{}`)))
  const unclear = await read(engines.generate(endpointAt(cut.address), call, never))
  expect(unclear.last).toMatchObject({ failure: { delivery: DeliveryState.PossiblySent } })
})

test('a refusal that names another attempt is not believed', async () => {
  const server = await kept(scriptedServer(socket => socket.end(httpReply('{}', '404 Not Found\r\nx-attempt-id: a-2'))))
  const outcome = await read(engines.generate(endpointAt(server.address), call, never))
  expect(outcome.last).toMatchObject({ failure: { delivery: DeliveryState.PossiblySent } })
})

test('a reader that takes nothing holds no more than a bounded part of the answer', async () => {
  const frame = `: ${'x'.repeat(1_000)}\n\n`
  let written = 0
  const server = await kept(scriptedServer(socket => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n')
    const data = 'data: {"id":"a-1","choices":[{"delta":{"content":"w"}}],"token_offset":0,"token_count":1}\n\n'
    socket.write(httpChunk(data))
    const piece = httpChunk(frame)
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
