import { expect, test } from 'vitest'
import { EndpointRuns, PromptBreaker, requestDigest } from '../src/breaker/index.ts'
import { Log } from '../src/observe/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const balance = { method: 'GET', host: 'desk.example', path: '/balance/7?all', body: new Uint8Array() }

test('the log of a crash names the requests that were in progress there, also those without a prompt and those that had not begun', async () => {
  const clock = new ManualClock()
  const lines: string[] = []
  const runs = new EndpointRuns({ name: 'gateway-1', breaker: new PromptBreaker({ name: 'gateway-1' }), hasCrashed: async () => true, onNews: () => undefined, clock, log: new Log('info', {}, line => lines.push(line)) })
  const open = (request: string, parts: readonly string[]) => runs.open({ instance: 'endpoint-1', address: '10.0.0.1:80', prompt: { organisation: 'harbour', parts, request }, cancel: () => undefined })
  const plain = open('aaaa', [])
  plain.recordSent(clock.now())
  open('unsent', [])
  await clock.advance(100)
  open('bbbb', ['system']).recordOutput(clock.now())
  await clock.advance(50)
  plain.recordBreak(clock.now())
  await clock.settle()
  expect(lines.map(line => JSON.parse(line))).toEqual([expect.objectContaining({
    event: 'endpoint_crashed', endpoint: 'endpoint-1', running: 2, runs: ['harbour request bbbb system sent 50ms, begun 50ms before', 'harbour request aaaa sent 150ms before']
  })])
})

test.each([
  ['the method', { method: 'HEAD' }], ['the host', { host: 'other.example' }], ['the path', { path: '/balance/8?all' }],
  ['the query', { path: '/balance/7' }], ['the body', { body: Buffer.from('1') }]
])('requests that differ in %s are not the same', (_name, difference) => {
  expect(requestDigest({ ...balance, ...difference })).not.toBe(requestDigest(balance))
})

test('a request that is sent again has the same digest', () => {
  expect(requestDigest({ ...balance })).toBe(requestDigest(balance))
})
