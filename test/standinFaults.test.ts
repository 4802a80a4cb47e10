/** Tests the faults that a trial can inject into the stand-ins, by the stand-ins' own records. */
import { afterEach, expect, test } from 'vitest'
import { Priority } from '../src/contract/index.ts'
import { type EngineCall, type EngineEvent, DeliveryState, type ServiceCall } from '../src/endpoint/index.ts'
import { HttpVirtualMachineList } from '../src/store/index.ts'
import { type EngineRun, isCompleteAnswer, type ServiceRun, startEngine, startPlatform, startService, type StandIn } from '../src/standin/index.ts'
import { closeStandIns, clock, engineClient, serviceClient, closeAfterTest, endpointAt } from './fakes/runningStandIns.ts'

const neverAborted = new AbortController().signal

afterEach(closeStandIns)

function post (standIn: StandIn, path: string, value: unknown = {}): Promise<Response> {
  return fetch(`http://${standIn.address}${path}`, { method: 'POST', body: JSON.stringify(value) })
}

async function fetchRecords<Run> (standIn: StandIn): Promise<Run[]> {
  return await (await fetch(`http://${standIn.address}/records`)).json() as Run[]
}

const call: EngineCall = { attemptId: 'a-1', version: 'small@1', messages: [{ role: 'user', content: 'request=r1 tokens=20' }], maximumTokens: 100, priority: Priority.Normal, prefixKey: 'p', traceParent: undefined }
const refund: ServiceCall = { method: 'POST', path: '/refunds', contentType: undefined, body: Buffer.from('{}'), idempotencyKey: 'key-1', traceParent: undefined }

async function collect (events: AsyncIterable<EngineEvent>): Promise<{ text: string, last: EngineEvent | undefined }> {
  let text = ''
  let last: EngineEvent | undefined
  for await (const event of events) {
    if (event.type === 'chunk') text += event.chunk.text
    last = event
  }
  return { text, last }
}

test('a frozen engine sends nothing, not even heartbeats, and continues afterwards', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const frozenAt = clock.now()
  await post(engine, '/faults', { fault: 'freeze', milliseconds: 400 })
  const { text } = await collect(engineClient.generate(endpointAt(engine), call, neverAborted))
  expect(clock.now() - frozenAt).toBeGreaterThan(350)
  expect(isCompleteAnswer(text, 'r1')).toBe(true)
})

test('a slow engine is slower by the given factor and reports it in its load', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  await post(engine, '/faults', { fault: 'slow', factor: 3 })
  const pendingAnswer = collect(engineClient.generate(endpointAt(engine), call, neverAborted))
  let tokenIntervalMilliseconds = 0
  while (tokenIntervalMilliseconds === 0) tokenIntervalMilliseconds = (await engineClient.report(endpointAt(engine), neverAborted)).unwrap().betweenTokensMilliseconds
  expect(tokenIntervalMilliseconds).toBeCloseTo(3 * 6.15)
  expect((await pendingAnswer).last?.type).toBe('finish')
})

test('a killed engine loses its streams, refuses connections and comes back', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const events = engineClient.generate(endpointAt(engine), { ...call, messages: [{ role: 'user', content: 'request=r1 tokens=4000' }], maximumTokens: 4_000 }, neverAborted)[Symbol.asyncIterator]()
  await events.next()
  await post(engine, '/faults', { fault: 'die', milliseconds: 300 })
  for (let step = await events.next(); step.done !== true; step = await events.next()) {
    if (step.value.type === 'failure') expect(step.value.failure.delivery).toBe(DeliveryState.PossiblySent)
  }
  let isReachable = false
  while (!isReachable) isReachable = (await engineClient.report(endpointAt(engine), neverAborted)).ok
  expect(await fetchRecords<EngineRun>(engine)).toMatchObject([{ wholly: false }])
  expect((await collect(engineClient.generate(endpointAt(engine), { ...call, attemptId: 'a-2' }, neverAborted))).last?.type).toBe('finish')
})

