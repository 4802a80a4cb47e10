import { expect, test } from 'vitest'
import { GatewayFleet } from './fakes/gatewayFleet.ts'

test('an endpoint is not excluded because a request had no time left for its connection', async () => {
  const fleet = new GatewayFleet({ gateways: 1, engines: 2, slots: 1, queueLimit: 0, paces: { small: 1 }, seed: 1, retryLimits: { ratio: 0, windowMilliseconds: 60_000, slack: 0 } })
  const call = (attemptId: string, deadline: number) => fleet.call(0, '/query/20', { model: 'small', 'token-usage': '600,300', 'deadline-ms': String(deadline), 'attempt-id': attemptId })
  const short = call('a1', 1)
  await fleet.clock.advance(50)
  await short
  const calls = ['a2', 'a3'].map(attemptId => call(attemptId, 5_000))
  await fleet.clock.advance(6_000)
  for (const outcome of await Promise.all(calls)) expect(outcome).toMatchObject({ status: 200, events: 20 })
})
