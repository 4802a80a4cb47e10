import { connect } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Ok, Refusal, RefusalCode, RunState, SystemClock } from '../src/contract/index.ts'
import { TableFault } from './fakes/faultyTableService.ts'
import { EntryHarness, guidesKey } from './fakes/entryWorld.ts'
import { FakeServiceClient, ServiceFault } from './fakes/fakeServiceClient.ts'

let harness: EntryHarness

beforeEach(async () => { harness = await EntryHarness.start() })
afterEach(async () => { await harness.close() })

function chatRequest (request: string, overrides: Record<string, unknown> = {}) {
  return { model: 'auto', messages: [{ role: 'user', content: `kind=lookup tokens=8 request=${request}` }], ...overrides }
}

function requestRefund (key: string, body: unknown = { amount: 40 }) {
  return harness.call('/v1/services/ledger/refunds', { body, headers: { 'idempotency-key': key } })
}

async function errorOf (response: Response): Promise<{ code: string, run: string, message: string }> {
  return (await response.json() as { error: { code: string, run: string, message: string } }).error
}

test('an answered request is billed once, with its own id', async () => {
  const response = await harness.call('/v1/chat/completions', { body: chatRequest('r1') })
  expect(response.status).toBe(200)
  expect(harness.billEntries.map(bill => bill.id)).toEqual([response.headers.get('x-request-id')])
})

test('a malformed body is refused with its faults and reaches no engine', async () => {
  const response = await harness.call('/v1/chat/completions', { body: { model: 'auto', messages: [{ role: 'nobody', content: 3 }] } })
  expect(response.status).toBe(400)
  expect((await errorOf(response)).message).toContain('messages.0.role')
  expect(await harness.engineRuns()).toEqual([])
})

test('a body that is not JSON or exceeds the size limit is refused as not run', async () => {
  const malformed = await harness.call('/v1/chat/completions', { body: '{"model": ' })
  const large = await harness.call('/v1/chat/completions', { body: chatRequest('x'.repeat(70_000)) })
  expect([malformed.status, large.status]).toEqual([400, 413])
  expect((await errorOf(large)).run).toBe('not_run')
})

test('a request that is not HTTP gets a 400 response with the run state not_run', async () => {
  const [host, port] = harness.address.split(':')
  const text = await new Promise<string>(resolve => {
    const socket = connect(Number(port), host, () => socket.write('nonsense\r\n\r\n'))
    let received = ''
    socket.on('data', part => { received += String(part) })
    socket.on('close', () => resolve(received))
  })
  expect(text).toContain('400 Bad Request')
  expect(text).toContain('"run":"not_run"')
})

test('a session keeps its version while a roll-out advances', async () => {
  const rollOut = (share: number) => harness.settingsText().replace('[models.large]', `[models.small.roll_out]\nfrom = "1"\nto = "2"\nshare = ${share}\n[models.large]`)
  harness.settings.install(rollOut(0))
  const first = await harness.call('/v1/chat/completions', { body: chatRequest('turn-1'), headers: { 'x-lavenderdoor-session': 'new' } })
  harness.settings.install(rollOut(1))
  const second = await harness.call('/v1/chat/completions', { body: chatRequest('turn-2'), headers: { 'x-lavenderdoor-session': first.headers.get('x-lavenderdoor-session') ?? '' } })
  const fresh = await harness.call('/v1/chat/completions', { body: chatRequest('fresh') })
  expect([first, second, fresh].map(response => response.headers.get('x-lavenderdoor-version'))).toEqual(['small@1', 'small@1', 'small@2'])
})

test('a session whose version was withdrawn is refused as not run with its own error code', async () => {
  const first = await harness.call('/v1/chat/completions', { body: chatRequest('turn-1'), headers: { 'x-lavenderdoor-session': 'new' } })
  harness.settings.install(harness.settingsText().replace('[models.small.versions.1]', '[models.small.versions.1]\nstate = "withdrawn"'))
  const second = await harness.call('/v1/chat/completions', { body: chatRequest('turn-2'), headers: { 'x-lavenderdoor-session': first.headers.get('x-lavenderdoor-session') ?? '' } })
  expect(second.status).toBe(410)
  expect(await errorOf(second)).toMatchObject({ code: 'session_version_withdrawn', run: 'not_run' })
})

test('a session of another organisation is refused', async () => {
  const first = await harness.call('/v1/chat/completions', { body: chatRequest('turn-1'), headers: { 'x-lavenderdoor-session': 'new' } })
  const otherOrganisation = await harness.call('/v1/chat/completions', { body: chatRequest('turn-2'), key: guidesKey, headers: { 'x-lavenderdoor-session': first.headers.get('x-lavenderdoor-session') ?? '' } })
  expect(await errorOf(otherOrganisation)).toMatchObject({ code: 'invalid_session', run: 'not_run' })
})

test('a refund runs once, and its repeat gets the same answer', async () => {
  const answers = [await requestRefund('refund-1'), await requestRefund('refund-1')]
  expect(answers.map(answer => answer.status)).toEqual([201, 201])
  const [first, second] = await Promise.all(answers.map(answer => answer.text()))
  expect(second).toBe(first)
  expect(await harness.serviceRuns()).toHaveLength(1)
})

test('a refund without an idempotency key is refused, and so is one whose key was used with another body', async () => {
  const withoutKey = await harness.call('/v1/services/ledger/refunds', { body: { amount: 1 } })
  await requestRefund('refund-2')
  const other = await requestRefund('refund-2', { amount: 41 })
  expect([withoutKey.status, other.status]).toEqual([400, 422])
  expect(await harness.serviceRuns()).toHaveLength(1)
})

