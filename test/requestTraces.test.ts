import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { type EndpointHandler, endpointDocument } from '../platform/standin/index.ts'
import { cutFields } from '../src/gateway/requestTimes.ts'
import { Log } from '../src/observe/index.ts'
import { ForwarderHarness, formatEvent, waitUntil } from './fakes/forwarderWorld.ts'

const streamHeaders = { 'token-usage': '10,10', 'prefix-hash': 'a1:10' }

let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => {
  vi.restoreAllMocks()
  await harness.close()
})

async function startReadyForwarder (): Promise<string> {
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  return host
}

/** The fields of the lines of an event that are logged from now on. */
function recordLines (level: 'info' | 'warn', name: string): () => unknown[] {
  const lines = vi.spyOn(Log.prototype, level)
  return () => lines.mock.calls.filter(([event]) => event === name).map(([, fields]) => fields)
}

test('the log line of an answer tells a body that is framed by length from one in chunks, and how many bytes the caller got', async () => {
  const ledger = await harness.startEndpoint('ledger')
  const ended = recordLines('info', 'request_ended')
  const host = await startReadyForwarder()
  ledger.handleWith((_request, response) => { response.writeHead(200, { 'content-length': 4 }).end('done') })
  await harness.call(host, '/release/1')
  ledger.handleWith((_request, response) => {
    response.write('do')
    response.end('ne')
  })
  await harness.call(host, '/release/1')
  expect(ended()).toEqual([['length 4'], ['chunks']].map(endpointFrames => expect.objectContaining({ endpointFrames, callerFrame: 'length', bytes: 4 })))
})

test('the log line of a resumed stream tells how each run was framed, and how many bytes of both the caller got', async () => {
  let isBroken = false
  const serve: EndpointHandler = ({ headers }, response) => {
    const event = formatEvent(Number(headers['last-event-id'] ?? 0) + 1)
    response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90, ...(isBroken ? {} : { 'content-length': 1_000 }) })
    if (isBroken) response.end(event)
    else response.write(event, () => response.socket?.resetAndDestroy())
    isBroken = true
  }
  for (const engine of [await harness.startEndpoint('engines'), await harness.startEndpoint('engines')]) engine.handleWith(serve)
  const ended = recordLines('info', 'request_ended')
  const { body } = await harness.call(await startReadyForwarder(), '/query/1', { headers: streamHeaders })
  expect(ended()).toEqual([expect.objectContaining({ endpointFrames: ['length 1000', 'chunks'], callerFrame: 'chunks', events: 2, bytes: body.length })])
})

test('answers that a request was sent to another endpoint\'s address are logged, and each such request is counted as sent', async () => {
  const ledger = await harness.startEndpoint('ledger')
  harness.store.delete('servers', ledger.identity)
  for (const gone of ['gone-1', 'gone-2']) harness.store.put('servers', gone, endpointDocument('ledger', ledger.address))
  const misdirected = recordLines('warn', 'request_misdirected')
  const host = await startReadyForwarder()
  await harness.call(host, '/balance/1', { method: 'GET', headers: { 'attempt-id': 'a' } })
  expect(misdirected()).toEqual(expect.arrayContaining(['gone-1', 'gone-2'].map(endpoint => ({ endpoint, address: ledger.address, service: 'ledger', request: 'a', isRequestAtFault: false }))))
  const metrics = await (await fetch(`http://${host}:9464/metrics`)).text()
  expect(metrics).toContain('lavenderdoor_forward_sends_total{service="ledger",kind="first"} 1')
  expect(metrics).toContain('lavenderdoor_forward_sends_total{service="ledger",kind="retry"} 1')
  expect(metrics).toContain('lavenderdoor_forward_misdirected_total{service="ledger"} 2')
})

test('the log tells of a request that a stop cuts when its body had arrived and when it was sent, and how many of them may not be repeated', async () => {
  const endpoints = [await harness.startEndpoint('ledger'), await harness.startEndpoint('engines')]
  for (const endpoint of endpoints) endpoint.handleWith(() => undefined)
  const [ended, drained] = [recordLines('info', 'request_ended'), recordLines('info', 'drained')]
  const host = await startReadyForwarder()
  const answers = ['/release/1', '/query/1'].map(path => harness.call(host, path, { headers: streamHeaders }).catch(() => undefined))
  await waitUntil(() => endpoints.every(({ received }) => received.length === 1))
  await harness.stopForwarder(host)
  await Promise.all(answers)
  await waitUntil(() => ended().length === answers.length)
  for (const line of ended() as Record<string, number | string>[]) {
    expect(line).toMatchObject({ outcome: 'cut_by_stop', bodyAfterStop: expect.any(Number), lastSentAfterStop: line['firstSentAfterStop'] })
    expect(line['firstSentAfterStop']).toBeGreaterThanOrEqual(line['bodyAfterStop'] as number)
  }
  const [line] = drained() as [Record<string, number>]
  expect(line).toMatchObject({ cut: 2, cutOnceOnly: 1, cutSentInStop: 0 })
  expect(line['lastSentAfterStop']).toBeLessThanOrEqual(0)
})

test('the log line of a stop counts the requests that were sent while it went on, and tells how late the last of them was', () => {
  const sentAt = (lastSentAt: number | undefined) => ({ times: { bodyReadAt: 0, firstSentAt: lastSentAt, lastSentAt }, isRepeatable: false })
  expect(cutFields([900, 1_200, 1_700, undefined].map(sentAt), 1_000)).toEqual({ cutOnceOnly: 3, cutSentInStop: 2, lastSentAfterStop: 700 })
})
