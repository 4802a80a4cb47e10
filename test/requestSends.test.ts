import { expect, test } from 'vitest'
import { GatewayMetrics } from '../src/gateway/index.ts'
import { RequestSends } from '../src/gateway/requestSends.ts'
import { RetryBudget } from '../src/placement/index.ts'
import { GatewayFleet } from './fakes/gatewayFleet.ts'

const service = 'ledger'
const allowedRetries = 2

function startWorld () {
  const metrics = new GatewayMetrics()
  const retryBudget = new RetryBudget({ ratio: 0, windowMilliseconds: 10_000, slack: allowedRetries }, () => 1)
  const countOf = async (counter: 'sends' | 'heldBackRetries', kind?: string) =>
    (await metrics[counter].get()).values.find(({ labels }) => 'kind' in labels ? labels.kind === kind : true)?.value ?? 0
  return { countOf, startRequest: () => new RequestSends({ service, metrics, retryBudget }) }
}

test('the first write of each request is free, and an attempt that is never written costs nothing', () => {
  const { startRequest } = startWorld()
  for (let request = 0; request < 5; request++) {
    const sends = startRequest()
    expect(sends.tryPrepare(0) && sends.mayWrite(0)).toBe(true)
    sends.recordWrite(0)
    for (let unsent = 0; unsent < 5; unsent++) expect(sends.tryPrepare(0)).toBe(true)
    sends.close()
  }
})

test('runs that fall silent together are not all given up for the one repeat that is left', () => {
  const { startRequest } = startWorld()
  const requests = Array.from({ length: 6 }, startRequest)
  for (const sends of requests) sends.recordWrite(0)
  const givenUp = requests.filter(sends => sends.allowsRetry(0) && sends.tryPrepare(0))
  expect(givenUp).toHaveLength(allowedRetries)
  for (const sends of givenUp) {
    expect(sends.mayWrite(0)).toBe(true)
    sends.recordWrite(0)
  }
})

test('first sends, repeats and requests that the budget held back are counted', async () => {
  const { countOf, startRequest } = startWorld()
  const sends = startRequest()
  while (sends.tryPrepare(0) && sends.mayWrite(0)) sends.recordWrite(0)
  expect(sends.tryPrepare(0)).toBe(false)
  expect(sends.isHeldBack).toBe(true)
  expect([await countOf('sends', 'first'), await countOf('sends', 'retry'), await countOf('heldBackRetries')]).toEqual([1, allowedRetries, 1])
})

test.each([[0, true], [1, undefined]])('with a retry budget of %i, the log of a stream that broke off tells whether the budget ended it', async (slack, isRetryBudgetUsedUp) => {
  const fleet = new GatewayFleet({ gateways: 1, engines: 2, slots: 1, queueLimit: 0, paces: { small: 1 }, seed: 1, retryLimits: { ratio: 0, windowMilliseconds: 10_000, slack } })
  const response = fleet.call(0, '/query/50', { 'attempt-id': 'a1', model: 'small', 'token-usage': '600,300', 'deadline-ms': '10000' })
  await fleet.clock.advance(100)
  fleet.drainEngine(fleet.engines.find(({ hasFreeSlot }) => !hasFreeSlot)!, 0)
  await fleet.clock.advance(12_000)
  expect((await response).status).toBe(slack > 0 ? 200 : 502)
  expect(fleet.lines.find(({ event }) => event === 'request_ended')?.isRetryBudgetUsedUp).toBe(isRetryBudgetUsedUp)
})
