import { readFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Agent, request } from 'undici'
import { verifyBills } from '../src/billing/index.ts'
import { isCompleteAnswer } from '../src/standin/index.ts'
import { apiKey, DaemonHarness, type RunningDaemon } from './fakes/daemonWorld.ts'

let harness: DaemonHarness

beforeEach(async () => { harness = await DaemonHarness.start() })
afterEach(async () => { await harness.close() })

const headers = { authorization: `Bearer ${apiKey}`, 'content-type': 'application/json' }

function chatBody (name: string, overrides: Record<string, unknown> = {}): string {
  return JSON.stringify({ model: 'auto', max_tokens: 400, metadata: { kind: 'lookup' }, messages: [{ role: 'user', content: `kind=lookup tokens=120 request=${name}` }], ...overrides })
}

/** Calls like a client behind a load balancer: a refusal by a stopping daemon or a refused connection moves on to the next daemon. */
async function callThroughBalancer (daemons: readonly RunningDaemon[], path: string, body: string, extraHeaders: Record<string, string> = {}): Promise<{ status: number, text: string }> {
  for (let attempt = 0; ; attempt++) {
    const daemon = daemons[attempt % daemons.length]
    const reply = await fetch(`http://${daemon?.callerAddress}${path}`, { method: 'POST', headers: { ...headers, ...extraHeaders }, body })
      .then(async response => ({ status: response.status, text: await response.text() }), error => ({ status: 0, text: String(error.cause?.code) }))
    const isRetriable = reply.text.includes('"stopping"') || reply.text === 'ECONNREFUSED'
    if (!isRetriable || attempt > 20) return reply
  }
}

test('replacing every VM under load interrupts no request', async () => {
  const initialDaemons = [await harness.startDaemon('entry-1'), await harness.startDaemon('entry-2')]
  const load = { isRunning: true }
  const outcomes: Array<{ name: string, status: number, text: string }> = []
  const runCaller = async (number: number) => {
    for (let turn = 0; load.isRunning; turn++) {
      const name = `r${number}-${turn}`
      const daemons = [...harness.daemons]
      const isRefund = number % 3 === 0
      const reply = isRefund
        ? await callThroughBalancer(daemons, '/v1/services/ledger/refunds', JSON.stringify({ name }), { 'idempotency-key': name })
        : await callThroughBalancer(daemons, '/v1/chat/completions', chatBody(name, { stream: number % 3 === 1 }))
      outcomes.push({ name, ...reply })
    }
  }
  const callers = Array.from({ length: 6 }, (_, number) => runCaller(number))
  for (const [index, old] of initialDaemons.entries()) {
    await new Promise(resolve => setTimeout(resolve, 400))
    await harness.startDaemon(`entry-new-${index}`)
    await harness.stopDaemon(old)
  }
  load.isRunning = false
  await Promise.all(callers)
  expect(outcomes.length).toBeGreaterThan(12)
  expect(outcomes.filter(outcome => outcome.status !== 200 && outcome.status !== 201)).toEqual([])
  const streams = outcomes.filter(outcome => outcome.text.startsWith('data: '))
  expect(streams.filter(outcome => !outcome.text.endsWith('data: [DONE]\n\n'))).toEqual([])
  const keys = (await harness.serviceRuns()).flatMap(run => run.idempotencyKey ?? [])
  expect(new Set(keys).size).toBe(keys.length)
  const table = harness.createTableClient()
  const report = (await verifyBills(table)).unwrap()
  await table.close()
  expect(report).toMatchObject({ bills: outcomes.length, doubled: [], missing: [] })
})

test('a settings change takes effect at every daemon', async () => {
  for (const name of ['entry-1', 'entry-2', 'entry-3']) await harness.startDaemon(name)
  const revision = await harness.updateSettings(subtree => ({ ...subtree, kinds: ['lookup', 'tagging'] }))
  await expect.poll(() => harness.daemons.map(({ daemon }) => daemon.status().settings.revision), { timeout: 10_000 }).toEqual([revision, revision, revision])
})

