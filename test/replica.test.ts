import { expect, test } from 'vitest'
import { Err, Ok, SeededRandomness } from '../src/contract/index.ts'
import { Log } from '../src/observe/index.ts'
import { FeedFailure, ReplicaFollower, type TableChanges, type TableFeed, type TableSnapshot, TableReplica, divideNewsTime } from '../src/replica/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const rowOf = (key: string, version: number, text = 'x') => ({ key, version, bytes: Buffer.from(text) })
const deletedRow = (key: string, version: number) => ({ key, version, bytes: undefined })

test('a table that was never written counts as known, and its first change is applied', () => {
  const empty = TableReplica.unknown.withSnapshot({ rows: [], epoch: 0, version: 0 })
  expect(empty.isKnown).toBe(true)
  expect(empty.version).toBe(0)
  expect([...empty.withChanges({ rows: [rowOf('config', 1)], epoch: 0, version: 1 }).rows.keys()]).toEqual(['config'])
})

test('an older snapshot or change of a table is ignored', () => {
  const current = TableReplica.unknown.withSnapshot({ rows: [rowOf('a', 5)], epoch: 0, version: 5 })
  expect(current.withSnapshot({ rows: [], epoch: 0, version: 4 })).toBe(current)
  expect(current.withChanges({ rows: [deletedRow('a', 3)], epoch: 0, version: 4 })).toBe(current)
})

test('a change that is older than its row does not replace the row', () => {
  const current = TableReplica.unknown.withSnapshot({ rows: [rowOf('a', 5, 'new')], epoch: 0, version: 5 })
  const updated = current.withChanges({ rows: [rowOf('a', 4, 'old')], epoch: 0, version: 6 })
  expect(Buffer.from(updated.rows.get('a')?.bytes ?? []).toString()).toBe('new')
})

/** A feed of one table whose history can be truncated by raising `oldestVersion`. */
class ScriptedFeed implements TableFeed {
  rows = new Map<string, { version: number, bytes: Uint8Array | undefined }>()
  version = 0
  oldestVersion = 0
  readonly calls: string[] = []
  readonly #clock: ManualClock

  constructor (clock: ManualClock) {
    this.#clock = clock
  }

  put (key: string, text: string): void {
    this.rows.set(key, { version: ++this.version, bytes: Buffer.from(text) })
  }

