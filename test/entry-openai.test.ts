import OpenAI from 'openai'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { isCompleteAnswer } from '../src/standin/index.ts'
import { EntryHarness, guidesKey, harbourKey } from './fakes/entryWorld.ts'

let harness: EntryHarness

beforeAll(async () => { harness = await EntryHarness.start() })
afterAll(async () => { await harness.close() })

function createClient (apiKey = harbourKey): OpenAI {
  return new OpenAI({ apiKey, baseURL: `http://${harness.address}/v1`, maxRetries: 0 })
}

function chatRequest (request: string, tokens = 12) {
  return { model: 'auto', messages: [{ role: 'user' as const, content: `kind=lookup tokens=${tokens} request=${request}` }] }
}

test('the official client gets a complete answer', async () => {
  const answer = await createClient().chat.completions.create(chatRequest('whole'))
  expect(isCompleteAnswer(answer.choices[0]?.message.content ?? '', 'whole')).toBe(true)
  expect(answer.model).toBe('small@1')
  expect(answer.usage?.completion_tokens).toBe(12)
})

test('the official client gets a complete stream with its usage', async () => {
  const stream = await createClient().chat.completions.create({ ...chatRequest('streamed'), stream: true, stream_options: { include_usage: true } })
  let text = ''
  let tokens: number | undefined
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? ''
    tokens = chunk.usage?.completion_tokens ?? tokens
  }
  expect(isCompleteAnswer(text, 'streamed')).toBe(true)
  expect(tokens).toBe(12)
})

test('the official client lists only the models that its organisation may use', async () => {
  const names: string[] = []
  for await (const model of createClient().models.list()) names.push(model.id)
  expect(names).toEqual(['auto', 'small', 'small@1', 'small@2'])
})

test('a wrong key raises an authentication error in the official client', async () => {
  await expect(createClient('nobody').chat.completions.create(chatRequest('wrong'))).rejects.toBeInstanceOf(OpenAI.AuthenticationError)
})

test('a model that is not allowed raises a not-found error with the run state not_run', async () => {
  const refused = createClient(guidesKey).chat.completions.create({ ...chatRequest('not-allowed'), model: 'small' })
  await expect(refused).rejects.toMatchObject({ status: 404, code: 'model_not_found', error: { run: 'not_run' } })
  expect((await harness.engineRuns()).some(run => run.request === 'not-allowed')).toBe(false)
})

test('a stream whose engine dies raises an error in the official client and never ends silently', async () => {
  const stream = await createClient().chat.completions.create({ ...chatRequest('cut', 400), stream: true })
  const readStream = async () => {
    let contentChunks = 0
    for await (const chunk of stream) if (chunk.choices[0]?.delta.content && ++contentChunks === 3) await harness.injectFault('engine', { fault: 'die', milliseconds: 4_000 })
  }
  await expect(readStream()).rejects.toMatchObject({ code: 'answer_cut_off' })
})
