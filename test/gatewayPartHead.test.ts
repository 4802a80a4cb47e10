import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness } from './fakes/forwarderWorld.ts'
import { RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

let harness: ForwarderHarness
let host: string
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  harness.putConfiguration(1)
  await harness.startEndpoint('ledger')
  host = await harness.startForwarder({ graceSeconds: 6 })
  await harness.waitUntilReady(host)
})
afterEach(async () => await harness.close())

test.each(['in its own packet', 'in one packet with the request before'])('a head whose first part came %s is read to its end although the gateway stops', async kind => {
  const ledger = await harness.startEndpoint('ledger')
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), 20) })
  const caller = await RawCaller.connect(host)
  const running = await RawCaller.connect(host)
  const first = requestHead('/release/1', { id: 'first', bodyLength: 4 }) + 'body'
  const second = requestHead('/release/2', { id: 'second' })
  if (kind === 'in its own packet') {
    caller.write(first)
    await pause(50)
    caller.write(second.slice(0, 40))
  } else caller.write(first + second.slice(0, 40))
  await caller.until(1)
  running.write(requestHead('/release/3', { id: 'body', bodyLength: 4 }))
  const stopped = harness.stopForwarder(host)
  await pause(2_700)
  caller.write(second.slice(40))
  await caller.until(2)
  expect(caller.statuses).toHaveLength(2)
  running.close()
  caller.close()
  await stopped
})
