import { createServer } from 'node:net'
import { expect, test } from 'vitest'
import { EndpointRuns, PromptBreaker, type RunDescription, connectionCheck } from '../src/breaker/index.ts'
import { SystemClock } from '../src/contract/index.ts'
import { Log } from '../src/observe/index.ts'
import { listenOn } from '../src/server/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const prompt = { organisation: 'harbour', parts: ['system', 'poison'] }

function createRuns (hasCrashed: boolean) {
  const clock = new ManualClock()
  const breaker = new PromptBreaker({ name: 'gateway-1' })
  const checkedAddresses: string[] = []
  const runs = new EndpointRuns({
    name: 'gateway-1',
    breaker,
    hasCrashed: async address => { checkedAddresses.push(address); return hasCrashed },
    onNews: () => runs.cancelBlocked(clock.now()),
    clock,
    log: new Log('error', {}, () => undefined)
  })
  const open = (overrides: Partial<RunDescription> = {}) => runs.open({ instance: 'engine-1', address: '10.0.0.1:80', prompt, cancel: () => undefined, ...overrides })
  const reports = () => breaker.news(clock.now()).reports
  return { breaker, checkedAddresses, clock, open, reports, runs }
}

test('a broken connection to an endpoint that still accepts others is not reported as a crash', async () => {
  const { clock, open, reports } = createRuns(false)
  const run = open()
  run.recordOutput(clock.now())
  run.recordBreak(clock.now())
  await clock.settle()
  expect(reports()).toEqual([])
})

test('a crash is reported once, with the runs that had begun not long before, the last one first, and without those that waited', async () => {
  const { checkedAddresses, clock, open, reports } = createRuns(true)
  const [first, second, waiting, writing] = [open(), open({ prompt: { organisation: 'guides', parts: ['b2'] } }), open(), open()]
  writing.recordOutput(clock.now())
  await clock.advance(1_900)
  first.recordOutput(clock.now())
  await clock.advance(200)
  writing.recordOutput(clock.now())
  second.recordOutput(clock.now())
  await clock.advance(50)
  for (const run of [first, second, waiting, writing]) {
    run.recordBreak(clock.now())
    run.close()
    await clock.settle()
  }
  expect(checkedAddresses).toHaveLength(1)
  expect(reports()).toHaveLength(1)
  expect(reports()[0]?.runs.map(({ prompt }) => prompt.organisation)).toEqual(['guides', 'harbour'])
})

test('runs that wait for their turn are cancelled when their prompt is blocked, and no others', async () => {
  const { breaker, clock, open, runs } = createRuns(true)
  const cancelled: string[] = []
  const openNamed = (name: string, parts: readonly string[]) => open({ instance: name, prompt: { organisation: 'harbour', parts }, cancel: () => cancelled.push(name) })
  openNamed('waiting', prompt.parts)
  openNamed('other prompt', ['system'])
  openNamed('begun', prompt.parts).recordOutput(clock.now())
  for (let index = 0; index < 3; index++) {
    const crashing = open({ instance: `engine-${index}` })
    crashing.recordOutput(clock.now())
    await clock.advance(60)
    crashing.recordBreak(clock.now())
    crashing.close()
  }
  await clock.advance(1_000)
  breaker.review(clock.now())
  runs.cancelBlocked(clock.now())
  expect(cancelled).toEqual(['waiting'])
})

test('only an address at which nothing listens counts as crashed', async () => {
  const server = createServer()
  const address = await listenOn(server as never, '127.0.0.1:0')
  const hasCrashed = connectionCheck(1_000, new SystemClock())
  expect(await hasCrashed(address)).toBe(false)
  await new Promise(resolve => server.close(resolve))
  expect(await hasCrashed(address)).toBe(true)
})
