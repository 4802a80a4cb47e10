import { expect, test } from 'vitest'
import { RollOutView } from '../src/gateway/index.ts'
import { EvidenceCollector } from '../src/placement/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const order = { service: 'engines', toVersion: 'v2', durationMilliseconds: 20_000 }

test('a stall neither makes runs of a new version slow nor changes what is usual', () => {
  let heldUpMilliseconds = 0
  const collector = new EvidenceCollector(() => heldUpMilliseconds)
  const run = (isNew: boolean, sentAt: number, stallMilliseconds = 0, milliseconds = 100) => {
    const evidence = collector.open({ kind: 'query', requestClass: 'query', isNew, sentAt })
    heldUpMilliseconds += stallMilliseconds
    evidence.recordBegin(sentAt + milliseconds + stallMilliseconds)
    evidence.recordEvents(2, sentAt + 2 * milliseconds + stallMilliseconds)
    evidence.finish(sentAt + 2 * milliseconds + stallMilliseconds)
  }
  for (let index = 0; index < 10; index++) run(false, index * 1_000)
  for (let index = 0; index < 10; index++) run(false, index * 10_000, 5_000)
  for (let index = 0; index < 10; index++) run(true, index * 10_000, 5_000)
  expect(collector.newVersionCounts.slow).toBe(0)
  run(true, 0, 5_000, 400)
  expect(collector.newVersionCounts.slow).toBe(1)
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
