import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { PinnedSessions, RollOutCoordinator, RollOutView, type RollOutStore, type VersionedStatus } from '../src/gateway/index.ts'
import { Log } from '../src/observe/index.ts'
import { type EvidenceRun, VersionSelector } from '../src/placement/index.ts'
import { type RollOutEvidence, type RollOutOrder, RollOutState } from '../src/routing/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const order: RollOutOrder = { service: 'engines', toVersion: 'v2', durationMilliseconds: 24_000 }
/** Time from a write until all gateways have read it. */
const propagationMilliseconds = 200
const gatewayCount = 60
/** Responses of the new version per second, over the whole fleet. */
const newVersionResponsesPerSecond = 14
const oldVersionResponsesPerGateway = 30
const usualEventMilliseconds = 60
const eventCount = 20

/** A whole run whose first event comes in time and whose further events come at a pace. */
function writeRun (run: EvidenceRun, sentAt: number, eventMilliseconds: number): void {
  const begunAt = sentAt + 100
  run.recordBegin(begunAt)
  for (let event = 1; event < eventCount; event++) run.recordEvents(1, begunAt + event * eventMilliseconds)
  run.finish(begunAt + (eventCount - 1) * eventMilliseconds)
}

const kinds = ['query', 'summary', 'tag']

/** Shares of the new version's runs that are slow or fail. */
interface FaultShares {
  readonly slow: number
  readonly failed: number
  /** The only kind of request that fails; all kinds by default. */
  readonly failedKind?: string
}

/** Creates gateways that coordinate one roll-out over a store, whose writes they read with a delay. */
function createFleet (seed: number) {
  const clock = new ManualClock()
  const randomness = new SeededRandomness(seed)
  const log = new Log('error', {}, () => undefined)
  const evidence = new Map<string, RollOutEvidence>()
  let statusRow: VersionedStatus | undefined
  let evidenceWriteCount = 0
  const views = Array.from({ length: gatewayCount }, (_, index) => new RollOutView(`gateway-${index}`, 0.15, () => clock.now()))
  const propagate = () => {
    const [statuses, evidenceRows] = [statusRow === undefined ? [] : [statusRow], [...evidence.values()]]
    clock.sleep(propagationMilliseconds).then(() => { for (const view of views) view.installStatuses({ statuses, evidence: evidenceRows, pinnedSessions: new PinnedSessions([], [], 0), epoch: 0 }) }, () => undefined)
  }
  const store: RollOutStore = {
    get storeTime () { return clock.now() },
    epoch: 0,
    writeStatus: async (status, expectedVersion) => {
      if ((statusRow?.rowVersion ?? 0) !== expectedVersion) return { outcome: 'conflict', isWritten: false }
      statusRow = { status, rowVersion: expectedVersion + 1 }
      propagate()
      return { outcome: 'written', isWritten: true }
    },
    writeEvidence: async gatewayEvidence => {
      evidenceWriteCount++
      evidence.set(gatewayEvidence.observer, gatewayEvidence)
      propagate()
      return 'written'
    },
    writePins: async () => true,
    writeHandOver: async () => 'written'
  }
  const coordinators = views.map((view, index) => {
    view.installOrders([order])
    return new RollOutCoordinator({ view, versionSelector: new VersionSelector(5_000), observer: `gateway-${index}`, store, clock, randomness: new SeededRandomness(index), log, hasEndpoints: () => true })
  })
  for (const coordinator of coordinators) coordinator.start()
  const observe = (version: string, faultShares: FaultShares) => {
    const kind = kinds[randomness.integerBelow(kinds.length)]!
    const sample = randomness.fraction()
    const latencyMilliseconds = sample < faultShares.slow ? 900 : 120
    const failed = faultShares.failedKind === undefined || faultShares.failedKind === kind ? faultShares.failed : 0
    const isFailed = sample >= faultShares.slow && sample < faultShares.slow + failed
    const sentAt = clock.now()
    const run = views[randomness.integerBelow(gatewayCount)]?.openRun(order.service, version, { kind, requestClass: kind, sentAt })
    if (isFailed) return run?.recordFailure()
    run?.recordBegin(sentAt + latencyMilliseconds)
    run?.finish(sentAt + latencyMilliseconds)
  }
  return {
    status: () => statusRow?.status.state,
    writes: () => evidenceWriteCount,
    /** Simulates some seconds in which the new version is slow or fails at the given shares. */
    async play (seconds: number, faultShares: FaultShares) {
      for (let index = 0; index < gatewayCount * oldVersionResponsesPerGateway; index++) observe('v1', { slow: 0.02, failed: 0.01 })
      for (let responseIndex = 0; responseIndex < seconds * newVersionResponsesPerSecond; responseIndex++) {
        await clock.advance(1_000 / newVersionResponsesPerSecond)
        observe('v2', faultShares)
      }
    },
    /** Simulates some seconds without requests. */
    wait: (seconds: number) => clock.advance(seconds * 1_000),
    /** Simulates some seconds in which each run of the old version writes at the usual pace and each run of the new one as given. */
    async playRuns (seconds: number, writeNew: (run: EvidenceRun, sentAt: number) => void) {
      const openRun = (version: string) => views[randomness.integerBelow(gatewayCount)]!.openRun(order.service, version, { kind: 'query', requestClass: 'query', sentAt: clock.now() })!
      for (let index = 0; index < gatewayCount * oldVersionResponsesPerGateway; index++) writeRun(openRun('v1'), clock.now(), usualEventMilliseconds)
      for (let index = 0; index < seconds * newVersionResponsesPerSecond; index++) {
        writeNew(openRun('v2'), clock.now())
        await clock.advance(1_000 / newVersionResponsesPerSecond)
      }
    },
    stop () { for (const coordinator of coordinators) coordinator.stop() }
  }
}