  async snapshot (): Promise<Ok<TableSnapshot>> {
    this.calls.push('snapshot')
    return Ok({ rows: this.#rowsAfter(-1), epoch: 0, version: this.version, storeTime: 0 })
  }

  async changes (_table: string, after: number, waitMilliseconds: number): Promise<Ok<TableChanges>> {
    this.calls.push(`changes ${after}`)
    if (after < this.oldestVersion || after > this.version) return Ok({ rows: [], epoch: 0, version: after, storeTime: 0, hasGap: true })
    if (after === this.version) await this.#clock.sleep(waitMilliseconds)
    return Ok({ rows: this.#rowsAfter(after), epoch: 0, version: this.version, storeTime: 0, hasGap: false })
  }

  #rowsAfter (after: number) {
    return [...this.rows].filter(([, { version }]) => version > after).map(([key, { version, bytes }]) => ({ key, version, bytes }))
  }
}

function startFollower (feed: TableFeed, clock: ManualClock, tables = ['orders']) {
  const follower = new ReplicaFollower({
    feed,
    tables,
    budget: () => divideNewsTime(4_000),
    clock,
    randomness: new SeededRandomness(1),
    log: new Log('error', {}, () => undefined),
    onChange: () => undefined
  })
  follower.start()
  return follower
}

test('a follower that starts before the first row is written receives it', async () => {
  const clock = new ManualClock()
  const feed = new ScriptedFeed(clock)
  const follower = startFollower(feed, clock)
  await clock.advance(100)
  feed.put('config', 'first')
  await clock.advance(4_000)
  expect(follower.replica('orders').rows.has('config')).toBe(true)
  expect(feed.calls.length).toBeLessThan(6)
  follower.stop()
})

test('a follower reads the table again when the history since its version was dropped', async () => {
  const clock = new ManualClock()
  const feed = new ScriptedFeed(clock)
  const follower = startFollower(feed, clock)
  await clock.advance(100)
  feed.put('a', '1')
  feed.put('b', '2')
  feed.oldestVersion = 2
  feed.rows.delete('a')
  await clock.advance(8_000)
  expect([...follower.replica('orders').rows.keys()]).toEqual(['b'])
  follower.stop()
})

test('a store that ends held calls at once and answers all others is not asked in a tight loop', async () => {
  const clock = new ManualClock()
  let calls = 0
  const feed: TableFeed = {
    snapshot: async () => Ok({ rows: [], epoch: 0, version: 1, storeTime: 0 }),
    changes: async (_table, _after, waitMilliseconds) => {
      calls++
      await clock.sleep(1)
      return waitMilliseconds > 0 ? Err(new FeedFailure('the connection was reset')) : Ok({ rows: [], epoch: 0, version: 1, storeTime: 0, hasGap: false })
    }
  }
  const follower = startFollower(feed, clock)
  await clock.advance(10_000)
  expect(calls).toBeLessThan(50)
  follower.stop()
})

test('a call that the store holds ends when a relay takes over, and counts as no failure', async () => {
  const clock = new ManualClock()
  const held: AbortSignal[] = []
  const feed: TableFeed = {
    snapshot: async () => Ok({ rows: [], epoch: 0, version: 1, storeTime: 0 }),
    changes: (_table, _after, _waitMilliseconds, signal) => new Promise(resolve => {
      held.push(signal!)
      signal!.addEventListener('abort', () => resolve(Err(new FeedFailure('ended'))))
    })
  }
  const follower = startFollower(feed, clock)
  await clock.advance(200)
  expect(held.map(({ aborted }) => aborted)).toEqual([false])
  follower.pause()
  await clock.advance(200)
  expect(held.map(({ aborted }) => aborted)).toEqual([true])
  expect(follower.hasFailingFeed).toBe(false)
  follower.resume()
  await clock.advance(200)
  expect(held.map(({ aborted }) => aborted)).toEqual([true, false])
  follower.stop()
})

/** A store whose held calls fail when told to, and the number of times that a follower renewed the connections to it. */
function countRenewals (clock: ManualClock) {
  const counted = { renewals: 0, calls: 0, isFailing: false }
  const feed: TableFeed = {
    snapshot: async () => Ok({ rows: [], epoch: 0, version: 1, storeTime: 0 }),
    changes: async (_table, _after, waitMilliseconds) => {
      counted.calls++
      await clock.sleep(waitMilliseconds)
      return counted.isFailing && waitMilliseconds > 0 ? Err(new FeedFailure('overdue')) : Ok({ rows: [], epoch: 0, version: 1, storeTime: 0, hasGap: false })
    },
    renewConnections: () => { counted.renewals++ }
  }
  return { counted, feed }
}

test('connections that a failed call has renewed are not renewed again for each table', async () => {
  const clock = new ManualClock()
  const { counted, feed } = countRenewals(clock)
  const follower = startFollower(feed, clock, ['orders', 'endpoints', 'routes'])
  await clock.advance(3_000)
  counted.isFailing = true
  await clock.advance(10_000)
  expect(counted).toMatchObject({ renewals: 0 })
  follower.stop()
})

test('tables that ask again after an idle time renew the connections once', async () => {
  const clock = new ManualClock()
  const { counted, feed } = countRenewals(clock)
  const follower = startFollower(feed, clock, ['orders', 'endpoints', 'routes'])
  await clock.advance(500)
  follower.pause()
  await clock.advance(2_000)
  const callsBefore = counted.calls
  follower.resume()
  await clock.advance(10)
  expect(counted).toMatchObject({ renewals: 1, calls: callsBefore + 6 })
  follower.stop()
})

test('a reply of the store that arrived while the process was held up confirms the table no later than it can have arrived', async () => {
  const clock = new ManualClock()
  const follower = new ReplicaFollower({ feed: new ScriptedFeed(clock), tables: ['op'], budget: () => divideNewsTime(4_000), clock, randomness: new SeededRandomness(1), log: new Log('error', {}, () => undefined), onChange: () => undefined })
  const startedAt = clock.now()
  follower.start()
  await clock.advance(900)
  // The reply to the first held call comes after 1,000 ms.
  await clock.stall(1_000)
  expect(follower.confirmedAt - startedAt).toBeLessThanOrEqual(1_000)
  expect(follower.confirmedAt).toBeGreaterThan(startedAt)
  follower.stop()
})

test('the clock of the store does not fall back by a stall in which its reply waited to be read', async () => {
  const clock = new ManualClock()
  const snapshot = (storeTime: number): TableSnapshot => ({ rows: [], epoch: 0, version: 1, storeTime })
  const feed: TableFeed = {
    snapshot: async () => Ok(snapshot(clock.now())),
    changes: async (_table, _after, waitMilliseconds) => {
      const repliedAt = clock.now() + waitMilliseconds
      await clock.sleep(waitMilliseconds)
      return Ok({ ...snapshot(repliedAt), hasGap: false })
    }
  }
  const follower = new ReplicaFollower({ feed, tables: ['op'], budget: () => divideNewsTime(4_000), clock, randomness: new SeededRandomness(1), log: new Log('error', {}, () => undefined), onChange: () => undefined })
  follower.start()
  await clock.advance(900)
  await clock.stall(2_000)
  expect(follower.storeTime).toBe(clock.now())
  follower.stop()
})
