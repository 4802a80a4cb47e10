import { expect, test } from 'vitest'
import { type Clock, Err, Ok, type Result, SeededRandomness } from '../src/contract/index.ts'
import { Log } from '../src/observe/index.ts'
import { FeedFailure, RelayFollower, ReplicaFollower, ReplicaRelay, type TableChanges, type TableFeed, TableReplica, type TableSnapshot } from '../src/replica/index.ts'
import { FakeNetwork } from './fakes/fakeLink.ts'
import { ManualClock } from './fakes/manualClock.ts'

const row = (key: string, version: number, text = 'x') => ({ key, version, bytes: Buffer.from(text) })
const deleted = (key: string, version: number) => ({ key, version, bytes: undefined })
const tables = ['orders', 'endpoints']
/** New settings must be in force within this. */
const settingsMilliseconds = 4_000
const freshMilliseconds = 2_800

/** One table's rows for all; each gateway has a door of its own, which can fall silent. */
class SharedStore {
  readonly rows = new Map<string, { version: number, bytes: Uint8Array | undefined }>()
  version = 0
  readonly calls = new Map<string, number>()
  readonly silentFor = new Set<string>()
  readonly #clock: Clock
  #wake: () => void = () => undefined
  #changed = new Promise<void>(resolve => { this.#wake = resolve })

  constructor (clock: Clock) {
    this.#clock = clock
  }

  put (key: string, text: string): void {
    this.#write(key, Buffer.from(text))
  }

  remove (key: string): void {
    this.#write(key, undefined)
  }

