/** Tests the stand-ins as trials use them: through the daemon's clients and by their own records. */
import { afterEach, expect, test } from 'vitest'
import { Priority, SeededRandomness } from '../src/contract/index.ts'
import { type EngineCall, type EngineEvent, DeliveryState } from '../src/endpoint/index.ts'
import { HttpRatingService } from '../src/store/index.ts'
import { isCompleteAnswer, startEngine, startPlatform, startService, trueScore, type StandIn } from '../src/standin/index.ts'
import { closeStandIns, clock, engineClient, serviceClient, closeAfterTest, endpointAt } from './fakes/runningStandIns.ts'

const neverAborted = new AbortController().signal

afterEach(closeStandIns)

function callFor (request: string, extra = 'tokens=12'): EngineCall {
  return {
    attemptId: `${request}-1`,
    version: 'small@1',
    messages: [{ role: 'user', content: `kind=tagging difficulty=0.6 request=${request} ${extra}` }],
    maximumTokens: 400,
    priority: Priority.Normal,
    prefixKey: 'p',
    traceParent: undefined
  }
}

async function collect (events: AsyncIterable<EngineEvent>): Promise<{ text: string, last: EngineEvent | undefined }> {
  let text = ''
  let last: EngineEvent | undefined
  for await (const event of events) {
    if (event.type === 'chunk') text += event.chunk.text
    last = event
  }
  return { text, last }
}

function post (standIn: StandIn, path: string, value: unknown = {}): Promise<Response> {
  return fetch(`http://${standIn.address}${path}`, { method: 'POST', body: JSON.stringify(value) })
}

async function fetchRecords (standIn: StandIn): Promise<Array<Record<string, unknown>>> {
  return await (await fetch(`http://${standIn.address}/records`)).json() as Array<Record<string, unknown>>
}

test('an engine gives a complete answer and records it as such', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const { text, last } = await collect(engineClient.generate(endpointAt(engine), callFor('r1'), neverAborted))
  expect(last).toMatchObject({ type: 'finish', finish: { reason: 'stop', usage: { completionTokens: 12 } } })
  expect(isCompleteAnswer(text, 'r1')).toBe(true)
  expect(isCompleteAnswer(text, 'r2')).toBe(false)
  expect(isCompleteAnswer(text.slice(0, -4), 'r1')).toBe(false)
  expect(await fetchRecords(engine)).toMatchObject([{ attemptId: 'r1-1', request: 'r1', wholly: true, tokens: 12 }])
})

test('an engine answers a request without streaming in the OpenAI format', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const response = await post(engine, '/v1/chat/completions', { model: 'small@1', messages: [{ role: 'user', content: 'request=r tokens=3' }] })
  expect(await response.json()).toMatchObject({ object: 'chat.completion', choices: [{ message: { role: 'assistant' }, finish_reason: 'stop' }], usage: { completion_tokens: 3 } })
})

test('a request for a version that is not loaded is rejected before it runs, and an order loads the version', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: [], loadMilliseconds: 1 }))
  const endpoint = endpointAt(engine)
  const refused = await collect(engineClient.generate(endpoint, callFor('r1'), neverAborted))
  expect(refused.last).toMatchObject({ type: 'failure', failure: { delivery: DeliveryState.Rejected } })
  expect((await engineClient.order(endpoint, { fencing: 2, action: 'load', version: 'small@1' }, neverAborted)).ok).toBe(true)
  expect((await engineClient.report(endpoint, neverAborted)).unwrap().versions).toEqual(['small@1'])
  const outdated = await engineClient.order(endpoint, { fencing: 1, action: 'unload', version: 'small@1' }, neverAborted)
  expect(outdated.val).toMatchObject({ delivery: DeliveryState.Rejected })
})

test('an engine that ignores fencing executes an outdated order', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'], checksFencing: false, loadMilliseconds: 1 }))
  const endpoint = endpointAt(engine)
  await engineClient.order(endpoint, { fencing: 2, action: 'load', version: 'small@1' }, neverAborted)
  expect((await engineClient.order(endpoint, { fencing: 1, action: 'unload', version: 'small@1' }, neverAborted)).ok).toBe(true)
})