test('a stream that is no longer read is cancelled after a while', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'], detachedTimeoutMilliseconds: 50 }))
  const cancellation = new AbortController()
  const response = await fetch(`http://${engine.address}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'x-attempt-id': 'a-9' },
    body: JSON.stringify({ model: 'small@1', stream: true, max_tokens: 4_000, messages: [{ role: 'user', content: 'tokens=4000' }] }),
    signal: cancellation.signal
  })
  expect(response.status).toBe(200)
  cancellation.abort()
  let run = (await fetchRecords<EngineRun>(engine))[0]
  while (run?.finishedAt === undefined) run = (await fetchRecords<EngineRun>(engine))[0]
  expect(run).toMatchObject({ attemptId: 'a-9', wholly: false })
})

test('a leaving engine reports it and marks the requests that it still accepts', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  await post(engine, '/leave')
  expect((await engineClient.report(endpointAt(engine), neverAborted)).unwrap().leaving).toBe(true)
  await collect(engineClient.generate(endpointAt(engine), call, neverAborted))
  expect(await fetchRecords<EngineRun>(engine)).toMatchObject([{ takenWhileLeaving: true, wholly: true }])
})

test('a service that loses a request has not run it', async () => {
  const service = await closeAfterTest(startService({ listen: '127.0.0.1:0', name: 'ledger' }))
  await post(service, '/faults', { fault: 'drop_request' })
  expect((await serviceClient.call(endpointAt(service), refund, () => true, neverAborted)).val).toMatchObject({ delivery: DeliveryState.PossiblySent })
  expect((await serviceClient.lookUpRun(endpointAt(service), 'key-1', neverAborted)).unwrap()).toBe('not_run')
  expect((await serviceClient.call(endpointAt(service), refund, () => true, neverAborted)).ok).toBe(true)
  expect(await fetchRecords<ServiceRun>(service)).toHaveLength(1)
})

test('a killed service refuses connections until it is back', async () => {
  const service = await closeAfterTest(startService({ listen: '127.0.0.1:0', name: 'ledger' }))
  await post(service, '/faults', { fault: 'die', milliseconds: 200 })
  let outcome = await serviceClient.call(endpointAt(service), refund, () => true, neverAborted)
  while (outcome.err) outcome = await serviceClient.call(endpointAt(service), refund, () => true, neverAborted)
  expect(await fetchRecords<ServiceRun>(service)).toHaveLength(1)
})

test('a frozen service answers when it continues', async () => {
  const service = await closeAfterTest(startService({ listen: '127.0.0.1:0', name: 'ledger' }))
  await post(service, '/faults', { fault: 'freeze', milliseconds: 200 })
  expect((await serviceClient.call(endpointAt(service), refund, () => true, neverAborted)).ok).toBe(true)
})

test('the list of VMs shows changes with a delay', async () => {
  const platform = await closeAfterTest(startPlatform({ listen: '127.0.0.1:0', listLagMilliseconds: 300 }))
  const list = new HttpVirtualMachineList({ clock, address: platform.address, timeoutMilliseconds: 5_000 })
  const setAt = clock.now()
  await fetch(`http://${platform.address}/virtual-machines/entry-1`, { method: 'PUT', body: JSON.stringify({ address: '127.0.0.1:1', region: 'r', dataCentre: 'd' }) })
  let machines = (await list.read()).unwrap()
  while (machines.length === 0) machines = (await list.read()).unwrap()
  expect(clock.now() - setAt).toBeGreaterThan(250)
  await list.close()
})

test('the weight store divides its rate among concurrent downloads', async () => {
  const platform = await closeAfterTest(startPlatform({ listen: '127.0.0.1:0', weightBytes: 10_000, weightBytesPerSecond: 100_000 }))
  const startedAt = clock.now()
  const sizes = await Promise.all(['small@1', 'small@2', 'small@3'].map(async version => {
    const response = await fetch(`http://${platform.address}/weights/${version}`)
    return (await response.arrayBuffer()).byteLength
  }))
  expect(sizes).toEqual([10_000, 10_000, 10_000])
  expect(clock.now() - startedAt).toBeGreaterThan(250)
})
