import { type Socket, connect } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { EntryHarness, harbourKey } from './fakes/entryWorld.ts'
import { waitUntil } from './fakes/forwarderWorld.ts'
import { pause } from './fakes/rawCaller.ts'

const fields = `host: a\r\nauthorization: Bearer ${harbourKey}\r\ncontent-type: application/json\r\n`

let harness: EntryHarness
let caller: Socket
let received: string
beforeEach(async () => {
  harness = await EntryHarness.start()
  const [host, port] = harness.address.split(':')
  received = ''
  caller = connect({ host, port: Number(port), allowHalfOpen: true })
  caller.on('data', bytes => { received += bytes.toString('latin1') }).on('error', () => undefined)
})
afterEach(async () => {
  caller.destroy()
  await harness.close()
})

function post (path: string, document: object, extra = ''): string {
  const body = JSON.stringify(document)
  return `POST ${path} HTTP/1.1\r\n${fields}${extra}content-length: ${body.length}\r\n\r\n${body}`
}

function chat (content: string): string {
  return post('/v1/chat/completions', { model: 'auto', messages: [{ role: 'user', content: `kind=lookup ${content}` }] })
}

function statuses (): readonly number[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status))
}

const refund = post('/v1/services/ledger/refunds', { amount: 1 }, 'idempotency-key: refund-1\r\n')

test('a daemon answers a once-only call although its caller half-closes', async () => {
  await harness.injectFault('service', { fault: 'slow', milliseconds: 500 })
  caller.write(refund)
  await pause(200)
  caller.end()
  await waitUntil(() => caller.readableEnded)
  expect(statuses()).toEqual([201])
})

test.each([['a chat', chat('tokens=400 request=half-closed'), [502, 503]], ['a once-only call', refund, [201, 503]]])('a daemon answers %s whose caller half-closes right behind it, and ends the connection', async (_kind, request, allowed) => {
  caller.end(request)
  await waitUntil(() => caller.readableEnded)
  expect(statuses()).toHaveLength(1)
  expect(allowed).toContain(statuses()[0])
})

test('a daemon refuses CONNECT after the answer to the request before it', async () => {
  caller.write(`${chat('tokens=4 request=before')}CONNECT a:80 HTTP/1.1\r\n${fields}\r\n`)
  await waitUntil(() => caller.readableEnded)
  expect(statuses()).toEqual([200, 501])
})

test('a daemon answers the request behind one without a Host field', async () => {
  caller.write(chat('tokens=4 request=hostless').replace('host: a\r\n', '') + refund)
  await Promise.race([waitUntil(() => statuses().length === 2), pause(2_000)])
  expect(statuses()).toEqual([400, 201])
})

test('a daemon serves a request in absolute form', async () => {
  caller.write(refund.replace('/v1/', 'http://a/v1/'))
  await Promise.race([waitUntil(() => statuses().length === 1), pause(2_000)])
  expect(statuses()).toEqual([201])
})
