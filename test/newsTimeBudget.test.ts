import fc from 'fast-check'
import { expect, test } from 'vitest'
import { divideNewsTime } from '../src/replica/index.ts'
import { type FollowingFleet, startFollowingFleet } from './fakes/followingFleet.ts'

/** The platform allows this many calls for the smallest fleets; larger ones may make more. */
const allowedCallsPerSecond = 2_000
/** Beyond the time that any connection is waited for. */
const spreadMilliseconds = 4_500

const stallMilliseconds = 700

interface Play {
  readonly storeSilentAt: number
  readonly linksSilentAt: number
  readonly changedAt: number
  /** Varies the moment in the cycle of calls at which the events come. */
  readonly warmUpMilliseconds: number
  readonly replyMilliseconds: number
  readonly seed: number
}

const anyMoment = fc.integer({ min: 0, max: 2 * spreadMilliseconds })
/** Just before a change, or anywhere around it. */
const silentMoment = fc.oneof(fc.integer({ min: spreadMilliseconds - 60, max: spreadMilliseconds }), anyMoment)

const plays = fc.record({
  storeSilentAt: silentMoment,
  linksSilentAt: silentMoment,
  changedAt: fc.constant(spreadMilliseconds),
  warmUpMilliseconds: fc.integer({ min: 8_000, max: 12_000 }),
  replyMilliseconds: fc.constantFrom(5, 5, 250),
  seed: fc.integer({ min: 1, max: 1_000 })
})

/** Plays the events in order and advances to the moment at which the change must be in force. */
async function play (fleet: FollowingFleet, { storeSilentAt, linksSilentAt, changedAt, replyMilliseconds, warmUpMilliseconds }: Play, allowedMilliseconds: number): Promise<void> {
  await fleet.clock.advance(warmUpMilliseconds)
  fleet.store.replyMilliseconds = replyMilliseconds
  const events = [
    { at: storeSilentAt, run: () => fleet.store.silenceConnections() },
    { at: linksSilentAt, run: () => fleet.network.silenceConnections() },
    { at: changedAt, run: () => fleet.store.change() }
  ].filter(({ at }) => at <= changedAt + allowedMilliseconds)
  const startedAt = fleet.clock.now()
  for (const { at, run } of events.sort((left, right) => left.at - right.at)) {
    await fleet.clock.advance(startedAt + at - fleet.clock.now())
    run()
  }
  await fleet.clock.advance(startedAt + changedAt + allowedMilliseconds - fleet.clock.now())
}

/** The largest number of calls within any second. */
function peakCallsPerSecond (times: readonly number[]): number {
  let first = 0
  return times.reduce((peak, time, index) => {
    while (times[first]! <= time - 1_000) first++
    return Math.max(peak, index - first + 1)
  }, 0)
}

const fleets = [
  { size: 1, hasRelays: false, plays: 60 },
  { size: 8, hasRelays: false, plays: 30 },
  { size: 8, hasRelays: true, plays: 20 },
  { size: 16, hasRelays: true, plays: 20 },
  { size: 20, hasRelays: false, plays: 10 },
  { size: 20, hasRelays: true, plays: 20 },
  { size: 65, hasRelays: true, plays: 5 },
  { size: 90, hasRelays: true, plays: 4 },
  { size: 195, hasRelays: true, plays: 2 }
]

const cases = [2_500, 4_000].flatMap(allowedMilliseconds => fleets.map(fleet => ({ ...fleet, allowedMilliseconds })))

test.each(cases)('a change is in force in $allowedMilliseconds ms at $size gateways (relays: $hasRelays), though all open connections of every hop fall silent', async ({ size, hasRelays, plays: numberOfPlays, allowedMilliseconds }) => {
  await fc.assert(fc.asyncProperty(plays, async events => {
    const fleet = startFollowingFleet({ size, hasRelays, allowedMilliseconds, seed: events.seed })
    await play(fleet, events, allowedMilliseconds)
    const version = fleet.oldestVersion()
    fleet.stop()
    expect(version).toBe(fleet.store.version)
    expect(peakCallsPerSecond(fleet.store.callTimes)).toBeLessThanOrEqual(allowedCallsPerSecond)
  }), { numRuns: numberOfPlays, seed: 51, endOnFailure: true })
}, 60_000)

test.each([2_500, 4_000])('at no moment of the cycle of calls does a silent connection make a change come later than %i ms', async allowedMilliseconds => {
  for (let moment = 0; moment < spreadMilliseconds; moment += 15) {
    const fleet = startFollowingFleet({ size: 1, hasRelays: false, allowedMilliseconds, seed: moment + 1 })
    await play(fleet, { storeSilentAt: 0, linksSilentAt: 0, changedAt: 1, replyMilliseconds: 5, warmUpMilliseconds: 8_000 + moment, seed: 1 }, allowedMilliseconds)
    fleet.stop()
    expect([moment, fleet.oldestVersion()]).toEqual([moment, fleet.store.version])
  }
}, 60_000)

test.each([2_500, 4_000])('at no moment of the cycle of calls does a stall of the event loop after a silence make a change come later than %i ms', async allowedMilliseconds => {
  for (let moment = 0; moment < spreadMilliseconds; moment += 15) {
    const fleet = startFollowingFleet({ size: 1, hasRelays: false, allowedMilliseconds, seed: moment + 1 })
    await fleet.clock.advance(8_000 + moment)
    fleet.store.replyMilliseconds = 250
    fleet.store.silenceConnections()
    fleet.store.change()
    await fleet.clock.stall(stallMilliseconds)
    await fleet.clock.advance(allowedMilliseconds - stallMilliseconds)
    fleet.stop()
    expect([moment, fleet.oldestVersion()]).toEqual([moment, fleet.store.version])
  }
}, 60_000)

test.each([2_500, 4_000])('while all connections work, only the relays ask the store, though it answers slowly (%i ms allowed)', async allowedMilliseconds => {
  const fleet = startFollowingFleet({ size: 20, hasRelays: true, allowedMilliseconds, seed: 1 })
  await fleet.clock.advance(8_000)
  fleet.store.replyMilliseconds = 250
  await fleet.clock.advance(5_000)
  const callsBefore = fleet.store.callTimes.length
  await fleet.clock.advance(60_000)
  fleet.stop()
  const callsOfRelay = 2 * Math.ceil(60_000 / divideNewsTime(allowedMilliseconds).relayStoreWaitMilliseconds)
  expect(fleet.store.callTimes.length - callsBefore).toBeLessThanOrEqual(3 * callsOfRelay)
})
