import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { RollOutCoordinator, RollOutView, type RollOutStore, type VersionedStatus } from '../src/gateway/index.ts'
import { Log } from '../src/observe/index.ts'
import { VersionSelector } from '../src/placement/index.ts'
import { type RollOutEvidence, type RollOutOrder, RollOutState } from '../src/routing/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const order: RollOutOrder = { service: 'engines', toVersion: 'v2', durationMilliseconds: 24_000 }
/** From a write until all gateways have read it, in milliseconds. */
const newsMilliseconds = 200
const gateways = 60
/** Answers of the new version that the whole fleet sees in a second. */
const answersPerSecond = 14
const oldAnswers = 30

/** Gateways that carry one roll-out through over a store that all read a little later. */
function fleet (seed: number) {
  const clock = new ManualClock()
  const randomness = new SeededRandomness(seed)
  const log = new Log('error', {}, () => undefined)
  const evidence = new Map<string, RollOutEvidence>()
  let row: VersionedStatus | undefined
  let writes = 0
  const views = Array.from({ length: gateways }, (_, index) => new RollOutView(`gateway-${index}`, () => clock.now()))
  const tellAll = () => {
    const [statuses, told] = [row === undefined ? [] : [row], [...evidence.values()]]
    clock.sleep(newsMilliseconds).then(() => { for (const view of views) view.installStatuses(statuses, told, []) }, () => undefined)
  }
  const store: RollOutStore = {
    get storeTime () { return clock.now() },
    writeStatus: async (status, expectedVersion) => {
      if ((row?.rowVersion ?? 0) !== expectedVersion) return 'conflict'
      row = { status, rowVersion: expectedVersion + 1 }
      tellAll()
      return 'written'
    },
    writeEvidence: async told => {
      writes++
      evidence.set(told.observer, told)
      tellAll()
      return 'written'
    },
    writePins: async () => true
  }
  const duties = views.map((view, index) => {
    view.installOrders([order])
    return new RollOutCoordinator({ view, versionSelector: new VersionSelector(5_000), observer: `gateway-${index}`, store, clock, randomness: new SeededRandomness(index), log, hasEndpoints: () => true })
  })
  for (const duty of duties) duty.start()
  const observe = (version: string, bad: { slow: number, failed: number }) => {
    const drawn = randomness.fraction()
    const milliseconds = drawn < bad.slow ? 900 : 120
    const failed = drawn >= bad.slow && drawn < bad.slow + bad.failed
    views[randomness.integerBelow(gateways)]?.recordResponse(order.service, version, { requestClass: 'query', isFailed: failed, latencyMilliseconds: milliseconds })
  }
  return {
    status: () => row?.status.state,
    writes: () => writes,
    /** Plays some seconds in which the new version answers badly at times. */
    async play (seconds: number, bad: { slow: number, failed: number }) {
      for (let index = 0; index < gateways * oldAnswers; index++) observe('v1', { slow: 0.02, failed: 0.01 })
      for (let answer = 0; answer < seconds * answersPerSecond; answer++) {
        await clock.advance(1_000 / answersPerSecond)
        observe('v2', bad)
      }
    },
    stop () { for (const duty of duties) duty.stop() }
  }
}

test('a sound version is not reverted by a large fleet of which each gateway sees a few answers', async () => {
  for (const seed of [1, 2, 3]) {
    const { play, status, stop, writes } = fleet(seed)
    await play(12, { slow: 0.08, failed: 0.02 })
    expect(status()).toBe(RollOutState.Running)
    expect(writes()).toBeLessThan(4 * gateways)
    stop()
  }
})

test('a version that fails four of ten answers is soon reverted by a large fleet', async () => {
  for (const seed of [1, 2, 3]) {
    const { play, status, stop } = fleet(seed)
    await play(1, { slow: 0, failed: 0 })
    await play(6, { slow: 0.02, failed: 0.4 })
    expect(status()).toBe(RollOutState.Reverted)
    stop()
  }
})

test('a version that answers several times as slowly is soon reverted by a large fleet', async () => {
  for (const seed of [1, 2, 3]) {
    const { play, status, stop } = fleet(seed)
    await play(1, { slow: 0, failed: 0 })
    await play(6, { slow: 0.6, failed: 0.01 })
    expect(status()).toBe(RollOutState.Reverted)
    stop()
  }
})
