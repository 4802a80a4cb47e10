import { expect, test } from 'vitest'
import { type Clock, Err, Ok, type Result, SeededRandomness } from '../src/contract/index.ts'
import { Log } from '../src/observe/index.ts'
import { FeedFailure, RelayFollower, ReplicaFollower, ReplicaRelay, type TableChanges, type TableFeed, TableReplica, type TableSnapshot, divideNewsTime } from '../src/replica/index.ts'
import { FakeLinkNetwork } from './fakes/fakeLink.ts'
import { ManualClock } from './fakes/manualClock.ts'

const rowOf = (key: string, version: number, text = 'x') => ({ key, version, bytes: Buffer.from(text) })
const deletedRow = (key: string, version: number) => ({ key, version, bytes: undefined })
const tables = ['orders', 'endpoints']
/** New settings must be in force at all gateways within this time. */
const settingsDeadlineMilliseconds = 4_000
const budget = () => divideNewsTime(settingsDeadlineMilliseconds)

/** A store that serves the same rows for each table; each gateway has a feed of its own, which can go silent. */
class SharedStore {
  readonly rows = new Map<string, { version: number, bytes: Uint8Array | undefined }>()
  version = 0
  readonly callCounts = new Map<string, number>()
  readonly silentGateways = new Set<string>()
  readonly #clock: Clock
  #wake: () => void = () => undefined
  #changed = new Promise<void>(resolve => { this.#wake = resolve })

  constructor (clock: Clock) {
    this.#clock = clock
  }

  put (key: string, text: string): void {
    this.#writeRow(key, Buffer.from(text))
  }

  remove (key: string): void {
    this.#writeRow(key, undefined)
  }