test('each hop of a request has a span in the caller\'s trace', async () => {
  const spans: Array<{ name: string, traceId: string, spanId: string, parentSpanId: string }> = []
  const receiver = createServer(async (message, response) => {
    let body = ''
    for await (const part of message) body += String(part)
    for (const resource of JSON.parse(body).resourceSpans) for (const scope of resource.scopeSpans) spans.push(...scope.spans)
    response.end('{}')
  })
  await new Promise<void>(resolve => receiver.listen(0, '127.0.0.1', resolve))
  const { port } = receiver.address() as AddressInfo
  const daemon = await harness.startDaemon('entry-1', { traces: `http://127.0.0.1:${port}/v1/traces` })
  const traceId = '0af7651916cd43dd8448eb211c80319c'
  await fetch(`http://${daemon.callerAddress}/v1/chat/completions`, { method: 'POST', headers: { ...headers, traceparent: `00-${traceId}-b7ad6b7169203331-01` }, body: chatBody('traced') })
  await harness.stopDaemon(daemon)
  await new Promise(resolve => receiver.close(resolve))
  const serverSpan = spans.find(span => span.name === 'POST /v1/chat/completions')
  const attemptSpan = spans.find(span => span.name === 'attempt')
  expect([serverSpan?.traceId, attemptSpan?.traceId]).toEqual([traceId, traceId])
  expect(serverSpan?.parentSpanId).toBe('b7ad6b7169203331')
  expect(attemptSpan?.parentSpanId).toBe(serverSpan?.spanId)
})

test('callers are served over TLS if the settings name key files', async () => {
  const files = { key: 'test/keys/daemon.key.pem', certificate: 'test/keys/daemon.certificate.pem' }
  const daemon = await harness.startDaemon('entry-1', { callersTls: files })
  const agent = new Agent({ connect: { ca: readFileSync(files.certificate) } })
  const response = await request(`https://${daemon.callerAddress}/v1/chat/completions`, { method: 'POST', headers, body: chatBody('secret'), dispatcher: agent })
  const answer = await response.body.json() as { choices: Array<{ message: { content: string } }> }
  expect(isCompleteAnswer(answer.choices[0]?.message.content ?? '', 'secret')).toBe(true)
  await agent.close()
})

test('daemons discover each other over TLS, and one without the certificate is rejected', async () => {
  const tls = { key: 'test/keys/daemon.key.pem', certificate: 'test/keys/daemon.certificate.pem', authority: 'test/keys/daemon.certificate.pem' }
  const [first] = [await harness.startDaemon('entry-1', { linkTls: tls }), await harness.startDaemon('entry-2', { linkTls: tls }), await harness.startDaemon('entry-plain')]
  const names = () => first.daemon.status().members.filter(member => member.state === 'alive').map(member => member.name).sort()
  await expect.poll(names, { timeout: 10_000 }).toEqual(['entry-1', 'entry-2'])
})

test('a refund is refused as not run during a store outage and succeeds once after it', async () => {
  const daemon = await harness.startDaemon('entry-1')
  await harness.injectFault('platform', { target: 'tables', fault: 'down' })
  const requestRefund = () => fetch(`http://${daemon.callerAddress}/v1/services/ledger/refunds`, { method: 'POST', headers: { ...headers, 'idempotency-key': 'k1' }, body: '{}' })
  const refused = await requestRefund()
  expect(refused.status).toBe(503)
  expect((await refused.json() as { error: { run: string } }).error.run).toBe('not_run')
  await harness.injectFault('platform', { target: 'tables', fault: 'none' })
  await expect.poll(async () => (await requestRefund()).status, { timeout: 10_000 }).toBe(201)
  expect(await harness.serviceRuns()).toHaveLength(1)
})

test('operators can read metrics, health and status', async () => {
  const daemon = await harness.startDaemon('entry-1')
  const read = async (path: string) => await (await fetch(`http://${daemon.operatorAddress}${path}`)).text()
  expect(await read('/health/ready')).toBe('{"ready":true}')
  expect(await read('/metrics')).toContain('lavenderdoor_settings_revision 1')
  expect(JSON.parse(await read('/status'))).toMatchObject({ name: 'entry-1', ready: true })
})
