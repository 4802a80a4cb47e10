/** The daemon's own client of engines, with an engine that falls silent and goes on. */
import { afterEach, expect, test } from 'vitest'
import { Priority } from '../src/contract/index.ts'
import { type EngineCall, HttpEngineClient } from '../src/endpoint/index.ts'
import { type EngineRun, isCompleteAnswer, startEngine } from '../src/standin/index.ts'
import { clock, closeAfterTest, closeStandIns, endpointAt } from './fakes/runningStandIns.ts'

/** Those of the daemon. */
const client = new HttpEngineClient({ clock, connectTimeoutMilliseconds: 1_000, inactivityTimeoutMilliseconds: 2_000 })

afterEach(closeStandIns)

test.each([1_200, 3_000])('an answer whose engine is silent for %i ms and goes on is whole, and was run once', async milliseconds => {
  const engine = await closeAfterTest(startEngine({ listen: '127.0.0.1:0', name: 'e', versions: ['small@1'] }))
  const call: EngineCall = { attemptId: 'a-1', version: 'small@1', messages: [{ role: 'user', content: 'kind=lookup tokens=40 request=r1' }], maximumTokens: 100, priority: Priority.Normal, prefixKey: 'p', traceParent: undefined }
  let text = ''
  let last = ''
  for await (const event of client.generate(endpointAt(engine), call, new AbortController().signal)) {
    if (event.type === 'chunk' && text === '') await fetch(`http://${engine.address}/faults`, { method: 'POST', body: JSON.stringify({ fault: 'freeze', milliseconds }) })
    if (event.type === 'chunk') text += event.chunk.text
    last = event.type
  }
  expect(last).toBe('finish')
  expect(isCompleteAnswer(text, 'r1')).toBe(true)
  expect(await (await fetch(`http://${engine.address}/records`)).json() as EngineRun[]).toHaveLength(1)
}, 15_000)
