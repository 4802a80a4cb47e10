import { connect } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { type ForwarderOptions, ForwarderWorld, event, until } from './fakes/forwarderWorld.ts'
import type { EndpointHandler } from '../platform/standin/index.ts'

let world: ForwarderWorld
beforeEach(async () => { world = await ForwarderWorld.start() })
afterEach(async () => await world.close())

async function readyHost (options: ForwarderOptions = {}): Promise<string> {
  world.configure(1)
  const host = await world.forwarder(options)
  await world.ready(host)
  return host
}

const streamHeaders = { model: '*', 'token-usage': '600,100', 'prefix-hash': 'a1:500,b2:100', 'deadline-ms': '2000' }

/** Streams events from the one after the last that the caller has. */
function streaming (last: number, confidence = 90): EndpointHandler {
  return (request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence })
    for (let identity = Number(request.headers['last-event-id'] ?? 0) + 1; identity <= last; identity++) response.write(event(identity))
    response.end()
  }
}

const allEvents = (last: number) => Array.from({ length: last }, (_, index) => event(index + 1)).join('')

test('a gateway that knows no settings is not ready and refuses as not run', async () => {
  const host = await world.forwarder()
  expect(await world.get(`http://${host}:8220/v1/readyz`)).toBe(503)
  const answer = await world.call(host, '/release/1')
  expect(answer.status).toBe(503)
  expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0)
})

test('a request reaches its endpoint unchanged, without its key and with its organisation, and its answer comes back sealed', async () => {
  const ledger = await world.endpoint('ledger')
  const host = await readyHost()
  const answer = await world.call(host, '/release/42?part=1', { body: 'refund 17', headers: { 'attempt-id': 'abc', 'x-own': 'kept', tenant: 'forged', 'kv-from': 'forged', urgency: '0' } })
  expect(answer).toMatchObject({ status: 200, body: 'done', isWhole: true })
  expect(answer.headers['server-seal']).toBe(`seal-of-${ledger.identity}`)
  const [received] = ledger.received
  expect(received).toMatchObject({ method: 'POST', path: '/release/42?part=1', body: 'refund 17' })
  expect(received?.headers).toMatchObject({ 'attempt-id': 'abc', tenant: 'harbour', 'x-own': 'kept', host: 'desk.example', 'expect-instance': ledger.identity })
  expect(received?.headers.authorization).toBeUndefined()
  expect(received?.headers['kv-from']).toBeUndefined()
  expect(Number(received?.headers['deadline-ms'])).toBeLessThanOrEqual(1_500)
})

test('a request that runs at most once is not sent again after a reset, and its end promises nothing', async () => {
  const ledgers = [await world.endpoint('ledger'), await world.endpoint('ledger')]
  for (const ledger of ledgers) ledger.handleWith((_request, response) => { response.socket?.resetAndDestroy() })
  const host = await readyHost()
  const answer = await world.call(host, '/release/1', { body: 'x' })
  expect(answer.status).toBe(502)
  expect(ledgers.flatMap(ledger => ledger.received)).toHaveLength(1)
})

test('a request that runs at most once goes to another endpoint where the first does not listen', async () => {
  const [gone, sound] = [await world.endpoint('ledger'), await world.endpoint('ledger')]
  const host = await readyHost()
  await gone.close()
  for (let index = 0; index < 4; index++) expect((await world.call(host, '/release/1', { body: 'x' })).status).toBe(200)
  expect(sound.received).toHaveLength(4)
})

test('an endpoint\'s word that it did not run becomes a refusal that says when to come back', async () => {
  const ledger = await world.endpoint('ledger')
  ledger.handleWith((_request, response) => {
    response.writeHead(503, { 'not-executed': '1' })
    response.end()
  })
  const host = await readyHost()
  const answer = await world.call(host, '/release/1', { body: 'x' })
  expect(answer.status).toBe(503)
  expect(answer.headers['retry-after']).toBeDefined()
  expect(ledger.received).toHaveLength(1)
})

test('an idempotent request that one endpoint failed is answered by another', async () => {
  const ledgers = [await world.endpoint('ledger'), await world.endpoint('ledger')]
  ledgers[0]?.handleWith((_request, response) => {
    response.writeHead(500)
    response.end()
  })
  const host = await readyHost()
  for (let index = 0; index < 5; index++) expect((await world.call(host, '/balance/1', { method: 'GET' })).status).toBe(200)
})

test('an answer that names another request is not passed on', async () => {
  const ledger = await world.endpoint('ledger')
  ledger.handleWith((_request, response) => {
    response.writeHead(200, { 'attempt-id': 'somebody-else' })
    response.end('another\'s money')
  })
  const host = await readyHost()
  const answer = await world.call(host, '/release/1', { body: 'x' })
  expect(answer.status).toBe(502)
  expect(answer.body).not.toContain('money')
})

