import { expect, test } from 'vitest'
import { GatewayFleet } from './fakes/gatewayFleet.ts'

const fleetOptions = { gateways: 1, engines: 2, slots: 1, queueLimit: 0, paces: { small: 0.3, large: 3 }, seed: 1 }
const queryHeaders = { 'attempt-id': 'a1', model: 'large', 'token-usage': '600,60', 'deadline-ms': '10000' }

test('the log line of a streamed request tells its size, how many events were relayed, and where its caller resumed it', async () => {
  const fleet = new GatewayFleet(fleetOptions)
  const response = fleet.call(0, '/query/10', { ...queryHeaders, 'last-event-id': '4' })
  await fleet.clock.advance(5_000)
  expect(await response).toMatchObject({ status: 200, events: 6, isComplete: true })
  expect(fleet.lines).toEqual([expect.objectContaining({ event: 'request_ended', outcome: 'answered', promptTokens: 600, maximumOutputTokens: 60, resumedAfter: '4', events: 6 })])
})

test('the log line of a refused request tells its size, so that refusals can be counted by it', async () => {
  const fleet = new GatewayFleet(fleetOptions)
  const served = [0, 1].map(index => fleet.call(0, '/query/10', { ...queryHeaders, 'attempt-id': `b${index}` }))
  await fleet.clock.advance(100)
  const refused = fleet.call(0, '/query/10', queryHeaders)
  await fleet.clock.advance(5_000)
  expect((await refused).status).toBe(503)
  for (const response of served) expect((await response).isComplete).toBe(true)
  const line = fleet.lines.find(({ request }) => request === 'a1')
  expect(line).toMatchObject({ outcome: 'endpoints_full', promptTokens: 600, maximumOutputTokens: 60 })
  expect(line).not.toHaveProperty('events')
})