  #write (key: string, bytes: Uint8Array | undefined): void {
    this.rows.set(key, { version: ++this.version, bytes })
    this.#wake()
    this.#changed = new Promise<void>(resolve => { this.#wake = resolve })
  }

  door (name: string): TableFeed {
    const count = () => this.calls.set(name, (this.calls.get(name) ?? 0) + 1)
    const read = (after: number): TableSnapshot => ({ rows: this.#rowsAfter(after), version: this.version, storeTime: this.#clock.now() })
    return {
      snapshot: async (): Promise<Result<TableSnapshot, FeedFailure>> => {
        count()
        return Ok(read(-1))
      },
      changes: async (_table: string, after: number, waitMilliseconds: number): Promise<Result<TableChanges, FeedFailure>> => {
        count()
        if (this.silentFor.has(name)) await new Promise(() => undefined)
        const over = new AbortController()
        if (this.version <= after) await Promise.race([this.#changed, this.#clock.sleep(waitMilliseconds, over.signal)])
        over.abort()
        if (this.silentFor.has(name)) await new Promise(() => undefined)
        return this.version < 0 ? Err(new FeedFailure('never')) : Ok({ ...read(after), hasGap: false })
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
  readonly stop: () => void
}

/** A fleet whose first three gateways may relay. */
function fleet (size: number, isWorthwhile = () => true) {
  const clock = new ManualClock()
  const network = new FakeNetwork(clock, new SeededRandomness(1))
  const store = new SharedStore(clock)
  store.put('config', 'first')
  const relays = ['gateway-0', 'gateway-1', 'gateway-2']
  const log = new Log('error', {}, () => undefined)
  const gateways = Array.from({ length: size }, (_, index): Gateway => {
    const name = `gateway-${index}`
    const clockHere = network.clockFor(name)
    const link = network.linkFor({ name, address: name, place: { region: 'coast', dataCentre: `zone-${index}` }, rack: '', incarnation: 1 })
    const follower: ReplicaFollower = new ReplicaFollower({
      feed: store.door(name),
      tables,
      feedWaitMilliseconds: () => relay.isInUse ? 2_200 : 3_000,
      clock: clockHere,
      randomness: new SeededRandomness(index),
      log,
      onChange: () => relay.notifyChange()
    })
    const relay = new ReplicaRelay({ link, follower, tables, clock: clockHere })
    const relayed = new RelayFollower({ link, follower, relay, tables, relayAddresses: () => relays, isEnabled: isWorthwhile, maximumAgeMilliseconds: freshMilliseconds, clock: clockHere, log })
    follower.start()
    relayed.start()
    return { name, follower, stop: () => { follower.stop(); relayed.stop() } }
  })
  const callsOf = ({ name }: Gateway) => store.calls.get(name) ?? 0
  const textAt = ({ follower }: Gateway) => Buffer.from(follower.replica('orders').rows.get('config')?.bytes ?? []).toString()
  return { clock, network, store, gateways, callsOf, textAt }
}

test('in a large fleet the store is called by a few gateways, and the others still learn of a change at once', async () => {
  const { clock, store, gateways, callsOf, textAt } = fleet(30)
  await clock.advance(6_000)
  const before = gateways.map(callsOf)
  await clock.advance(20_000)
  const after = gateways.map(callsOf)
  const busy = gateways.filter((_, index) => after[index]! > before[index]!)
  expect(busy.length).toBeLessThanOrEqual(3)
  store.put('config', 'second')
  await clock.advance(200)
  expect(new Set(gateways.map(textAt))).toEqual(new Set(['second']))
  for (const gateway of gateways) gateway.stop()
})

test('a row that was deleted is gone at those who follow a relay', async () => {
  const { clock, store, gateways } = fleet(20)
  store.put('endpoint', 'x')
  await clock.advance(6_000)
  expect(gateways.every(({ follower }) => follower.replica('endpoints').rows.has('endpoint'))).toBe(true)
  store.remove('endpoint')
  await clock.advance(300)
  expect(gateways.some(({ follower }) => follower.replica('endpoints').rows.has('endpoint'))).toBe(false)
  for (const gateway of gateways) gateway.stop()
})

test('gateways whose relays have lost the store without a sign learn of new settings in time all the same', async () => {
  const { clock, store, gateways, textAt } = fleet(30)
  await clock.advance(10_300)
  for (const name of ['gateway-0', 'gateway-1', 'gateway-2']) store.silentFor.add(name)
  store.put('config', 'second')
  await clock.advance(settingsMilliseconds)
  expect(new Set(gateways.slice(3).map(textAt))).toEqual(new Set(['second']))
  for (const gateway of gateways) gateway.stop()
})

test('gateways whose relays are frozen learn of new settings in time all the same', async () => {
  const { clock, network, store, gateways, textAt } = fleet(30)
  await clock.advance(10_300)
  for (const name of ['gateway-0', 'gateway-1', 'gateway-2']) network.freeze(name)
  store.put('config', 'second')
  await clock.advance(settingsMilliseconds)
  expect(new Set(gateways.slice(3).map(textAt))).toEqual(new Set(['second']))
  for (const gateway of gateways) gateway.stop()
})

test('a small fleet asks the store itself', async () => {
  const { clock, network, gateways, callsOf } = fleet(7, () => false)
  await clock.advance(10_000)
  expect(network.sent.size).toBe(0)
  expect(Math.min(...gateways.map(callsOf))).toBeGreaterThan(4)
  for (const gateway of gateways) gateway.stop()
})

test('a copy tells what an older one lacks, deletions included, and itself where it can not know', () => {
  const first = TableReplica.unknown.withSnapshot({ rows: [row('a', 3), row('b', 5)], version: 5 })
  const next = first.withChanges({ rows: [row('c', 6), deleted('a', 7)], version: 8 })
  expect(next.changesSince(5)).toEqual({ isWhole: false, rows: [row('c', 6), deleted('a', 7)] })
  expect(next.changesSince(8)).toEqual({ isWhole: false, rows: [] })
  expect(next.changesSince(2)).toEqual({ isWhole: true, rows: [row('b', 5), row('c', 6)] })
  const again = next.withChanges({ rows: [row('a', 9)], version: 9 })
  expect(again.changesSince(6)).toEqual({ isWhole: false, rows: [row('a', 9)] })
})
