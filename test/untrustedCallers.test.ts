import { once } from 'node:events'
import { request as httpRequest } from 'node:http'
import { Worker } from 'node:worker_threads'
import { afterAll, afterEach, beforeAll, beforeEach, expect, test } from 'vitest'
import { configurationDocument } from '../platform/standin/index.ts'
import { ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'
import { GatewayProcess, allocateProcessHost, buildProgram, removeProgram } from './fakes/gatewayProcess.ts'

/** The smallest VM of a deployment. */
const memoryBytes = 210_000_000
const limits = { memory_mb: 210, max_fds: 2_212, link_mbps: 1_000 }
const maximumBodyBytes = 4 * 1024 * 1024
const callerPort = 8227
const operationsPort = 8220
const pressMilliseconds = 5_000
const ordinaryIntervalMilliseconds = 50

let directory: string
let harness: ForwarderHarness
let gateway: GatewayProcess

beforeAll(() => { directory = buildProgram() }, 60_000)
afterAll(() => removeProgram(directory))
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  await harness.startEndpoint('ledger')
  harness.putConfiguration(1, { limits: { ...configurationDocument(1).limits, max_body_bytes: maximumBodyBytes } })
  gateway = new GatewayProcess(directory, allocateProcessHost(), harness.store.address, limits)
  await harness.waitUntilReady(gateway.host)
})
afterEach(async () => {
  await gateway.stop(3_000)
  await harness.close()
})

interface Crowd {
  readonly kind: string
  readonly count: number
  readonly path?: string
  readonly port?: number
}

/** Lets callers misbehave in a thread of their own; resolves when they have gone. */
async function press (...crowds: readonly Crowd[]): Promise<void> {
  const worker = new Worker(new URL('./fakes/crowd.mjs', import.meta.url), {
    workerData: { host: gateway.host, milliseconds: pressMilliseconds, crowds: crowds.map(crowd => ({ path: '/release/1', port: callerPort, ...crowd })) }
  })
  await once(worker, 'message')
  await worker.terminate()
}

interface OrdinaryCalls {
  readonly servedShare: number
  /** The time that 19 of 20 calls keep. */
  readonly milliseconds: number
}

async function callOrdinarily (): Promise<OrdinaryCalls> {
  const endsAt = performance.now() + pressMilliseconds
  const calls: Promise<{ readonly isServed: boolean, readonly milliseconds: number }>[] = []
  while (performance.now() < endsAt) {
    const startedAt = performance.now()
    const call = harness.call(gateway.host, `/release/${calls.length}`, { body: 'x'.repeat(600) })
    calls.push(call.then(({ status }) => ({ isServed: status === 200, milliseconds: performance.now() - startedAt }), () => ({ isServed: false, milliseconds: performance.now() - startedAt })))
    await new Promise(resolve => setTimeout(resolve, ordinaryIntervalMilliseconds))
  }
  const outcomes = await Promise.all(calls)
  const times = outcomes.map(({ milliseconds }) => milliseconds).sort((left, right) => left - right)
  return { servedShare: outcomes.filter(({ isServed }) => isServed).length / outcomes.length, milliseconds: times[Math.floor(times.length * 0.95)]! }
}

/** Everything that must hold while callers misbehave. */
async function expectToHold (crowd: Promise<void>): Promise<void> {
  const [ordinary] = await Promise.all([callOrdinarily(), crowd])
  expect(gateway.isRunning).toBe(true)
  expect(gateway.peakMemoryBytes).toBeLessThan(memoryBytes)
  expect(ordinary.servedShare).toBeGreaterThanOrEqual(0.95)
  if (process.env.LAVENDERDOOR_SHOW_TIMES !== undefined) console.log(JSON.stringify({ ...ordinary, peakBytes: gateway.peakMemoryBytes }))
  await waitUntil(async () => (await harness.fetchStatus(`http://${gateway.host}:${operationsPort}/v1/readyz`)) === 200)
}

test.each(['/release/1', '/query/1', '/nowhere', '/v1/readyz'])('many bodies of legal size at %s that stop one byte short end no process and hold up nobody', async path => {
  await expectToHold(press({ kind: 'bodyOneByteShort', count: 150, path }))
}, 30_000)

test('the same bodies at the readiness check', async () => {
  await expectToHold(press({ kind: 'bodyOneByteShort', count: 150, path: '/v1/readyz', port: operationsPort }))
}, 30_000)

test('bodies in chunks of single bytes', async () => {
  await expectToHold(press({ kind: 'bodyInSingleBytes', count: 40 }))
}, 30_000)

test('bodies far over the limit, with a length and in chunks', async () => {
  await expectToHold(press({ kind: 'bodyOverLimit', count: 30 }, { kind: 'bodyInEndlessChunks', count: 30 }))
}, 30_000)

test('requests of legal size made of very many short fields, whole and cut short', async () => {
  await expectToHold(press({ kind: 'manyFields', count: 150 }, { kind: 'manyFieldsCutShort', count: 400 }))
}, 30_000)

test.each(['/release/1', '/nowhere'])('many requests sent ahead on one connection to %s whose answers are not read', async path => {
  await expectToHold(press({ kind: 'requestsAhead', count: 60, path }))
}, 30_000)

test('a crowd larger than the descriptors that sends heads byte by byte', async () => {
  await expectToHold(press({ kind: 'slowHead', count: 1_500 }))
}, 30_000)

test('a crowd larger than the descriptors at the readiness check leaves it to the load balancer', async () => {
  await expectToHold(press({ kind: 'slowHead', count: 1_500, path: '/v1/readyz', port: operationsPort }))
}, 30_000)

test('a single request of the largest body, in chunks of single bytes or of very many short fields is served in calm', async () => {
  expect((await harness.call(gateway.host, '/release/1', { body: 'x'.repeat(maximumBodyBytes) })).status).toBe(200)
  const headers = Object.fromEntries(Array.from({ length: 900 }, (_, index) => [`f${index.toString(36)}`, '']))
  expect((await harness.call(gateway.host, '/release/2', { body: 'x', headers })).status).toBe(200)
  const chunked = httpRequest({ host: gateway.host, port: callerPort, path: '/release/3', method: 'POST', headers: { host: 'desk.example', authorization: 'Bearer good-key', 'attempt-id': 'a-3', 'deadline-ms': '20000', 'transfer-encoding': 'chunked' } })
  for (let index = 0; index < 20_000; index++) chunked.write('x')
  chunked.end()
  const [response] = await once(chunked, 'response')
  expect(response.statusCode).toBe(200)
}, 30_000)

test('a planned stop ends in its time while callers misbehave', async () => {
  const crowd = press({ kind: 'bodyOneByteShort', count: 100 })
  await new Promise(resolve => setTimeout(resolve, 1_000))
  expect(await gateway.stop(2_500)).toBe(true)
  await crowd
}, 30_000)