test('a sound version is not reverted by a large fleet whose gateways each see few responses', async () => {
  for (const seed of [1, 2, 3]) {
    const { play, status, stop, writes } = createFleet(seed)
    await play(12, { slow: 0.08, failed: 0.02 })
    expect(status()).toBe(RollOutState.Running)
    expect(writes()).toBeLessThan(4 * gatewayCount)
    stop()
  }
})

test('a version that fails four of ten responses is soon reverted by a large fleet', async () => {
  for (const seed of [1, 2, 3]) {
    const { play, status, stop } = createFleet(seed)
    await play(1, { slow: 0, failed: 0 })
    await play(6, { slow: 0.02, failed: 0.4 })
    expect(status()).toBe(RollOutState.Reverted)
    stop()
  }
})

test('a version that fails half of one kind of request among three is reverted by a large fleet before it gets all traffic', async () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const { play, status, stop } = createFleet(seed)
    await play(12, { slow: 0.02, failed: 0.5, failedKind: 'tag' })
    stop()
    expect(status()).toBe(RollOutState.Reverted)
  }
})

test('a version that is still in doubt when its roll-out ends is reverted, since the old version could not come back', async () => {
  // With this seed two requests of the kind arrive, which both fail.
  const { play, wait, status, stop } = createFleet(2)
  await play(0.6, { slow: 0, failed: 1, failedKind: 'tag' })
  await wait(20)
  expect(status()).toBe(RollOutState.Running)
  await wait(4)
  stop()
  expect(status()).toBe(RollOutState.Reverted)
})

test('a version that is several times slower is soon reverted by a large fleet', async () => {
  for (const seed of [1, 2, 3]) {
    const { play, status, stop } = createFleet(seed)
    await play(1, { slow: 0, failed: 0 })
    await play(6, { slow: 0.6, failed: 0.01 })
    expect(status()).toBe(RollOutState.Reverted)
    stop()
  }
})

test('a version whose answers begin in time and are then written several times slower is soon reverted', async () => {
  const { playRuns, status, stop } = createFleet(1)
  await playRuns(6, (run, sentAt) => writeRun(run, sentAt, 8 * usualEventMilliseconds))
  expect(status()).toBe(RollOutState.Reverted)
  stop()
})

test('a version whose answers never begin is soon reverted, before its runs are given up', async () => {
  const { playRuns, status, stop } = createFleet(1)
  await playRuns(6, () => undefined)
  expect(status()).toBe(RollOutState.Reverted)
  stop()
})

test('a version whose slow runs are given up before they end is soon reverted', async () => {
  const { playRuns, status, stop } = createFleet(1)
  await playRuns(6, (run, sentAt) => {
    run.recordBegin(sentAt + 100)
    run.recordEvents(2, sentAt + 400)
    run.abandon(sentAt + 1_500)
  })
  expect(status()).toBe(RollOutState.Reverted)
  stop()
})

test('a version that pauses now and then, as the old one does, is not reverted', async () => {
  const { playRuns, status, stop } = createFleet(1)
  let runs = 0
  await playRuns(8, (run, sentAt) => writeRun(run, sentAt, runs++ % 5 === 0 ? 4 * usualEventMilliseconds : 1.5 * usualEventMilliseconds))
  expect(status()).toBe(RollOutState.Running)
  stop()
})

test('a version whose answers are dropped for those of a larger model is not reverted', async () => {
  const { playRuns, status, stop } = createFleet(1)
  await playRuns(8, (run, sentAt) => {
    run.recordBegin(sentAt + 100)
    run.abandon(sentAt + 101)
  })
  expect(status()).toBe(RollOutState.Running)
  stop()
})

test('handed-over sessions are pinned while they may still be continued when the roll-out begins, and no longer', () => {
  const handOvers = [
    { observer: 'gateway-1', listedAt: 10_000, sessions: ['recent'] },
    { observer: 'gateway-2', listedAt: 4_000, sessions: ['ended'] }
  ]
  const pins = [{ service: order.service, toVersion: order.toVersion, observer: 'gateway-3', sessions: ['pinned'] }]
  const pinned = new PinnedSessions(pins, handOvers, 5_000)
  expect([...pinned.of({ ...order, startedAt: 12_000 })]).toEqual(['pinned', 'recent'])
  expect([...pinned.of({ ...order, startedAt: undefined })]).toEqual(['pinned'])
  expect([...pinned.of({ ...order, toVersion: 'v3', startedAt: 12_000 })]).toEqual(['recent'])
})

