import { spawnSync } from 'node:child_process'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'
import { RawCaller, pause, requestHead } from './fakes/rawCaller.ts'
import type { EndpointStandIn } from '../platform/standin/index.ts'

let harness: ForwarderHarness
let ledger: EndpointStandIn
let host: string
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  ledger = await harness.startEndpoint('ledger')
  harness.putConfiguration(1)
  host = await harness.startForwarder()
  await harness.waitUntilReady(host)
})
afterEach(async () => await harness.close())

/** Sends a request from a process of its own and closes the connection, while this process is blocked. */
function callAndLeave (request: string): void {
  const caller = `const socket = require('node:net').connect(8227, '${host}', () => socket.write(${JSON.stringify(request)}, () => socket.destroy()))`
  expect(spawnSync(process.execPath, ['-e', caller]).status).toBe(0)
}

test('a request whose caller left while the gateway was too busy to read it is not sent to an endpoint', async () => {
  callAndLeave(requestHead('/release/1', { id: 'left' }))
  await pause(300)
  expect(ledger.received).toHaveLength(0)
  await harness.call(host, '/release/2')
  await waitUntil(() => ledger.received.length === 1)
})

test('requests that run behind another one of their connection are given up when it is reset', async () => {
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), 1_000) })
  const caller = await RawCaller.connect(host)
  caller.write(requestHead('/balance/1', { id: 'first', method: 'GET' }) + requestHead('/balance/2', { id: 'second', method: 'GET' }))
  await waitUntil(() => ledger.received.length > 0)
  await pause(100)
  caller.reset()
  await pause(400)
  expect(ledger.received.map(({ isAborted }) => isAborted)).not.toContain(false)
})
