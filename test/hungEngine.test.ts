import { afterEach, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness, formatEvent } from './fakes/forwarderWorld.ts'
import { RawCaller, pause, requestHead } from './fakes/rawCaller.ts'

const maximumGapMilliseconds = 400
let harness: ForwarderHarness
beforeEach(async () => { harness = await ForwarderHarness.start() })
afterEach(async () => await harness.close())

test('a stream whose engine hangs, while the kernel goes on accepting its connections, goes on elsewhere within the largest gap', async () => {
  let runs = 0
  for (const engine of [await harness.startEndpoint('engines'), await harness.startEndpoint('engines')]) {
    engine.handleWith((_request, response) => {
      response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
      if (runs++ === 0) response.write(formatEvent(1))
      else response.end(formatEvent(2))
    })
  }
  harness.putConfiguration(1)
  const host = await harness.startForwarder()
  await harness.waitUntilReady(host)
  const caller = await RawCaller.connect(host)
  caller.write(requestHead('/query/1', { id: 'hung', headers: 'token-usage: 10,10\r\nprefix-hash: a:10\r\n' }))
  const arrivedAt = new Map<number, number>()
  for (const endsAt = performance.now() + 1_500; performance.now() < endsAt; await pause(5)) {
    for (const id of [1, 2]) if (!arrivedAt.has(id) && caller.text.includes(`piece ${id}`)) arrivedAt.set(id, performance.now())
  }
  caller.close()
  expect(arrivedAt.get(2)! - arrivedAt.get(1)!).toBeLessThan(maximumGapMilliseconds)
})
