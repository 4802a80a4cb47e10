import { afterEach, expect, test, vi } from 'vitest'
import { AffinityEndpointPolicy, type AttemptOutcome } from '../src/choice/index.ts'
import { SystemClock } from '../src/contract/index.ts'
import { EntryHarness } from './fakes/entryWorld.ts'
import { EngineFault, FakeEngineClient } from './fakes/fakeEngineClient.ts'
import { block } from './fakes/rawCaller.ts'

const stallMilliseconds = 1_000
const firstChunkMilliseconds = 50

afterEach(() => { vi.restoreAllMocks() })

test('a stall of a daemon does not make the engine look slow that it waits for', async () => {
  const outcomes: AttemptOutcome[] = []
  const open = AffinityEndpointPolicy.prototype.open
  vi.spyOn(AffinityEndpointPolicy.prototype, 'open').mockImplementation(function (this: AffinityEndpointPolicy, ...attempt) {
    const opened = open.apply(this, attempt)
    return {
      ...opened,
      close: (outcome, now) => {
        outcomes.push(outcome)
        opened.close(outcome, now)
      }
    }
  })
  const client = new FakeEngineClient(new SystemClock())
  const harness = await EntryHarness.start(undefined, undefined, client)
  harness.clock.startMonitor(() => undefined)
  client.script = () => {
    setImmediate(() => block(stallMilliseconds))
    return { fault: EngineFault.None, firstChunkDelayMilliseconds: firstChunkMilliseconds }
  }
  const { status } = await harness.call('/v1/chat/completions', { body: { model: 'auto', messages: [{ role: 'user', content: 'kind=lookup tokens=8 request=r' }] } })
  expect(status).toBe(200)
  expect(outcomes[0]?.firstTokenMilliseconds).toBeLessThan(stallMilliseconds / 2)
  harness.clock.stopMonitor()
  await harness.close()
})
