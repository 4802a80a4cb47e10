import fc from 'fast-check'
import { expect, test } from 'vitest'
import { RollOutView } from '../src/gateway/index.ts'
import { EvidenceCollector } from '../src/placement/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const order = { service: 'engines', toVersion: 'v2', durationMilliseconds: 20_000 }
/** Of a response to its begin, and of an event. */
const usualMilliseconds = 200

test('stalls of any length at any moment neither make runs of a new version slow nor change what is usual', () => {
  const stall = fc.record({ milliseconds: fc.integer({ min: 50, max: 60_000 }), isBeforeBegin: fc.boolean() })
  fc.assert(fc.property(fc.array(stall, { maxLength: 20 }), fc.array(stall, { minLength: 1, maxLength: 20 }), (oldStalls, newStalls) => {
    let heldUpMilliseconds = 0
    let now = 0
    const collector = new EvidenceCollector(() => heldUpMilliseconds)
    const run = (isNew: boolean, { milliseconds, isBeforeBegin }: { readonly milliseconds: number, readonly isBeforeBegin: boolean }, eventMilliseconds = usualMilliseconds) => {
      const evidence = collector.open({ kind: 'query', requestClass: 'query', isNew, sentAt: now })
      const wait = (isHeldUp: boolean) => {
        now += eventMilliseconds + (isHeldUp ? milliseconds : 0)
        if (isHeldUp) heldUpMilliseconds += milliseconds
        collector.checkOpenRuns(now)
      }
      wait(isBeforeBegin)
      evidence.recordBegin(now)
      wait(!isBeforeBegin)
      evidence.recordEvents(1, now)
      evidence.finish(now)
    }
    for (let index = 0; index < 10; index++) run(false, { milliseconds: 0, isBeforeBegin: true })
    for (const oldStall of oldStalls) run(false, oldStall)
    for (const newStall of newStalls) run(true, newStall)
    expect(collector.newVersionCounts.slow).toBe(0)
    run(true, newStalls[0]!, 4 * usualMilliseconds)
    expect(collector.newVersionCounts.slow).toBe(1)
  }), { seed: 54 })
})

test('a suspicion of a version is not confirmed by a stall in which the evidence of others could not be read', async () => {
  const clock = new ManualClock()
  const view = new RollOutView('gateway-0', 0.15, () => clock.now(), () => clock.heldUpMilliseconds())
  view.installOrders([order])
  for (const version of ['v1', 'v2']) {
    for (let index = 0; index < 40; index++) {
      const run = view.openRun('engines', version, { kind: 'query', requestClass: 'query', sentAt: clock.now() })
      if (version === 'v2') run?.recordFailure()
      run?.recordBegin(clock.now() + 100)
      run?.finish(clock.now() + 100)
    }
  }
  view.reviewEvidence(order, clock.now())
  await clock.stall(5_000)
  view.reviewEvidence(order, clock.now())
  expect(view.shouldRevert(order)).toBe(false)
  await clock.advance(1_300)
  view.reviewEvidence(order, clock.now())
  expect(view.shouldRevert(order)).toBe(true)
})
