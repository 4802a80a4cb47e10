import { expect, test } from 'vitest'
import { Err, Ok, SeededRandomness } from '../src/contract/index.ts'
import { Log } from '../src/observe/index.ts'
import { ConfirmationHop, ConfirmationMonitor, FeedFailure, ReplicaFollower, type TableFeed, divideNewsTime } from '../src/replica/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

/** A follower of a store that can be told to fail, with the lines that are logged. */
function startFollower () {
  const clock = new ManualClock()
  const lines: Record<string, unknown>[] = []
  const log = new Log('info', {}, line => lines.push(JSON.parse(line)))
  const store = { isFailing: false }
  const feed: TableFeed = {
    snapshot: async () => Ok({ rows: [], epoch: 0, version: 1, storeTime: 0 }),
    changes: async (_table, _after, waitMilliseconds) => {
      if (store.isFailing) return Err(new FeedFailure('refused'))
      await clock.sleep(Math.min(waitMilliseconds, 1_000))
      return Ok({ rows: [], epoch: 0, version: 1, storeTime: 0, hasGap: false })
    }
  }
  const follower = new ReplicaFollower({ feed, tables: ['orders'], budget: () => divideNewsTime(4_000), clock, randomness: new SeededRandomness(1), log, onChange: () => undefined })
  const monitor = new ConfirmationMonitor({ follower, configurationVersion: () => 7, staleAfterMilliseconds: () => 2_000, clock, log })
  follower.start()
  monitor.start()
  const linesOf = (event: string) => lines.filter(line => line['event'] === event)
  return { clock, follower, store, linesOf, stop: () => { follower.stop(); monitor.stop() } }
}

test('a confirmation that becomes old is logged once with its hop, and once more when it is recent again', async () => {
  const { clock, store, linesOf, stop } = startFollower()
  await clock.advance(5_000)
  expect(linesOf('confirmation_stale')).toEqual([])
  store.isFailing = true
  await clock.advance(5_000)
  expect(linesOf('confirmation_stale')).toMatchObject([{ settings: 7, hop: 'store' }])
  expect(linesOf('confirmation_recovered')).toEqual([])
  store.isFailing = false
  await clock.advance(5_000)
  expect(linesOf('confirmation_stale')).toHaveLength(1)
  expect(linesOf('confirmation_recovered')).toMatchObject([{ settings: 7, hop: 'store' }])
  stop()
})

test('a confirmation that a relay passed on names the relay', async () => {
  const { clock, follower, stop } = startFollower()
  await clock.advance(1_500)
  const confirmation = { confirmedAt: clock.now() + 1, hop: ConfirmationHop.Relay, relay: '10.0.0.9:7000' }
  follower.applyRelayed('orders', { rows: [], epoch: 0, version: 1, isWhole: false }, confirmation)
  expect(follower.stalestConfirmation).toEqual(confirmation)
  stop()
})

test('a confirmation that arrived during a stall of the event loop is not logged as late', async () => {
  const { clock, linesOf, stop } = startFollower()
  await clock.advance(5_000)
  await clock.stall(2_500)
  await clock.advance(2_000)
  expect(linesOf('confirmation_stale')).toEqual([])
  stop()
})
