import { afterEach, beforeEach, expect, test } from 'vitest'
import { GatewayFleet } from './fakes/gatewayFleet.ts'

const warnings: string[] = []
const recordWarning = ({ name }: Error) => { warnings.push(name) }
beforeEach(() => { process.on('warning', recordWarning) })
afterEach(() => { process.off('warning', recordWarning) })

test('a request that many endpoints refuse to connect to does not leave a listener on its caller\'s connection for each', async () => {
  const fleet = new GatewayFleet({ gateways: 1, engines: 15, slots: 12, queueLimit: 25, paces: {}, seed: 1 })
  for (const engine of fleet.engines) engine.stop()
  const call = fleet.call(0, '/query/5', { 'attempt-id': 'a1', model: '*', 'token-usage': '600,100', 'deadline-ms': '20000' })
  await fleet.clock.advance(20_000)
  expect((await call).status).toBe(503)
  expect(fleet.lines.find(({ event }) => event === 'request_ended')!.attempts.length).toBeGreaterThan(10)
  expect(warnings).toEqual([])
})
