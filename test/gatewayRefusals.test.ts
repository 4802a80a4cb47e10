import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness } from './fakes/forwarderWorld.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

let harness: ForwarderHarness
let caller: RawCaller
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  await harness.startEndpoint('ledger')
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  caller = await RawCaller.connect(host)
})
afterEach(async () => {
  caller.close()
  await harness.close()
})

const longBodyBytes = 1_000_000_000
const chunkBytes = 64 * 1024
/** The gateway's own bound, and what the kernel holds on both sides. */
const mostBytesSent = 32 * 1024 * 1024
const longestOpenMilliseconds = 6_000

/** A request without a valid key, whose body is to follow. */
function refusedHead (bodyLength: number): string {
  return requestHead('/release/1', { id: 'refused', key: 'unknown-key', bodyLength })
}

test('a refused caller that never ends its body has its refusal at once and is closed in time', async () => {
  caller.write(`${refusedHead(longBodyBytes)}x`)
  await caller.until(1)
  expect(caller.statuses).toEqual([401])
  await pause(longestOpenMilliseconds)
  expect(caller.state).not.toBe(ConnectionState.Open)
})

test('a refused caller that sends without end is closed after a bound of bytes', async () => {
  caller.write(refusedHead(longBodyBytes))
  await caller.until(1)
  let sentBytes = 0
  for (; caller.state === ConnectionState.Open && sentBytes <= mostBytesSent; sentBytes += chunkBytes) {
    caller.write('x'.repeat(chunkBytes))
    await pause(1)
  }
  expect(sentBytes).toBeLessThan(mostBytesSent)
})

test('a connection is kept after a refusal if the whole request arrived', async () => {
  caller.write(refusedHead(4))
  await caller.until(1)
  caller.write(`xxxx${requestHead('/release/2', { id: 'next' })}`)
  await caller.until(2)
  expect(caller.statuses).toEqual([401, 200])
})