  #writeRow (key: string, bytes: Uint8Array | undefined): void {
    this.rows.set(key, { version: ++this.version, bytes })
    this.#wake()
    this.#changed = new Promise<void>(resolve => { this.#wake = resolve })
  }

  feedFor (name: string): TableFeed {
    const countCall = () => this.callCounts.set(name, (this.callCounts.get(name) ?? 0) + 1)
    const snapshotAfter = (after: number): TableSnapshot => ({ rows: this.#rowsAfter(after), epoch: 0, version: this.version, storeTime: this.#clock.now() })
    return {
      snapshot: async (): Promise<Result<TableSnapshot, FeedFailure>> => {
        countCall()
        return Ok(snapshotAfter(-1))
      },
      changes: async (_table: string, after: number, waitMilliseconds: number): Promise<Result<TableChanges, FeedFailure>> => {
        countCall()
        if (this.silentGateways.has(name)) await new Promise(() => undefined)
        const settled = new AbortController()
        if (this.version <= after) await Promise.race([this.#changed, this.#clock.sleep(waitMilliseconds, settled.signal)])
        settled.abort()
        if (this.silentGateways.has(name)) await new Promise(() => undefined)
        return this.version < 0 ? Err(new FeedFailure('never')) : Ok({ ...snapshotAfter(after), hasGap: false })
      }
    }
  }

  #rowsAfter (after: number) {
    return [...this.rows].filter(([, { version }]) => version > after).map(([key, { version, bytes }]) => ({ key, version, bytes }))
  }
}

interface Gateway {
  readonly name: string
  readonly follower: ReplicaFollower
  readonly isRelay: () => boolean
  readonly stop: () => void
}

interface FleetOptions {
  readonly minimumFleetSize?: number
  /** How long a gateway waits for a relay after its start, in milliseconds. */
  readonly startUpReplyMilliseconds?: number
  readonly regionOf?: (name: string) => string
}

/** Creates a fleet whose first three gateways may act as relays. */
function createFleet (size: number, { minimumFleetSize = 16, startUpReplyMilliseconds = 120, regionOf = () => 'coast' }: FleetOptions = {}) {
  const clock = new ManualClock()
  const network = new FakeLinkNetwork(clock, new SeededRandomness(1))
  const store = new SharedStore(clock)
  store.put('config', 'first')
  const relayAddresses = ['gateway-0', 'gateway-1', 'gateway-2']
  const log = new Log('error', {}, () => undefined)
  let started = 0
  const start = (name: string): Gateway => {
    const index = started++
    const gatewayClock = network.clockFor(name)
    const link = network.linkFor({ name, address: name, place: { region: regionOf(name), dataCentre: `zone-${index}` }, rack: '', incarnation: 1 })
    const follower: ReplicaFollower = new ReplicaFollower({
      feed: store.feedFor(name),
      tables,
      budget,
      mayBeRelay: () => relay.isInUse,
      clock: gatewayClock,
      randomness: new SeededRandomness(index),
      log,
      onChange: () => relay.notifyChange()
    })
    const relay = new ReplicaRelay({ link, follower, tables, gatewayCount: () => size, clock: gatewayClock })
    const relayFollower = new RelayFollower({ link, follower, relay, tables, relayAddresses: () => relayAddresses, regionOf, startUpReplyMilliseconds, gatewayCount: () => size, minimumFleetSize, budget, clock: gatewayClock, log })
    relayFollower.start()
    follower.start()
    return { name, follower, isRelay: () => relay.isInUse, stop: () => { follower.stop(); relayFollower.stop() } }
  }
  const gateways = Array.from({ length: size }, (_, index) => start(`gateway-${index}`))
  const callCountOf = ({ name }: Gateway) => store.callCounts.get(name) ?? 0
  const textAt = ({ follower }: Gateway) => Buffer.from(follower.replica('orders').rows.get('config')?.bytes ?? []).toString()
  return { clock, network, store, gateways, start, callsOf: callCountOf, textAt }
}

test('in a large fleet only a few gateways call the store, and the others still receive a change at once', async () => {
  const { clock, store, gateways, callsOf, textAt } = createFleet(30)
  await clock.advance(6_000)
  const before = gateways.map(callsOf)
  await clock.advance(20_000)
  const after = gateways.map(callsOf)
  const callingGateways = gateways.filter((_, index) => after[index]! > before[index]!)
  expect(callingGateways.length).toBeLessThanOrEqual(3)
  store.put('config', 'second')
  await clock.advance(200)
  expect(new Set(gateways.map(textAt))).toEqual(new Set(['second']))
  for (const gateway of gateways) gateway.stop()
})

test('a large fleet that starts as a whole reads the tables from the store once a gateway, and waits at its relays', async () => {
  const { clock, gateways, callsOf, textAt } = createFleet(200)
  await clock.advance(10_000)
  const others = gateways.slice(3)
  expect(others.reduce((sum, gateway) => sum + callsOf(gateway), 0)).toBeLessThanOrEqual(others.length * tables.length)
  expect(new Set(gateways.map(textAt))).toEqual(new Set(['first']))
  for (const gateway of gateways) gateway.stop()
}, 30_000)

test('a large fleet with slow links that starts as a whole leaves the store to its relays', async () => {
  const { clock, gateways, callsOf, textAt } = createFleet(80, { startUpReplyMilliseconds: 900 })
  await clock.advance(1_000)
  expect(new Set(gateways.map(textAt))).toEqual(new Set(['first']))
  expect(gateways.slice(3).reduce((sum, gateway) => sum + callsOf(gateway), 0)).toBe(0)
  for (const gateway of gateways) gateway.stop()
}, 30_000)

test('a gateway with a slow link whose relays are frozen at its start reads the store after its wait', async () => {
  const fleet = createFleet(30, { startUpReplyMilliseconds: 900 })
  await fleet.clock.advance(6_000)
  for (const name of ['gateway-0', 'gateway-1', 'gateway-2']) fleet.network.freeze(name)
  const joined = fleet.start('gateway-joined')
  await fleet.clock.advance(1_000)
  expect(fleet.textAt(joined)).toBe('first')
  for (const gateway of [...fleet.gateways, joined]) gateway.stop()
})

test('gateways are told by the relay of their own region, so that a change crosses the lines between regions once', async () => {
  const isFar = (name: string) => name === 'gateway-2' || Number(name.split('-')[1]) >= 10
  const { clock, network, store, gateways, textAt } = createFleet(30, { regionOf: name => isFar(name) ? 'hills' : 'coast' })
  await clock.advance(8_000)
  for (const name of ['gateway-0', 'gateway-1']) network.freeze(name)
  store.put('config', 'second')
  await clock.advance(300)
  const far = gateways.filter(({ name }) => isFar(name))
  expect(new Set(far.map(textAt))).toEqual(new Set(['second']))
  expect(gateways[2]!.isRelay()).toBe(true)
  for (const gateway of gateways) gateway.stop()
})

test('gateways whose near relay is cut off from the store go to the next relay, and ask the store nothing in between', async () => {
  const isFar = (name: string) => name === 'gateway-2' || Number(name.split('-')[1]) >= 10
  const { clock, store, gateways, callsOf, textAt } = createFleet(30, { regionOf: name => isFar(name) ? 'hills' : 'coast' })
  await clock.advance(8_000)
  store.silentGateways.add('gateway-2')
  await clock.advance(6_000)
  const far = gateways.slice(10)
  const before = far.map(callsOf)
  await clock.advance(10_000)
  store.put('config', 'second')
  await clock.advance(300)
  expect(far.map(callsOf)).toEqual(before)
  expect(new Set(far.map(textAt))).toEqual(new Set(['second']))
  for (const gateway of gateways) gateway.stop()
})

test('a gateway that joins a large fleet reads nothing from the store', async () => {
  const fleet = createFleet(30)
  await fleet.clock.advance(6_000)
  const joined = fleet.start('gateway-joined')
  await fleet.clock.advance(1_000)
  expect(fleet.textAt(joined)).toBe('first')
  expect(fleet.callsOf(joined)).toBe(0)
  for (const gateway of [...fleet.gateways, joined]) gateway.stop()
})

test('a gateway whose relays are frozen at its start reads the store soon', async () => {
  const fleet = createFleet(30)
  await fleet.clock.advance(6_000)
  for (const name of ['gateway-0', 'gateway-1', 'gateway-2']) fleet.network.freeze(name)
  const joined = fleet.start('gateway-joined')
  await fleet.clock.advance(200)
  expect(fleet.textAt(joined)).toBe('first')
  for (const gateway of [...fleet.gateways, joined]) gateway.stop()
})

test('a deleted row disappears at the gateways that follow a relay', async () => {
  const { clock, store, gateways } = createFleet(20)
  store.put('endpoint', 'x')
  await clock.advance(6_000)
  expect(gateways.every(({ follower }) => follower.replica('endpoints').rows.has('endpoint'))).toBe(true)
  store.remove('endpoint')
  await clock.advance(300)
  expect(gateways.some(({ follower }) => follower.replica('endpoints').rows.has('endpoint'))).toBe(false)
  for (const gateway of gateways) gateway.stop()
})

test('gateways whose relays have silently lost the store still receive new settings in time', async () => {
  const { clock, store, gateways, textAt } = createFleet(30)
  await clock.advance(10_300)
  for (const name of ['gateway-0', 'gateway-1', 'gateway-2']) store.silentGateways.add(name)
  store.put('config', 'second')
  await clock.advance(settingsDeadlineMilliseconds)
  expect(new Set(gateways.slice(3).map(textAt))).toEqual(new Set(['second']))
  for (const gateway of gateways) gateway.stop()
})

test('gateways whose relays are frozen still receive new settings in time', async () => {
  const { clock, network, store, gateways, textAt } = createFleet(30)
  await clock.advance(10_300)
  for (const name of ['gateway-0', 'gateway-1', 'gateway-2']) network.freeze(name)
  store.put('config', 'second')
  await clock.advance(settingsDeadlineMilliseconds)
  expect(new Set(gateways.slice(3).map(textAt))).toEqual(new Set(['second']))
  for (const gateway of gateways) gateway.stop()
})

test('gateways of a small fleet call the store themselves', async () => {
  const { clock, network, gateways, callsOf } = createFleet(7)
  await clock.advance(3_000)
  const requestsAtStart = [...network.requestCounts.values()].reduce((sum, count) => sum + count, 0)
  expect(requestsAtStart).toBeLessThan(7 * 10)
  await clock.advance(10_000)
  expect([...network.requestCounts.values()].reduce((sum, count) => sum + count, 0)).toBe(requestsAtStart)
  expect(Math.min(...gateways.map(callsOf))).toBeGreaterThan(4)
  for (const gateway of gateways) gateway.stop()
})

test('a replica returns the changes since an older version, deletions included, or all its rows if it does not know them', () => {
  const first = TableReplica.unknown.withSnapshot({ rows: [rowOf('a', 3), rowOf('b', 5)], epoch: 0, version: 5 })
  const updated = first.withChanges({ rows: [rowOf('c', 6), deletedRow('a', 7)], epoch: 0, version: 8 })
  expect(updated.changesSince({ epoch: 0, version: 5 })).toEqual({ isWhole: false, rows: [rowOf('c', 6), deletedRow('a', 7)] })
  expect(updated.changesSince({ epoch: 0, version: 8 })).toEqual({ isWhole: false, rows: [] })
  expect(updated.changesSince({ epoch: 0, version: 2 })).toEqual({ isWhole: true, rows: [rowOf('b', 5), rowOf('c', 6)] })
  const reinserted = updated.withChanges({ rows: [rowOf('a', 9)], epoch: 0, version: 9 })
  expect(reinserted.changesSince({ epoch: 0, version: 6 })).toEqual({ isWhole: false, rows: [rowOf('a', 9)] })
})