test('an answer that breaks off is not passed on as whole', async () => {
  const ledger = await world.endpoint('ledger')
  ledger.handleWith((_request, response) => {
    response.writeHead(200, { 'content-length': 100 })
    response.write('half')
    setTimeout(() => response.socket?.destroy(), 20)
  })
  const host = await readyHost()
  expect((await world.call(host, '/release/1', { body: 'x' })).status).toBe(502)
})

test('an answer that ends with its connection is not given a length on its way', async () => {
  const ledger = await world.endpoint('ledger')
  ledger.handleWith((request, response) => {
    response.socket?.end(`HTTP/1.1 200 OK\r\nattempt-id: ${request.headers['attempt-id']}\r\nserver-seal: s\r\nconnection: close\r\n\r\nperhaps half`)
  })
  const host = await readyHost()
  const answer = await world.call(host, '/release/1', { body: 'x' })
  expect(answer).toMatchObject({ status: 200, body: 'perhaps half' })
  expect(answer.headers['content-length']).toBeUndefined()
  expect(answer.headers['transfer-encoding']).toBeUndefined()
  expect(answer.headers.connection).toBe('close')
})

test('an unknown key is refused and reaches no endpoint; a public route needs none', async () => {
  const ledger = await world.endpoint('ledger')
  const host = await readyHost()
  expect((await world.call(host, '/release/1', { headers: { authorization: 'Bearer other' } })).status).toBe(401)
  expect((await world.call(host, '/nowhere/1')).status).toBe(404)
  expect(ledger.received).toHaveLength(0)
  expect((await world.call(host, '/open/1', { method: 'GET', headers: { authorization: 'Bearer other' } })).status).toBe(200)
  expect(ledger.received[0]?.headers.tenant).toBeUndefined()
})

test('a stream that breaks off in the middle of an event goes on at another engine without a gap or a repeat', async () => {
  const [first, second] = [await world.endpoint('engines'), await world.endpoint('engines')]
  const torn: EndpointHandler = (_request, response) => {
    response.writeHead(200, { confidence: 90 })
    response.write(event(1) + event(2) + 'id: 3\nda')
    setTimeout(() => response.socket?.resetAndDestroy(), 20)
  }
  let runs = 0
  for (const engine of [first, second]) engine.handleWith((request, response) => (runs++ === 0 ? torn : streaming(6))(request, response))
  const host = await readyHost()
  const answer = await world.call(host, '/query/1', { body: 'q', headers: streamHeaders })
  expect(answer).toMatchObject({ status: 200, body: allEvents(6), isWhole: true })
  expect(first.received.length + second.received.length).toBe(2)
})

test('a stream whose engine falls silent goes on at another engine', async () => {
  const engines = [await world.endpoint('engines'), await world.endpoint('engines')]
  let runs = 0
  const silent: EndpointHandler = (_request, response) => {
    response.writeHead(200, { confidence: 90 })
    response.write(event(1))
  }
  for (const engine of engines) engine.handleWith((request, response) => (runs++ === 0 ? silent : streaming(3))(request, response))
  const host = await readyHost()
  expect(await world.call(host, '/query/1', { body: 'q', headers: streamHeaders })).toMatchObject({ body: allEvents(3), isWhole: true })
})

test('a stream whose engine falls silent is left to it where no other engine could go on', async () => {
  const engine = await world.endpoint('engines')
  engine.handleWith((_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
    response.write(event(1))
    setTimeout(() => { response.end(event(2)) }, 1_200)
  })
  const host = await readyHost()
  const answer = await world.call(host, '/query/1', { body: 'q', headers: streamHeaders })
  expect(answer).toMatchObject({ status: 200, body: allEvents(2), isWhole: true })
  expect(engine.received).toHaveLength(1)
})

test('a stream that nobody can carry on does not look whole', async () => {
  const engine = await world.endpoint('engines')
  engine.handleWith((_request, response) => {
    response.writeHead(200, { confidence: 90 })
    response.write(event(1))
    setTimeout(() => response.socket?.resetAndDestroy(), 20)
  })
  const host = await readyHost()
  const answer = await world.call(host, '/query/1', { body: 'q', headers: streamHeaders })
  expect(answer.isWhole).toBe(false)
})

test('an answer that its model does not trust is dropped for the largest model\'s, and the caller sees only that', async () => {
  const engine = await world.endpoint('engines')
  const second = await world.endpoint('engines')
  for (const each of [engine, second]) each.handleWith((request, response) => streaming(3, request.headers.model === 'large' ? 80 : 10)(request, response))
  const host = await readyHost()
  const answer = await world.call(host, '/query/1', { body: 'q', headers: streamHeaders })
  expect(answer).toMatchObject({ body: allEvents(3), isWhole: true })
  expect(answer.headers.confidence).toBe('80')
  expect([...engine.received, ...second.received].map(received => received.headers.model).sort()).toEqual(['large', 'small'])
})