/** A view that reads one status row at a time. */
function createView () {
  const view = new RollOutView('gateway-0', 0.15, () => 0)
  const readStatus = (toVersion: string, state: RollOutState, epoch: number) => view.installStatuses({
    statuses: [{ status: { service: 'engines', toVersion, state, startedAt: 1 }, rowVersion: 1 }], evidence: [], pinnedSessions: new PinnedSessions([], [], 0), epoch
  })
  return { view, readStatus, stateOf: (toVersion: string) => view.statusOf({ ...order, toVersion })?.state }
}

test('a version whose roll-out was reverted can be ordered again after another one', () => {
  const { readStatus, stateOf } = createView()
  readStatus('v2', RollOutState.Reverted, 1)
  expect(stateOf('v2')).toBe(RollOutState.Reverted)
  readStatus('v3', RollOutState.Complete, 1)
  expect(stateOf('v2')).toBeUndefined()
})

test('a status that an older copy of the store lacks holds on, whichever roll-out the copy knows', () => {
  const { view, readStatus, stateOf } = createView()
  readStatus('v2', RollOutState.Reverted, 1)
  readStatus('v3', RollOutState.Complete, 1)
  readStatus('v2', RollOutState.Running, 2)
  expect(stateOf('v3')).toBe(RollOutState.Complete)
  expect(view.lostStatusOf({ ...order, toVersion: 'v3' })?.state).toBe(RollOutState.Complete)
  readStatus('v3', RollOutState.Complete, 2)
  expect(view.lostStatusOf({ ...order, toVersion: 'v3' })).toBeUndefined()
})

test('sessions stay on the old version when another roll-out is ordered right after one was reverted', () => {
  const view = new RollOutView('gateway-0', 0.15, () => 10_000)
  const rowsOf = (toVersion: string, state: RollOutState) => ({ statuses: [{ status: { service: 'engines', toVersion, state, startedAt: 0 }, rowVersion: 1 }], evidence: [], pinnedSessions: new PinnedSessions([], [], 0), epoch: 0 })
  const versions = new VersionSelector(5_000)
  const place = { region: 'coast', dataCentre: 'coast-1' }
  const endpoints = ['v1', 'v2', 'v3'].map(version => ({ identity: version, bornAt: 1, service: 'engines', address: '10.0.0.1:80', place, version, isDraining: false, models: [] }))
  const versionsOfSessions = (now = 0) => new Set([...Array(200).keys()].flatMap(index => versions.chooseEndpoints(endpoints, view.splitOf('engines'), `session-${index}`, '', now).map(({ version }) => version)))
  view.installOrders([{ ...order, toVersion: 'v2' }])
  view.installStatuses(rowsOf('v2', RollOutState.Reverted))
  view.installOrders([{ ...order, toVersion: 'v3' }])
  expect(versionsOfSessions()).toEqual(new Set(['v1']))
  view.installStatuses(rowsOf('v3', RollOutState.Running))
  expect(versionsOfSessions()).not.toContain('v2')
  view.installOrders([{ ...order, toVersion: 'v2' }])
  view.installStatuses(rowsOf('v2', RollOutState.Running))
  expect(versionsOfSessions(60_000)).toContain('v2')
})

test('a session that begins between the order and the trial is published too, since its next request may reach another gateway', async () => {
  const clock = new ManualClock()
  const view = new RollOutView('gateway-0', 0.15, () => clock.now())
  const versionSelector = new VersionSelector(5_000)
  const place = { region: 'coast', dataCentre: 'coast-1' }
  const old = [{ identity: 'old', bornAt: 1, service: order.service, address: '10.0.0.1:80', place, version: 'v1', isDraining: false, models: [] }]
  const published = new Set<string>()
  const store: RollOutStore = {
    get storeTime () { return clock.now() },
    epoch: 0,
    writeStatus: async () => ({ outcome: 'written', isWritten: true }),
    writeEvidence: async () => 'written',
    writePins: async ({ sessions }) => {
      for (const session of sessions) published.add(session)
      return true
    },
    writeHandOver: async () => 'written'
  }
  view.installOrders([order])
  const coordinator = new RollOutCoordinator({ view, versionSelector, observer: 'gateway-0', store, clock, randomness: new SeededRandomness(1), log: new Log('error', {}, () => undefined), hasEndpoints: () => true })
  coordinator.start()
  const serve = (name: string) => { for (let index = 0; index < 400; index++) versionSelector.chooseEndpoints(old, undefined, `${name}-${index}`, '', clock.now()) }
  serve('before')
  await clock.advance(1_900)
  serve('between')
  await clock.advance(1_000)
  coordinator.stop()
  const counts = ['before', 'between'].map(name => [...published].filter(session => session.startsWith(name)).length)
  expect(Math.min(...counts)).toBeGreaterThan(10)
})
