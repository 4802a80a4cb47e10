import { expect, test } from 'vitest'
import { EndpointRuns, PromptBreaker } from '../src/breaker/index.ts'
import { Log } from '../src/observe/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const instance = 'endpoint-1'
/** An endpoint may work on a run for this time after it was given up. */
const abandonedMilliseconds = 5_000
const maximumRequestsInReport = 64

function createRuns () {
  const clock = new ManualClock()
  const breaker = new PromptBreaker({ name: 'gateway-1' })
  const runs = new EndpointRuns({ name: 'gateway-1', breaker, hasCrashed: async () => true, onNews: () => undefined, clock, log: new Log('error', {}, () => undefined) })
  const send = (request: string, at = instance) => {
    const run = runs.open({ instance: at, address: '10.0.0.1:80', prompt: { organisation: 'harbour', parts: [], request }, cancel: () => undefined })
    run.recordSent(clock.now())
    return run
  }
  const refuse = async () => {
    runs.open({ instance, address: '10.0.0.1:80', prompt: { organisation: 'harbour', parts: [], request: 'next' }, cancel: () => undefined }).recordRefusal(clock.now())
    await clock.settle()
  }
  const told = () => breaker.news(clock.now()).reports.flatMap(({ requests = [] }) => requests.map(({ request }) => request))
  return { clock, runs, send, refuse, told }
}

test('an endpoint that refuses the next connection has crashed under what was given up there, or ended without a whole answer', async () => {
  const { clock, send, refuse, told } = createRuns()
  send('given up').close()
  await clock.advance(500)
  await refuse()
  expect(told()).toEqual(['given up'])
})

test('an endpoint that refuses a connection without such a run is not looked into', async () => {
  const { clock, send, refuse, told } = createRuns()
  const answered = send('answered')
  answered.recordAnswer(clock.now())
  answered.close()
  const notRun = send('not run')
  notRun.recordOver()
  notRun.close()
  send('long ago').close()
  await clock.advance(abandonedMilliseconds + 1)
  await refuse()
  expect(told()).toEqual([])
})

test('of more requests than a report holds, those that lay at another crash are told', async () => {
  const { clock, send, told } = createRuns()
  const first = send('kill', 'endpoint-0')
  first.recordBreak(clock.now())
  first.close()
  await clock.advance(100)
  const second = send('kill')
  for (let index = 0; index < maximumRequestsInReport + 10; index++) send(`newer ${index}`)
  await clock.advance(100)
  second.recordBreak(clock.now())
  await clock.settle()
  expect(told().filter(request => request === 'kill')).toHaveLength(2)
  expect(told()).toHaveLength(1 + maximumRequestsInReport)
})