test('a run is given up soon after its caller has left', async () => {
  const engine = await world.endpoint('engines')
  engine.handleWith((_request, response) => {
    response.writeHead(200, { confidence: 90 })
    response.write(event(1))
  })
  const host = await readyHost()
  const leaving = new AbortController()
  const call = world.call(host, '/query/1', { body: 'q', headers: streamHeaders, signal: leaving.signal }).catch(() => undefined)
  await until(() => engine.received.length === 1)
  leaving.abort()
  await call
  await until(() => engine.received[0]?.isAborted === true)
  expect(engine.received).toHaveLength(1)
})

test('half a request reaches no endpoint', async () => {
  const ledger = await world.endpoint('ledger')
  const host = await readyHost()
  const socket = connect(8227, host)
  socket.write('POST /release/1 HTTP/1.1\r\nhost: desk.example\r\nattempt-id: half\r\nauthorization: Bearer good-key\r\ncontent-length: 10\r\n\r\nhalf')
  await new Promise(resolve => setTimeout(resolve, 100))
  socket.destroy()
  expect((await world.call(host, '/release/2', { body: 'x' })).status).toBe(200)
  expect(ledger.received.map(received => received.path)).toEqual(['/release/2'])
})

test('a body over the limit, a malformed head and one without an identity are refused and reach no endpoint', async () => {
  const ledger = await world.endpoint('ledger')
  const host = await readyHost()
  expect((await world.call(host, '/release/1', { body: 'x'.repeat(70_000) })).status).toBe(413)
  expect((await world.call(host, '/release/1', { body: 'x'.repeat(70_000), headers: { 'transfer-encoding': 'chunked' } })).status).toBe(413)
  expect((await world.call(host, '/release/1', { headers: { 'deadline-ms': 'soon' } })).status).toBe(400)
  expect((await world.call(host, '/query/1', { headers: { ...streamHeaders, 'prefix-hash': 'zz' } })).status).toBe(400)
  expect((await world.call(host, '/release/1', { headers: { 'x-large': 'y'.repeat(17_000) } })).status).toBe(431)
  expect(ledger.received).toHaveLength(0)
})

test('rows that can not be read name no endpoint, and the others serve', async () => {
  world.store.putText('servers', 'i-bad', 'not json')
  world.store.put('servers', 'i-odd', { backend: 'ledger', address: 'nowhere', state: 'asleep' })
  const ledger = await world.endpoint('ledger')
  const host = await readyHost()
  expect((await world.call(host, '/release/1')).status).toBe(200)
  expect(ledger.received).toHaveLength(1)
})

test('a configuration that can not be read changes nothing', async () => {
  await world.endpoint('ledger')
  const host = await readyHost()
  world.store.put('op', 'config', { version: 2, routes: 'none' })
  await new Promise(resolve => setTimeout(resolve, 100))
  expect((await world.call(host, '/release/1')).status).toBe(200)
})

test('a key that is taken away is refused soon, and an older configuration never comes back', async () => {
  await world.endpoint('ledger')
  const host = await readyHost()
  world.configure(5, { tenants: [{ name: 'harbour', api_keys: ['new-key'] }] })
  await until(async () => (await world.call(host, '/release/1')).status === 401)
  world.configure(3)
  await new Promise(resolve => setTimeout(resolve, 100))
  expect((await world.call(host, '/release/1')).status).toBe(401)
})

test('an endpoint that says it leaves gets nothing more', async () => {
  const [leaving, staying] = [await world.endpoint('ledger'), await world.endpoint('ledger')]
  const host = await readyHost()
  const row = world.store.read('servers', leaving.identity) as Record<string, unknown>
  world.store.put('servers', leaving.identity, { ...row, state: 'draining', seq_no: 2 })
  await new Promise(resolve => setTimeout(resolve, 150))
  const before = leaving.received.length
  for (let index = 0; index < 6; index++) await world.call(host, '/release/1')
  expect(leaving.received).toHaveLength(before)
  expect(staying.received.length).toBeGreaterThanOrEqual(6)
})

test('a gateway that the store turns away learns of a change from a peer', async () => {
  await world.endpoint('ledger')
  world.configure(1)
  const first = await world.forwarder()
  await world.ready(first)
  const door = await world.store.addListener('127.0.0.1')
  const second = await world.forwarder({ seeds: [`${first}:8229`], storeAddress: door.address })
  await world.ready(second)
  await new Promise(resolve => setTimeout(resolve, 200))
  door.fault = 'busy'
  world.configure(2, { tenants: [{ name: 'harbour', api_keys: ['new-key'] }] })
  await until(async () => (await world.call(second, '/release/1')).status === 401)
}, 30_000)