test('more urgent requests leave the queue first', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'], streamLimit: 1 }))
  const endpoint = endpointAt(engine)
  const first = collect(engineClient.generate(endpoint, callFor('first', 'tokens=40'), neverAborted))
  while ((await engineClient.report(endpoint, neverAborted)).unwrap().running === 0) await clock.sleep(2)
  const background = collect(engineClient.generate(endpoint, { ...callFor('background'), priority: Priority.Background }, neverAborted))
  while ((await engineClient.report(endpoint, neverAborted)).unwrap().queued === 0) await clock.sleep(2)
  const interactive = collect(engineClient.generate(endpoint, { ...callFor('interactive'), priority: Priority.Interactive }, neverAborted))
  await Promise.all([first, background, interactive])
  const runs = await fetchRecords(engine)
  const order = runs.sort((left, right) => Number(left.startedAt) - Number(right.startedAt)).map(run => run.request)
  expect(order).toEqual(['first', 'interactive', 'background'])
})

test('cached prefixes are counted and can be exported and imported', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  await fetch(`http://${engine.address}/kv/p`, { method: 'PUT', body: JSON.stringify({ tokens: 5 }) })
  const { last } = await collect(engineClient.generate(endpointAt(engine), callFor('r1'), neverAborted))
  expect(last).toMatchObject({ finish: { usage: { cachedPromptTokens: 5 } } })
  expect(await (await fetch(`http://${engine.address}/kv/p`)).json()).toMatchObject({ tokens: 12 })
})

test('a bad version scores lower, and a rating returns the score with noise', async () => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const platform = await closeAfterTest(startPlatform({ listen: '127.0.0.1:0', randomness: new SeededRandomness(3), medianRatingMilliseconds: 1, ratingNoise: 1 }))
  const ratings = new HttpRatingService({ clock, address: platform.address, timeoutMilliseconds: 5_000 })
  const prompt = callFor('r').messages[0]?.content ?? ''
  const good = await collect(engineClient.generate(endpointAt(engine), callFor('good'), neverAborted))
  await post(engine, '/faults', { fault: 'bad_version', version: 'small@1', points: 20 })
  const bad = await collect(engineClient.generate(endpointAt(engine), callFor('bad'), neverAborted))
  expect(trueScore(prompt, good.text) - trueScore(prompt, bad.text)).toBeCloseTo(20, 0)
  const rating = (await ratings.rate({ organisation: 'o', kind: 'tagging', prompt, answer: bad.text })).unwrap()
  expect(Math.abs(rating - trueScore(prompt, bad.text))).toBeLessThan(6)
  await ratings.close()
})

test('a service without deduplication runs a repeated key again and records both runs', async () => {
  const service = await closeAfterTest(startService({ listen: '127.0.0.1:0', name: 'ledger' }))
  const refund = { method: 'POST', path: '/refunds', contentType: 'application/json', body: Buffer.from('{"amount":5}'), idempotencyKey: 'k1', traceParent: undefined }
  expect((await serviceClient.lookUpRun(endpointAt(service), 'k1', neverAborted)).unwrap()).toBe('not_run')
  const first = (await serviceClient.call(endpointAt(service), refund, () => true, neverAborted)).unwrap()
  await serviceClient.call(endpointAt(service), refund, () => true, neverAborted)
  expect(await fetchRecords(service)).toMatchObject([{ idempotencyKey: 'k1' }, { idempotencyKey: 'k1' }])
  expect((await serviceClient.lookUpRun(endpointAt(service), 'k1', neverAborted)).unwrap()).toMatchObject({ status: 201, body: Buffer.from(first.body) })
})

test('a service with deduplication repeats its reply, and one without run lookup says so', async () => {
  const service = await closeAfterTest(startService({ listen: '127.0.0.1:0', name: 'ledger', deduplicates: true, supportsRunLookup: false }))
  const release = { method: 'POST', path: '/releases', contentType: undefined, body: undefined, idempotencyKey: 'k1', traceParent: undefined }
  const first = (await serviceClient.call(endpointAt(service), release, () => true, neverAborted)).unwrap()
  const second = (await serviceClient.call(endpointAt(service), release, () => true, neverAborted)).unwrap()
  expect(second.body).toEqual(first.body)
  expect(await fetchRecords(service)).toHaveLength(1)
  expect((await serviceClient.lookUpRun(endpointAt(service), 'k1', neverAborted)).unwrap()).toBeUndefined()
})
