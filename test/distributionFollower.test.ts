import { afterEach, expect, test } from 'vitest'
import { SettingsLease } from '../src/distribution/index.ts'
import { checkText, type Subtree, subtreeSchema } from '../src/settings/index.ts'
import { FollowerFleet } from './fakes/fakeLinkFollowers.ts'

let activeFleet: FollowerFleet | undefined

afterEach(async () => {
  await activeFleet?.stopAll()
  activeFleet = undefined
})

function subtreeOf (share: number): Subtree {
  return checkText(`[models.small]\nprice = ${share}\n[models.small.versions.1]`, 'test.toml', subtreeSchema).unwrap()
}

async function startFleet (seed: number, sizes: Readonly<Record<string, number>>): Promise<FollowerFleet> {
  activeFleet = new FollowerFleet(seed, sizes)
  await activeFleet.repository.put('fleet', subtreeOf(1), { expected: 0, author: 'ines' })
  activeFleet.startAll()
  await activeFleet.clock.advance(3_000)
  return activeFleet
}

async function changePrice (fleet: FollowerFleet, price: number): Promise<number> {
  const current = (await fleet.repository.read('fleet')).unwrap()
  return (await fleet.repository.put('fleet', subtreeOf(price), { expected: current.revision, author: 'ines' })).unwrap()
}

test('accepted changes take effect at every daemon within 4 s, also two in close succession', async () => {
  const fleet = await startFleet(1, { a: 12, b: 3 })
  await changePrice(fleet, 2)
  await fleet.clock.advance(100)
  await changePrice(fleet, 3)
  await fleet.clock.advance(4_000)
  expect(new Set(fleet.revisions())).toEqual(new Set([3]))
  expect([...fleet.followers.values()].every(follower => follower.lease === SettingsLease.Held)).toBe(true)
})

test('in normal operation only a few daemons of a data centre read the store', async () => {
  const fleet = await startFleet(2, { a: 30 })
  let storeCalls = 0
  fleet.table.script = () => {
    storeCalls += 1
    return { fault: 'none' }
  }
  await fleet.clock.advance(10_000)
  expect(storeCalls).toBeLessThan(3 * 2 * 10 * 1.4)
})

test('a data centre without the store is updated by the others, and its leases lapse when it is partitioned', async () => {
  const fleet = await startFleet(3, { a: 5, b: 5 })
  fleet.withoutStoreAccess.add('b')
  await changePrice(fleet, 2)
  await fleet.clock.advance(4_000)
  expect(new Set(fleet.revisions())).toEqual(new Set([2]))
  expect(fleet.follower('b-1').lease).toBe(SettingsLease.Held)
  fleet.network.partition('a', 'b')
  await fleet.clock.advance(3_000)
  expect(fleet.follower('b-1').lease).toBe(SettingsLease.Lapsed)
  expect(fleet.follower('a-1').lease).toBe(SettingsLease.Held)
})

test('a partitioned data centre catches up after the partition and never reverts', async () => {
  const fleet = await startFleet(4, { a: 4, b: 4 })
  const seenRevisions: number[] = []
  fleet.follower('b-0').onChange(view => seenRevisions.push(view.revision))
  fleet.network.partition('a', 'b')
  fleet.withoutStoreAccess.add('b')
  for (let price = 2; price < 7; price++) await changePrice(fleet, price)
  await fleet.clock.advance(60_000)
  expect(fleet.follower('b-0').view.revision).toBe(1)
  fleet.network.heal('a', 'b')
  fleet.withoutStoreAccess.delete('b')
  await fleet.clock.advance(4_000)
  expect(new Set(fleet.revisions())).toEqual(new Set([6]))
  expect(seenRevisions).toEqual([...seenRevisions].sort((left, right) => left - right))
})

test('one lease duration after a change every daemon has applied it or its lease has lapsed', async () => {
  const fleet = await startFleet(5, { a: 6, b: 6 })
  fleet.withoutStoreAccess.add('b')
  fleet.network.partition('a', 'b')
  await fleet.clock.advance(700)
  const revision = await changePrice(fleet, 2)
  await fleet.clock.advance(3_000)
  for (const follower of fleet.followers.values()) {
    expect(follower.view.revision === revision || follower.lease === SettingsLease.Lapsed).toBe(true)
  }
})

test('a daemon that starts while the store is down adopts the highest revision of its peers', async () => {
  const fleet = await startFleet(6, { a: 4, b: 4 })
  fleet.withoutStoreAccess.add('b')
  fleet.network.partition('a', 'b')
  await changePrice(fleet, 2)
  await fleet.clock.advance(4_000)
  expect(fleet.follower('b-2').view.revision).toBe(1)
  fleet.withoutStoreAccess.add('a')
  fleet.network.heal('a', 'b')
  await fleet.follower('b-3').stop()
  fleet.start('b-3')
  await fleet.clock.advance(4_000)
  expect(fleet.follower('b-3').view.revision).toBe(2)
})