test('while the store is down a refund is refused as not run, and a balance can still be read', async () => {
  harness.table.script = () => ({ fault: TableFault.Down })
  const refused = await requestRefund('refund-3')
  expect(refused.headers.get('retry-after')).not.toBeNull()
  expect(await errorOf(refused)).toMatchObject({ code: 'store_unavailable', run: 'not_run' })
  expect((await harness.call('/v1/services/ledger/balances/deposit-7')).status).toBe(200)
  expect((await harness.serviceRuns()).filter(run => run.idempotencyKey !== undefined)).toEqual([])
})

test('a refund whose reply was lost has an unknown outcome first and is then answered from the record of the service', async () => {
  await harness.injectFault('service', { fault: 'drop_reply' })
  const first = await requestRefund('refund-4')
  expect(await errorOf(first)).toMatchObject({ code: 'outcome_unknown', run: 'unknown' })
  const repeat = await requestRefund('refund-4')
  expect(repeat.status).toBe(201)
  expect(await harness.serviceRuns()).toHaveLength(1)
})

test('two concurrent refunds with the same key run once', async () => {
  const responses = await Promise.all([requestRefund('refund-5'), requestRefund('refund-5')])
  expect(responses.map(answer => answer.status).sort()).toEqual([201, 409])
  expect(await harness.serviceRuns()).toHaveLength(1)
})

test('a stopping daemon refuses new requests and completes those in flight', async () => {
  const running = harness.call('/v1/chat/completions', { body: chatRequest('long', { messages: [{ role: 'user', content: 'tokens=60 request=long' }] }) })
  while (harness.drain.requestsInFlight === 0) await new Promise(resolve => setTimeout(resolve, 5))
  harness.drain.begin()
  const refused = await harness.call('/v1/chat/completions', { body: chatRequest('late') })
  expect(await errorOf(refused)).toMatchObject({ code: 'stopping', run: 'not_run' })
  expect((await running).status).toBe(200)
  await harness.drain.waitUntilEmpty()
  expect(harness.drain.requestsInFlight).toBe(0)
})

test('a caller that disconnects cancels its stream at the engine', async () => {
  const leaving = new AbortController()
  const response = await fetch(`http://${harness.address}/v1/chat/completions`, {
    method: 'POST',
    signal: leaving.signal,
    headers: { authorization: 'Bearer key-of-harbour', 'content-type': 'application/json' },
    body: JSON.stringify(chatRequest('left', { stream: true, messages: [{ role: 'user', content: 'tokens=2000 request=left' }], max_tokens: 2000 }))
  })
  await response.body?.getReader().read()
  leaving.abort()
  await harness.drain.waitUntilEmpty()
  await expect.poll(async () => (await harness.engineRuns()).map(run => run.finishedAt !== undefined && !run.wholly)).toEqual([true])
  expect(harness.billEntries).toEqual([])
})

test('an engine that is leaving gets no new requests', async () => {
  harness.leavingEndpoints.add('engine-1')
  const refused = await harness.call('/v1/chat/completions', { body: chatRequest('r1') })
  expect(await errorOf(refused)).toMatchObject({ run: 'not_run' })
  expect(await harness.engineRuns()).toEqual([])
})

test('a refusal after a step of a cascade has run is not reported as not run', async () => {
  await harness.close()
  harness = await EntryHarness.start({
    plan: () => Ok({ steps: [{ version: 'small@1', releaseAtRating: 100, rateAfterwards: false }, { version: 'small@9', releaseAtRating: undefined, rateAfterwards: false }] }),
    observeRating: () => {},
    observeRatingFailure: () => {}
  })
  const refused = await harness.call('/v1/chat/completions', { body: chatRequest('cascade') })
  expect(await errorOf(refused)).toMatchObject({ run: 'ran' })
  expect((await harness.engineRuns()).map(run => run.request)).toEqual(['cascade'])
})

test('a lookup whose first attempt may have run is never refused as not run', async () => {
  await harness.injectFault('service', { fault: 'freeze', milliseconds: 3_000 })
  const refused = await harness.call('/v1/services/ledger/balances/deposit-7')
  expect(refused.status).toBe(502)
  expect(await errorOf(refused)).toMatchObject({ code: 'no_endpoint', run: 'unknown' })
})

test.each([408, 421, 429, 503])('a refund that ran and was answered %d, which promises that it was not run, is not handed on as a promise', async status => {
  await harness.injectFault('service', { fault: 'fail_run', status })
  const refused = await requestRefund('refund-6')
  expect(refused.status).toBe(502)
  expect(await errorOf(refused)).toMatchObject({ code: 'endpoint_failed', run: 'unknown' })
  expect((await requestRefund('refund-6')).status).toBe(502)
  expect(await harness.serviceRuns()).toHaveLength(1)
})

test.each(Object.values(RefusalCode))('a refusal as $name of a request that may have run has no status that promises that it was not', code => {
  for (const run of [RunState.Ran, RunState.Unknown]) expect([408, 421, 429, 503]).not.toContain(new Refusal(code, run, 'refused').status)
  expect(new Refusal(code, RunState.NotRun, 'refused').status).toBe(code.status)
})

test('a call that may run again ends at its caller\'s deadline, although its service never does', async () => {
  const services = new FakeServiceClient(new SystemClock())
  services.script = () => ({ fault: ServiceFault.Hang })
  const own = await EntryHarness.start(undefined, undefined, undefined, services)
  const answer = await own.call('/v1/services/ledger/balances/deposit-7', { headers: { 'x-lavenderdoor-timeout-seconds': '0.3' } })
  expect(await errorOf(answer)).toMatchObject({ code: 'deadline_exceeded', run: 'unknown' })
  expect(services.runs).toHaveLength(1)
  await own.close()
})
