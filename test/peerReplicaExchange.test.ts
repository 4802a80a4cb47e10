import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { Log } from '../src/observe/index.ts'
import { PeerReplicaExchange, type ReplicaFollower, TableReplica } from '../src/replica/index.ts'
import { FakeLinkNetwork } from './fakes/fakeLink.ts'
import { ManualClock } from './fakes/manualClock.ts'

const place = { region: 'coast', dataCentre: 'coast-1' }

/** A follower of one table, which counts the snapshots that it is offered. */
function followerOf (replica: TableReplica, hasFailingFeed: boolean) {
  const offered: number[] = []
  const follower = {
    hasFailingFeed,
    failureWakeup: { sleep: async () => await new Promise(() => undefined), wake: () => undefined },
    replica: () => replica,
    installSnapshot: (_table: string, { version }: { readonly version: number }) => {
      offered.push(version)
      return false
    }
  }
  return { offered, follower: follower as unknown as ReplicaFollower }
}

async function offersTo (asker: TableReplica, peer: TableReplica): Promise<number[]> {
  const clock = new ManualClock()
  const network = new FakeLinkNetwork(clock, new SeededRandomness(1))
  const start = (address: string, replica: TableReplica, hasFailingFeed: boolean) => {
    const { follower, offered } = followerOf(replica, hasFailingFeed)
    const exchange = new PeerReplicaExchange({
      link: network.linkFor({ name: address, address, place, rack: '', incarnation: 1 }),
      seeds: () => ['peer'],
      tables: ['servers'],
      follower,
      clock,
      randomness: new SeededRandomness(2),
      log: new Log('info', {}, () => undefined),
      drainingInstances: () => [],
      onDrainingInstance: () => undefined
    })
    exchange.start()
    return { exchange, offered }
  }
  const serving = start('peer', peer, false)
  const asking = start('asker', asker, true)
  await clock.advance(3_000)
  serving.exchange.stop()
  asking.exchange.stop()
  return asking.offered
}

const row = { key: 'i-1', version: 4, bytes: new Uint8Array([1]) }
const known = TableReplica.unknown.withSnapshot({ epoch: 0, version: 5, rows: [row] })

test('a gateway that the store rejects is not sent tables again and again in which nothing has changed', async () => {
  expect(await offersTo(known, known.withChanges({ epoch: 0, version: 90, rows: [] }))).toEqual([])
})

test('a gateway that the store rejects is sent a table in which a row has changed or gone', async () => {
  expect(await offersTo(known, known.withChanges({ epoch: 0, version: 90, rows: [{ ...row, version: 80 }] }))).toContain(90)
  expect(await offersTo(known, known.withChanges({ epoch: 0, version: 90, rows: [{ ...row, version: 80, bytes: undefined }] }))).toContain(90)
  expect(await offersTo(TableReplica.unknown, known)).toContain(5)
})