test('an order to roll out is answered by a status, and no daemon\'s lost answer makes two', async () => {
  await readyHost()
  await world.endpoint('engines')
  await world.endpoint('engines', { version: 'v2' })
  world.store.put('op', 'rollout/engines', { backend: 'engines', to: 'v2', duration_s: 3 })
  world.store.injectFault('answers_lost')
  await until(() => (world.store.read('status', 'rollout/engines') as { state?: string } | undefined)?.state === 'in_progress')
  world.store.injectFault('none')
  await until(() => (world.store.read('status', 'rollout/engines') as { state: string }).state === 'complete')
  expect(world.store.read('status', 'rollout/engines')).toMatchObject({ to: 'v2' })
}, 30_000)

test('a session that one gateway served before a roll-out stays on the old version at every gateway', async () => {
  const old = await world.endpoint('ledger')
  const first = await readyHost()
  const second = await readyHost()
  const sessions = Array.from({ length: 60 }, (_, index) => `session-${index}`)
  const callAll = async (host: string) => await Promise.all(sessions.map(session => world.call(host, '/release/1', { headers: { session } })))
  await callAll(first)
  const fresh = await world.endpoint('ledger', { version: 'v2' })
  world.store.put('op', 'rollout/ledger', { backend: 'ledger', to: 'v2', duration_s: 40 })
  await until(() => world.store.read('status', `pins/ledger/edge-${first}`) !== undefined)
  await new Promise(resolve => setTimeout(resolve, 300))
  await callAll(second)
  expect(fresh.received).toEqual([])
  expect(old.received.length).toBe(2 * sessions.length)
  const later = Array.from({ length: 60 }, (_, index) => `later-${index}`)
  for (const session of later) await world.call(second, '/release/1', { headers: { session } })
  expect(fresh.received.length).toBeGreaterThan(0)
}, 30_000)

test('a session whose gateway stopped as planned before a roll-out stays on the old version at the others', async () => {
  await world.endpoint('ledger')
  const first = await readyHost()
  const second = await readyHost()
  const sessions = Array.from({ length: 60 }, (_, index) => `session-${index}`)
  const callAll = async (host: string) => await Promise.all(sessions.map(session => world.call(host, '/release/1', { headers: { session } })))
  await callAll(first)
  await world.forwarderAt(first).stop()
  const fresh = await world.endpoint('ledger', { version: 'v2' })
  world.store.put('op', 'rollout/ledger', { backend: 'ledger', to: 'v2', duration_s: 40 })
  await until(() => world.store.read('status', 'rollout/ledger') !== undefined)
  await new Promise(resolve => setTimeout(resolve, 300))
  await callAll(second)
  expect(fresh.received).toEqual([])
}, 30_000)

test('a planned stop lets a running request end, tells callers to close and is not ready meanwhile', async () => {
  const ledger = await world.endpoint('ledger')
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), 500) })
  const host = await readyHost({ graceSeconds: 4 })
  const running = world.call(host, '/release/1')
  await until(() => ledger.received.length === 1)
  const stopped = world.forwarderAt(host).stop()
  expect(await world.get(`http://${host}:8220/v1/readyz`)).toBe(503)
  expect(await running).toMatchObject({ status: 200, body: 'done' })
  const late = await world.call(host, '/release/2')
  expect(late.status).toBe(200)
  expect(late.headers.connection).toBe('close')
  await stopped
}, 30_000)

test('a connection on which nothing was sent is closed in a planned stop, so that no request comes on it late', async () => {
  const ledger = await world.endpoint('ledger')
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), 3_200) })
  const host = await readyHost({ graceSeconds: 6 })
  world.configure(2, { routes: [{ name: 'long', hostname: 'desk.example', prefix: '/release/', route_type: 'non_idempotent', timeout_ms: 5_000, target_latency_ms: 400, backend: 'ledger' }] })
  await until(async () => (await world.call(host, '/balance/1', { method: 'GET' })).status === 404)
  const unused = connect(8227, host)
  await new Promise(resolve => unused.once('connect', resolve))
  let hasEnded = false
  const running = world.call(host, '/release/1', { headers: { 'deadline-ms': '5000' } }).finally(() => { hasEnded = true })
  await until(() => ledger.received.length === 1)
  const stopped = world.forwarderAt(host).stop()
  await new Promise(resolve => unused.once('close', resolve))
  expect(hasEnded).toBe(false)
  expect(await running).toMatchObject({ status: 200, body: 'done' })
  await stopped
}, 30_000)
