import { afterEach, beforeEach, expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { EngineFault, FakeEngineClient } from './fakes/fakeEngineClient.ts'
import { EntryHarness } from './fakes/entryWorld.ts'

const engineCount = 8
/** Crashes of engines under one part after which no request with it is sent any more. */
const crashBound = 5
const poison = { role: 'system', content: 'a system prompt that crashes engines' }
const settlingMilliseconds = 400

let engines: FakeEngineClient
let harness: EntryHarness
beforeEach(async () => {
  engines = new FakeEngineClient(new SystemClock())
  engines.script = (call, { name }) => {
    if (!call.messages.some(({ content }) => content === poison.content)) return { fault: EngineFault.None }
    harness.engineIncarnations.set(name, (harness.engineIncarnations.get(name) ?? 0) + 1)
    return { fault: EngineFault.DieAfter, chunksBeforeFailure: 1 }
  }
  harness = await EntryHarness.start(undefined, undefined, engines)
  const further = Array.from({ length: engineCount }, (_, index) => `[endpoints.further-${index}]\naddress = "127.0.0.1:${index + 1}"\ndata_centre = "lower-mainland-a"\nversions = ["small@1"]`)
  harness.settings.install(harness.settingsText(further.join('\n')))
})
afterEach(async () => { await harness.close() })

let nextQuestion = 1
const ask = async (...messages: ReadonlyArray<{ readonly role: string, readonly content: string }>) => await harness.call('/v1/chat/completions', {
  body: { model: 'auto', messages: [...messages, { role: 'user', content: `question ${nextQuestion++}` }] }
})

test('a system prompt that crashes engines is soon refused as not run, and other prompts are answered', async () => {
  const sound = { role: 'system', content: 'a sound system prompt' }
  expect((await ask(sound)).status).toBe(200)
  for (let index = 0; index < crashBound; index++) {
    await ask(poison)
    await new Promise(resolve => setTimeout(resolve, settlingMilliseconds / crashBound))
  }
  await new Promise(resolve => setTimeout(resolve, settlingMilliseconds))
  const runsBefore = engines.runs.length
  const refused = await ask(poison)
  expect(engines.runs.length).toBe(runsBefore)
  expect(await refused.json()).toMatchObject({ error: { code: 'prompt_blocked', run: 'not_run' } })
  expect(Number(refused.headers.get('retry-after'))).toBeGreaterThan(60)
  expect((await ask(sound)).status).toBe(200)
})
