import { spawnSync } from 'node:child_process'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'
import { pause, requestHead } from './fakes/rawCaller.ts'
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
