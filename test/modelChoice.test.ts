import { expect, test } from 'vitest'
import { type GatewayFleetOptions, GatewayFleet } from './fakes/gatewayFleet.ts'

const answerEvents = 60
const stepMilliseconds = 100
const usualPaces = { small: 0.3, medium: 0.8, large: 3 }
const attemptHeaders = { model: '*', 'token-usage': '600,954' }

function fleetWith (options: Partial<GatewayFleetOptions> = {}): GatewayFleet {
  return new GatewayFleet({ gateways: 1, engines: 2, slots: 12, queueLimit: 25, paces: usualPaces, seed: 3, ...options })
}

/** Calls, and names the models that were asked for it. */
async function modelsAskedFor (fleet: GatewayFleet, headers: Readonly<Record<string, string>>): Promise<readonly string[]> {
  const call = fleet.call(0, `/query/${answerEvents}`, { ...attemptHeaders, ...headers })
  const endedLine = () => fleet.lines.find(({ event, request }) => event === 'request_ended' && request === headers['attempt-id'])
  while (endedLine() === undefined) await fleet.clock.advance(stepMilliseconds)
  await call
  return endedLine()!.attempts.map(attempt => attempt.split(' ')[2]!)
}

test('a stream that its caller resumes with little time left goes on with a model that can end it, and with the largest otherwise', async () => {
  const fleet = fleetWith()
  expect(await modelsAskedFor(fleet, { 'attempt-id': 'late', 'last-event-id': '20', 'deadline-ms': '1200' })).toEqual(['small'])
  expect(await modelsAskedFor(fleet, { 'attempt-id': 'early', 'last-event-id': '20', 'deadline-ms': '20000' })).toEqual(['large'])
})

test('a stream that its caller resumes while streams of the largest model crawl goes on with a smaller one', async () => {
  const fleet = fleetWith({ paces: { ...usualPaces, large: 12 } })
  expect(await modelsAskedFor(fleet, { 'attempt-id': 'first', 'last-event-id': '1', 'deadline-ms': '20000' })).toEqual(['large'])
  expect(await modelsAskedFor(fleet, { 'attempt-id': 'second', 'last-event-id': '1', 'deadline-ms': '20000' })).toEqual(['small'])
})

test('a stall of the gateway makes no model look late', async () => {
  const modelsAfterWait = async (isHeldUp: boolean) => {
    const fleet = fleetWith()
    const waiting = Array.from({ length: 8 }, (_, index) => fleet.call(0, `/query/${answerEvents}`, { ...attemptHeaders, 'attempt-id': `waiting${index}`, 'deadline-ms': '20000', model: 'large' }))
    const unplanned = Array.from({ length: 8 }, (_, index) => fleet.call(0, `/query/${answerEvents}`, { ...attemptHeaders, 'attempt-id': `any${index}`, 'deadline-ms': '20000' }))
    await fleet.clock.advance(10)
    if (isHeldUp) await fleet.clock.stall(4_000)
    await fleet.clock.advance(12_000)
    await Promise.all([...waiting, ...unplanned])
    const asked = []
    for (let index = 0; index < 12; index++) asked.push(await modelsAskedFor(fleet, { 'attempt-id': `later${index}`, 'deadline-ms': '8000' }))
    return asked
  }
  expect(await modelsAfterWait(true)).toEqual(await modelsAfterWait(false))
})
