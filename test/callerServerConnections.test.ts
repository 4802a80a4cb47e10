import { connect } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { EntryHarness, harbourKey } from './fakes/entryWorld.ts'
import { pause } from './fakes/rawCaller.ts'

let harness: EntryHarness
beforeEach(async () => { harness = await EntryHarness.start() })
afterEach(async () => await harness.close())

function chat (request: string, tokens = 40): string {
  const body = JSON.stringify({ model: 'auto', messages: [{ role: 'user', content: `kind=lookup tokens=${tokens} request=${request}` }] })
  return `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${harbourKey}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

async function receive (text: string, milliseconds = 3_000): Promise<string> {
  const [host, port] = harness.address.split(':')
  let received = ''
  const socket = connect({ host, port: Number(port), allowHalfOpen: true }, () => socket.write(text))
  socket.on('data', bytes => { received += bytes.toString('latin1') })
  socket.on('error', () => undefined)
  await pause(milliseconds)
  socket.destroy()
  return received
}

test('a daemon answers a request that a malformed head follows on its connection, and refuses that afterwards', async () => {
  const received = await receive(`${chat('first')}no request\r\n\r\n`)
  expect(received.slice(0, 12)).toBe('HTTP/1.1 200')
})

test('a daemon that stops answers all pipelined requests that it has read', async () => {
  const answers = receive(chat('first') + chat('second'))
  await pause(100)
  harness.drain.begin()
  expect((await answers).match(/HTTP\/1.1 200/g)).toHaveLength(2)
})

test('a daemon runs no request behind another one of its connection whose caller leaves before that is answered', async () => {
  await receive(chat('first') + chat('second') + chat('third'), 100)
  await pause(600)
  expect(await harness.engineRuns()).toHaveLength(1)
})

test('a daemon refuses a request as not run whose deadline comes while the answer ahead is on its way', async () => {
  const hurried = chat('second').replace('content-type', 'x-lavenderdoor-timeout-seconds: 0.6\r\ncontent-type')
  const received = await receive(chat('first', 200) + hurried, 2_500)
  expect(received.match(/HTTP\/1.1 \d+/g)).toEqual(['HTTP/1.1 200', 'HTTP/1.1 504'])
  expect(received).toContain('not_run')
  expect(await harness.engineRuns()).toHaveLength(1)
})

test('a daemon whose time to stop is over passes on nothing that waits behind another request, and answers what it has passed on', async () => {
  for (let call = 0; call < 8; call++) await harness.injectFault('service', { fault: 'slow', milliseconds: 400 })
  const body = JSON.stringify({ amount: 1 })
  const refunds = Array.from({ length: 8 }, (_, call) => `POST /v1/services/ledger/refunds HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${harbourKey}\r\ncontent-type: application/json\r\nidempotency-key: r-${call}\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  const answers = receive(refunds.join(''), 4_000)
  await pause(600)
  harness.drain.begin()
  const closed = harness.closeServer()
  const statuses = (await answers).match(/HTTP\/1.1 \d+/g) ?? []
  const runs = await harness.serviceRuns()
  expect(statuses).toHaveLength(8)
  expect(statuses.filter(status => status === 'HTTP/1.1 201')).toHaveLength(runs.length)
  expect(runs.length).toBeLessThan(8)
  await closed
})
