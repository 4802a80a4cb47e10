import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { afterEach, expect, test, vi } from 'vitest'
import { AffinityEndpointPolicy, type AttemptOutcome } from '../src/choice/index.ts'
import { SystemClock } from '../src/contract/index.ts'
import { EntryHarness } from './fakes/entryWorld.ts'
import { EngineFault, FakeEngineClient } from './fakes/fakeEngineClient.ts'
import { block, pause, stallOneTurn } from './fakes/rawCaller.ts'

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

test('a daemon gives the answer of a service that was whole before its caller\'s deadline, after a stall over it', async () => {
  const [pieceCount, piece] = [1_000, 'a piece. ']
  const worker = new Worker(new URL('./fakes/threadedService.mjs', import.meta.url), { workerData: { delayMilliseconds: 200, pieceCount, piece } })
  const [address] = await once(worker, 'message')
  const harness = await EntryHarness.start()
  harness.settings.install(harness.settingsText().replace(/address = .*(?=\n.*\nservice = )/, `address = "${address}"`))
  const answer = harness.call('/v1/services/ledger/balances/deposit-7', { headers: { 'x-lavenderdoor-timeout-seconds': '0.6' } })
  await pause(100)
  await stallOneTurn(stallMilliseconds)
  const response = await answer
  expect([response.status, (await response.text()).length]).toEqual([200, piece.length * pieceCount])
  await harness.close()
  await worker.terminate()
})
