import fc from 'fast-check'
import { afterEach, expect, test } from 'vitest'
import { MemberFleet } from './fakes/fakeLinkMembers.ts'

const memberCount = 6
const startMilliseconds = 25_000
const stepMilliseconds = 50
/** Time in which every member is probed, and a suspect of so many members is declared dead. */
const detectionMilliseconds = 25_000
const stalling = 'a-00'
const silent = 'a-01'
/** A suspect of two has somewhat more than three seconds to refute. */
const suspicionMilliseconds = 3_000
const turnsAfterStall = 6
const gone = 'a-05'

let activeFleet: MemberFleet | undefined
afterEach(async () => {
  await activeFleet?.stopAll()
  activeFleet = undefined
})

interface Stall {
  readonly afterMilliseconds: number
  readonly milliseconds: number
}

const stalls = fc.array(fc.record({
  afterMilliseconds: fc.integer({ min: 0, max: 2_000 }),
  milliseconds: fc.oneof(fc.integer({ min: 60, max: 2_500 }), fc.integer({ min: 2_500, max: 30_000 }))
}), { minLength: 1, maxLength: 6 })

async function startFleet (seed: number, count = memberCount): Promise<MemberFleet> {
  await activeFleet?.stopAll()
  activeFleet = new MemberFleet(seed, { a: [count, 2] })
  activeFleet.startAll()
  await activeFleet.clock.advance(startMilliseconds)
  return activeFleet
}

/** Names that some member does not see as alive, but for the one that stalls, which the others may rightly suspect. */
function blamed (fleet: MemberFleet): readonly string[] {
  return fleet.identities.map(({ name }) => name).filter(name => name !== stalling && fleet.observedStates(name).some(state => state !== 'alive'))
}

async function advance (fleet: MemberFleet, milliseconds: number, found: Set<string>): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
    await fleet.clock.advance(Math.min(stepMilliseconds, milliseconds - passed))
    for (const name of blamed(fleet)) found.add(name)
  }
}

async function playStalls (fleet: MemberFleet, series: readonly Stall[], found: Set<string>): Promise<void> {
  for (const { afterMilliseconds, milliseconds } of series) {
    await advance(fleet, afterMilliseconds, found)
    fleet.network.freeze(stalling)
    await advance(fleet, milliseconds, found)
    fleet.network.thaw(stalling)
  }
  await advance(fleet, 2_000, found)
}

test('a daemon that is held up for any time at any moment suspects nobody', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1_000 }), stalls, async (seed, series) => {
    const fleet = await startFleet(seed)
    const found = new Set<string>()
    await playStalls(fleet, series, found)
    expect([...found]).toEqual([])
  }), { numRuns: 12 })
}, 60_000)

test('a daemon that is held up for any time declares no suspect dead that could not refute in that time', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1_000 }), fc.integer({ min: 500, max: suspicionMilliseconds }), stalls, async (seed, silentMilliseconds, series) => {
    const fleet = await startFleet(seed, 2)
    fleet.network.freeze(silent)
    await fleet.clock.advance(silentMilliseconds)
    const dead = new Set<string>()
    for (const { afterMilliseconds, milliseconds } of series) {
      fleet.network.freeze(stalling)
      fleet.network.thaw(silent)
      await fleet.clock.advance(milliseconds)
      fleet.network.thaw(stalling)
      // What the timers do before the input is read shows only here.
      for (let turn = 0; turn < turnsAfterStall; turn++) {
        if (fleet.member(stalling).members().length < 2) dead.add(silent)
        await new Promise(resolve => setImmediate(resolve))
      }
      for (let passed = 0; passed < afterMilliseconds; passed += stepMilliseconds) {
        await fleet.clock.advance(stepMilliseconds)
        if (fleet.member(stalling).members().length < 2) dead.add(silent)
      }
    }
    expect([...dead]).toEqual([])
  }), { numRuns: 100 })
}, 60_000)

test('a daemon that is gone is found by one that is held up again and again', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1_000 }), stalls, async (seed, series) => {
    const fleet = await startFleet(seed)
    await fleet.kill(gone)
    await playStalls(fleet, series, new Set())
    await fleet.clock.advance(detectionMilliseconds)
    expect(fleet.observedStates(gone)).toEqual(Array.from({ length: memberCount - 1 }, () => undefined))
  }), { numRuns: 6 })
}, 60_000)
