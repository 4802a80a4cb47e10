import { expect, test } from 'vitest'
import type { VersionPolicy } from '../src/choice/index.ts'
import { Ok, SystemClock } from '../src/contract/index.ts'
import { EntryHarness, cheapestVersionPolicy } from './fakes/entryWorld.ts'
import { EngineFault, FakeEngineClient } from './fakes/fakeEngineClient.ts'

const stepCount = 2
const maximumRetries = 2
/** Requests that are answered before, so that the attempt budget has enough. */
const answeredRequests = 40
const engines = ['engine-2', 'engine-3', 'engine-4'].map((name, index) => `[endpoints.${name}]\naddress = "10.0.0.${index + 1}:1"\ndata_centre = "lower-mainland-a"\nversions = ["small@1", "large@1"]`).join('\n')

/** A smaller version whose answer is dropped, then a larger one. */
const twoSteps: VersionPolicy = {
  ...cheapestVersionPolicy,
  plan: () => Ok({ steps: [{ version: 'small@1', releaseAtRating: 95, rateAfterwards: false }, { version: 'large@1', releaseAtRating: undefined, rateAfterwards: false }] })
}

test('a request that is answered by two versions one after the other is retried no more often than one that is answered by the first', async () => {
  const client = new FakeEngineClient(new SystemClock())
  const harness = await EntryHarness.start(twoSteps, undefined, client)
  harness.settings.install(harness.settingsText(engines).replace('models = ["small"]', 'models = ["small", "large"]'))
  const call = () => harness.call('/v1/chat/completions', { body: { model: 'auto', messages: [{ role: 'user', content: 'kind=lookup tokens=8 request=r' }] } })
  for (let index = 0; index < answeredRequests; index++) expect((await call()).status).toBe(200)
  const attempts: string[] = []
  client.script = ({ version }) => {
    attempts.push(version)
    const isRefused = attempts.filter(attempt => attempt === version).length <= 2
    return { fault: isRefused ? EngineFault.Refuse : EngineFault.None }
  }
  await call()
  expect(attempts.length).toBeLessThanOrEqual(stepCount + maximumRetries)
  await harness.close()
}, 30_000)
