import fc from 'fast-check'
import { expect, test } from 'vitest'
import { EndpointLoads } from '../src/placement/index.ts'
import { type CallOutcome, GatewayFleet } from './fakes/gatewayFleet.ts'

const endpoint = { identity: 'e0', bornAt: 1, service: 'engines', address: '10.0.0.1:80', place: { region: 'coast', dataCentre: 'west' }, version: 'v1', isDraining: false, models: [] }
const noWork = { prefillMilliseconds: 0, generationMilliseconds: 0 }
const streamHeaders = { model: 'small', 'token-usage': '600,300' }
const longTimeoutMilliseconds = 60_000
/** A started run is given up after this time, whatever its endpoint shows, and then at the next look. */
const latestGiveUpMilliseconds = 2_100

function startFleet (): GatewayFleet {
  return new GatewayFleet({ gateways: 1, engines: 3, slots: 12, queueLimit: 25, paces: { small: 1 }, seed: 1, timeoutMilliseconds: longTimeoutMilliseconds, retryLimits: { ratio: 1, windowMilliseconds: 60_000, slack: 50 } })
}

/** Sends calls that begin one after the other; resolves once all have ended. */
async function callAll (fleet: GatewayFleet, count: number, name: string, deadlineMilliseconds = longTimeoutMilliseconds): Promise<readonly CallOutcome[]> {
  const calls = Array.from({ length: count }, async (_, index) => {
    await fleet.clock.sleep(index * 150)
    const path = index % 2 === 0 ? '/query/60' : '/balance/40'
    return await fleet.call(0, path, { ...streamHeaders, 'attempt-id': `${name}${index}`, 'deadline-ms': String(deadlineMilliseconds) })
  })
  return await Promise.all(calls)
}

function attemptsOf (fleet: GatewayFleet, name: string): readonly string[] {
  return fleet.lines.filter(({ event, request }) => event === 'request_ended' && request.startsWith(name)).flatMap(({ attempts }) => attempts)
}

test('after a stall of any length at any moment each call is answered by the endpoint that it was sent to, and no endpoint is excluded', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 2_000 }), fc.integer({ min: 10, max: 30_000 }), async (moment, stallMilliseconds) => {
    const fleet = startFleet()
    const outcomes = callAll(fleet, 8, 'before')
    await fleet.clock.advance(moment)
    await fleet.clock.stall(stallMilliseconds)
    const later = callAll(fleet, 12, 'later')
    await fleet.clock.advance(10_000)
    for (const { status, isComplete } of [...await outcomes, ...await later]) expect([status, isComplete]).toEqual([200, true])
    expect(fleet.lines.filter(({ event }) => event === 'run_given_up')).toEqual([])
    expect(attemptsOf(fleet, 'before')).toHaveLength(8)
    expect(attemptsOf(fleet, 'later')).toHaveLength(12)
  }), { seed: 54, numRuns: 40 })
}, 60_000)

test('an endpoint that is gone is found in its time after a stall of any length at any moment', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 0, max: 400 }), fc.integer({ min: 10, max: 30_000 }), async (moment, stallMilliseconds) => {
    const fleet = startFleet()
    const outcome = fleet.call(0, '/query/60', { ...streamHeaders, 'attempt-id': 'a', 'deadline-ms': String(longTimeoutMilliseconds) })
    await fleet.clock.advance(300)
    fleet.engines.find(({ runningCount }) => runningCount > 0)!.pauseFor(Number.MAX_SAFE_INTEGER)
    await fleet.clock.advance(moment)
    await fleet.clock.stall(stallMilliseconds)
    await fleet.clock.advance(latestGiveUpMilliseconds - moment)
    expect(fleet.lines.filter(({ event, reason }) => event === 'run_given_up' && reason === 'silence')).toHaveLength(1)
    await fleet.clock.advance(10_000)
    expect(await outcome).toMatchObject({ status: 200, isComplete: true })
  }), { seed: 54, numRuns: 40 })
}, 60_000)

test('an endpoint is not excluded for a silence that ended at the deadline of its run in a stall of this process', async () => {
  const fleet = startFleet()
  const outcomes = callAll(fleet, 1, 'before', 1_000)
  await fleet.clock.advance(100)
  await fleet.clock.stall(2_000)
  await outcomes
  const [blamed] = attemptsOf(fleet, 'before').map(attempt => attempt.split(' ')[0]!)
  const later = callAll(fleet, 6, 'later')
  await fleet.clock.advance(800)
  const usedAtOnce = fleet.engines.filter(({ runningCount }) => runningCount > 0).map(({ options }) => options.endpoint.identity)
  expect(usedAtOnce).toContain(blamed)
  await fleet.clock.advance(10_000)
  await later
})

test('a stall is neither a wait at the endpoint nor a silence of it', () => {
  let heldUpMilliseconds = 0
  const loads = new EndpointLoads(() => undefined, () => heldUpMilliseconds)
  const tracker = loads.track(endpoint, noWork, 0)
  heldUpMilliseconds = 900
  tracker.recordResponseStart(1_000)
  expect(tracker.waitMilliseconds(1_000)).toBeLessThanOrEqual(100)
  heldUpMilliseconds = 2_900
  expect(tracker.silentMilliseconds(3_100)).toBe(100)
  loads.recordAcceptance(endpoint, 3_100)
  heldUpMilliseconds = 4_900
  expect(tracker.unacceptedMilliseconds(5_150)).toBe(50)
})
