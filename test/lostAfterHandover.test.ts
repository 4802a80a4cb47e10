import { describe, expect, test } from 'vitest'
import { GatewayFleet } from './fakes/gatewayFleet.ts'

const streamHeaders = { model: 'small', 'token-usage': '600,300', 'deadline-ms': '15000' }
const answerEvents = 200

function fleetOfTwo (): GatewayFleet {
  return new GatewayFleet({ gateways: 1, engines: 2, slots: 1, queueLimit: 0, paces: { small: 1 }, seed: 1, retryLimits: { ratio: 0, windowMilliseconds: 60_000, slack: 50 } })
}

/** The engines, the one at work first. */
function enginesOf ({ engines: [left, right] }: GatewayFleet) {
  return left!.runningCount > 0 ? [left!, right!] as const : [right!, left!] as const
}

describe('a stream that was given up for another endpoint', () => {
  test.each([['before its first event', 2], ['after its first event', 300]])('is not lost %s because the other endpoint is full, while it has time and attempts left', async (_when, milliseconds) => {
    const fleet = fleetOfTwo()
    const calls = ['a1', 'a2'].map(attemptId => fleet.call(0, `/query/${answerEvents}`, { ...streamHeaders, 'attempt-id': attemptId }))
    await fleet.clock.advance(milliseconds)
    fleet.engines[0]!.pauseFor(2_500)
    await fleet.clock.advance(16_000)
    for (const call of calls) expect(await call).toMatchObject({ status: 200, events: answerEvents, isComplete: true })
    expect(fleet.engines[1]!.refusals).toBe(1)
  })

  test('is not lost because the other endpoint breaks off', async () => {
    const fleet = fleetOfTwo()
    const call = fleet.call(0, `/query/${answerEvents}`, { ...streamHeaders, 'attempt-id': 'a1' })
    await fleet.clock.advance(300)
    const [first, other] = enginesOf(fleet)
    first.pauseFor(2_500)
    while (other.runningCount === 0) await fleet.clock.advance(10)
    other.stop()
    await fleet.clock.advance(16_000)
    expect(await call).toMatchObject({ status: 200, events: answerEvents, isComplete: true })
  })
})

describe('a stream that broke off', () => {
  test('is not lost because the only other endpoint is full for a moment', async () => {
    const fleet = fleetOfTwo()
    const calls = [fleet.call(0, `/query/${answerEvents}`, { ...streamHeaders, 'attempt-id': 'a1' })]
    await fleet.clock.advance(4_000)
    const [busy, broken] = enginesOf(fleet)
    calls.push(fleet.call(0, `/query/${answerEvents}`, { ...streamHeaders, 'attempt-id': 'a2' }))
    await fleet.clock.advance(600)
    broken.stop()
    await fleet.clock.advance(12_000)
    expect(busy.refusals).toBe(1)
    for (const call of calls) expect(await call).toMatchObject({ status: 200, events: answerEvents, isComplete: true })
  })

  test('is given up at once if no other endpoint may serve it', async () => {
    const fleet = fleetOfTwo()
    const call = fleet.call(0, `/query/${answerEvents}`, { ...streamHeaders, 'attempt-id': 'a1' })
    await fleet.clock.advance(300)
    const [broken, other] = enginesOf(fleet)
    other.stop()
    broken.stop()
    await fleet.clock.advance(50)
    expect(await Promise.race([call, 'waiting'])).toMatchObject({ status: 502 })
  })
})
