import { afterEach, expect, test, vi } from 'vitest'
import { EndpointHealth } from '../src/placement/endpointHealth.ts'
import { GatewayFleet } from './fakes/gatewayFleet.ts'
import { connectTimeoutMilliseconds } from './fakes/streamEngine.ts'

afterEach(() => { vi.restoreAllMocks() })

function startFleet () {
  const fleet = new GatewayFleet({ gateways: 1, engines: 2, slots: 1, queueLimit: 0, paces: { small: 1 }, seed: 1, retryLimits: { ratio: 0, windowMilliseconds: 60_000, slack: 0 } })
  const call = (attemptId: string, deadline: number) => fleet.call(0, '/query/20', { model: 'small', 'token-usage': '600,300', 'deadline-ms': String(deadline), 'attempt-id': attemptId })
  return { fleet, call }
}

test('an endpoint is not excluded because a request had no time left for its connection', async () => {
  const { fleet, call } = startFleet()
  const short = call('a1', 1)
  await fleet.clock.advance(50)
  await short
  const calls = ['a2', 'a3'].map(attemptId => call(attemptId, 5_000))
  await fleet.clock.advance(6_000)
  for (const outcome of await Promise.all(calls)) expect(outcome).toMatchObject({ status: 200, events: 20 })
})

test.each([
  ['their deadline comes', 10, () => undefined],
  ['a planned stop ends', 5_000, (fleet: GatewayFleet) => {
    fleet.stops[0]!.begin(fleet.clock.now())
    fleet.stops[0]!.endWaits()
  }]
])('an endpoint is not blamed for attempts that are still connecting when %s', async (_name, deadline, interrupt) => {
  const { fleet, call } = startFleet()
  const losses = vi.spyOn(EndpointHealth.prototype, 'recordLoss')
  for (const engine of fleet.engines) engine.stopAccepting()
  const calls = Array.from({ length: 6 }, (_, index) => call(`a${index}`, deadline))
  await fleet.clock.advance(8)
  interrupt(fleet)
  await fleet.clock.advance(8)
  await Promise.all(calls)
  expect(losses).not.toHaveBeenCalled()
})

test('an endpoint that does not accept a connection in the time for it is blamed', async () => {
  const { fleet, call } = startFleet()
  const losses = vi.spyOn(EndpointHealth.prototype, 'recordLoss')
  for (const engine of fleet.engines) engine.stopAccepting()
  const calls = ['a1', 'a2'].map(attemptId => call(attemptId, 5_000))
  await fleet.clock.advance(connectTimeoutMilliseconds + 10)
  expect(losses).toHaveBeenCalled()
  await fleet.clock.advance(6_000)
  await Promise.all(calls)
})