test('a data centre restarted while the store is down does not revert', async () => {
  const fleet = await startFleet(7, { a: 4, b: 4 })
  await changePrice(fleet, 2)
  await fleet.clock.advance(4_000)
  fleet.withoutStoreAccess.add('a').add('b')
  await Promise.all(['b-0', 'b-1', 'b-2', 'b-3'].map(name => fleet.follower(name).stop()))
  for (const name of ['b-0', 'b-1', 'b-2', 'b-3']) fleet.start(name)
  await fleet.clock.advance(4_000)
  expect(new Set(fleet.revisions())).toEqual(new Set([2]))
})

test('a daemon that resumes after a pause does not renew its lease from an old response', async () => {
  const fleet = await startFleet(8, { a: 6 })
  const follower = fleet.follower('a-3')
  const senders = new Set<string>()
  fleet.network.conditions.delayMilliseconds = from => {
    senders.add(from.name)
    return 50
  }
  while (!senders.has('a-3')) await fleet.clock.advance(1)
  fleet.network.freeze('a-3')
  await fleet.clock.advance(10_000)
  fleet.withoutStoreAccess.add('a')
  await fleet.clock.advance(10_000)
  fleet.network.thaw('a-3')
  await fleet.clock.advance(1)
  expect(follower.lease).toBe(SettingsLease.Lapsed)
})

test('daemons without the store cannot renew each other\'s leases', async () => {
  const fleet = await startFleet(9, { a: 6, b: 3 })
  fleet.withoutStoreAccess.add('a').add('b')
  await fleet.clock.advance(3_100)
  expect([...fleet.followers.values()].map(follower => follower.lease)).toEqual(fleet.identities.map(() => SettingsLease.Lapsed))
})

test('a daemon with old settings catches up from a peer with newer ones', async () => {
  const fleet = await startFleet(10, { a: 3, b: 1 })
  fleet.withoutStoreAccess.add('b')
  fleet.network.partition('a', 'b')
  await changePrice(fleet, 2)
  await fleet.clock.advance(4_000)
  fleet.withoutStoreAccess.add('a')
  fleet.network.heal('a', 'b')
  await fleet.clock.advance(2_000)
  expect(fleet.follower('b-0').view.revision).toBe(2)
})

test('the propagation report lists the daemons that confirmed a revision', async () => {
  const fleet = await startFleet(11, { a: 5, b: 3 })
  fleet.withoutStoreAccess.add('b')
  fleet.network.partition('a', 'b')
  const revision = await changePrice(fleet, 2)
  await fleet.clock.advance(4_000)
  const pending = fleet.follower('a-0').observePropagation(revision)
  await fleet.clock.advance(1_000)
  const report = await pending
  expect(report.confirmed).toHaveLength(5)
  fleet.network.heal('a', 'b')
  fleet.withoutStoreAccess.delete('b')
  await fleet.clock.advance(4_000)
  const later = fleet.follower('a-0').observePropagation(revision)
  await fleet.clock.advance(1_000)
  expect((await later).pending).toEqual([])
  expect((await later).confirmed).toHaveLength(8)
})

test.each([0, 0.05])('a change takes effect at 70 daemons within 4 s with a message loss of %d', async loss => {
  activeFleet = new FollowerFleet(12, { a: 70 })
  activeFleet.network.conditions.lossRate = () => loss
  await activeFleet.repository.put('fleet', subtreeOf(1), { expected: 0, author: 'ines' })
  activeFleet.startAll()
  await activeFleet.clock.advance(5_000)
  for (let price = 2; price < 5; price++) {
    const revision = await changePrice(activeFleet, price)
    await activeFleet.clock.advance(4_000)
    expect(new Set(activeFleet.revisions())).toEqual(new Set([revision]))
  }
})

test('a read of the store that is replied to during a stall of the event loop confirms the settings', async () => {
  const fleet = await startFleet(11, { a: 1 })
  fleet.table.script = () => ({ fault: 'none', replyDelayMilliseconds: 100 })
  const refreshed = fleet.follower('a-0').refresh()
  await fleet.clock.stall(1_200)
  await fleet.clock.advance(1_000)
  expect(await refreshed).toBe(true)
})

test('leases on the settings outlast the silence of all open connections, whenever it begins', async () => {
  for (let moment = 0; moment < 2_000; moment += 40) {
    const fleet = await startFleet(moment + 1, { a: 6, b: 2 })
    await fleet.clock.advance(2_000 + moment)
    fleet.silenceConnections()
    for (let elapsed = 0; elapsed < 6_000; elapsed += 100) {
      await fleet.clock.advance(100)
      const lapsed = [...fleet.followers].filter(([, { lease }]) => lease !== SettingsLease.Held).map(([name]) => name)
      expect([moment, elapsed, lapsed]).toEqual([moment, elapsed, []])
    }
    await fleet.stopAll()
  }
}, 60_000)
