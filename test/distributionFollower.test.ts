import { afterEach, expect, test } from 'vitest'
import { SettingsLease } from '../src/distribution/index.ts'
import { checkText, type Subtree, subtreeSchema } from '../src/settings/index.ts'
import { FollowerFleet } from './fakes/fakeLinkFollowers.ts'

let fleet: FollowerFleet | undefined

afterEach(async () => {
  await fleet?.stopAll()
  fleet = undefined
})

function subtreeOf (share: number): Subtree {
  return checkText(`[models.small]\nprice = ${share}\n[models.small.versions.1]`, 'test.toml', subtreeSchema).unwrap()
}

async function startFleet (seed: number, sizes: Readonly<Record<string, number>>): Promise<FollowerFleet> {
  fleet = new FollowerFleet(seed, sizes)
  await fleet.repository.put('fleet', subtreeOf(1), { expected: 0, author: 'ines' })
  fleet.startAll()
  await fleet.clock.advance(3_000)
  return fleet
}

async function change (started: FollowerFleet, price: number): Promise<number> {
  const current = (await started.repository.read('fleet')).unwrap()
  return (await started.repository.put('fleet', subtreeOf(price), { expected: current.revision, author: 'ines' })).unwrap()
}

test('an accepted change is in force at every daemon within 4 s, also two changes close together', async () => {
  const started = await startFleet(1, { a: 12, b: 3 })
  await change(started, 2)
  await started.clock.advance(100)
  await change(started, 3)
  await started.clock.advance(4_000)
  expect(new Set(started.revisions())).toEqual(new Set([3]))
  expect([...started.followers.values()].every(follower => follower.lease === SettingsLease.Held)).toBe(true)
})

test('few daemons of a data centre read the store while all goes well', async () => {
  const started = await startFleet(2, { a: 30 })
  let reads = 0
  started.table.script = () => {
    reads += 1
    return { fault: 'none' }
  }
  await started.clock.advance(10_000)
  expect(reads).toBeLessThan(3 * 2 * 10 * 1.4)
})

test('a data centre without the store is kept up to date by the others, and its lease lapses when it is cut off', async () => {
  const started = await startFleet(3, { a: 5, b: 5 })
  started.withoutStore.add('b')
  await change(started, 2)
  await started.clock.advance(4_000)
  expect(new Set(started.revisions())).toEqual(new Set([2]))
  expect(started.follower('b-1').lease).toBe(SettingsLease.Held)
  started.network.cut('a', 'b')
  await started.clock.advance(3_000)
  expect(started.follower('b-1').lease).toBe(SettingsLease.Lapsed)
  expect(started.follower('a-1').lease).toBe(SettingsLease.Held)
})

test('a cut data centre that comes back takes what it missed and never goes back', async () => {
  const started = await startFleet(4, { a: 4, b: 4 })
  const seen: number[] = []
  started.follower('b-0').onChange(view => seen.push(view.revision))
  started.network.cut('a', 'b')
  started.withoutStore.add('b')
  for (let price = 2; price < 7; price++) await change(started, price)
  await started.clock.advance(60_000)
  expect(started.follower('b-0').view.revision).toBe(1)
  started.network.heal('a', 'b')
  started.withoutStore.delete('b')
  await started.clock.advance(4_000)
  expect(new Set(started.revisions())).toEqual(new Set([6]))
  expect(seen).toEqual([...seen].sort((left, right) => left - right))
})

test('by the time a lease is long, every daemon has the change or its lease has run out', async () => {
  const started = await startFleet(5, { a: 6, b: 6 })
  started.withoutStore.add('b')
  started.network.cut('a', 'b')
  await started.clock.advance(700)
  const revision = await change(started, 2)
  await started.clock.advance(3_000)
  for (const follower of started.followers.values()) {
    expect(follower.view.revision === revision || follower.lease === SettingsLease.Lapsed).toBe(true)
  }
})

test('a daemon that starts while the store is down takes the highest revision that its peers hold', async () => {
  const started = await startFleet(6, { a: 4, b: 4 })
  started.withoutStore.add('b')
  started.network.cut('a', 'b')
  await change(started, 2)
  await started.clock.advance(4_000)
  expect(started.follower('b-2').view.revision).toBe(1)
  started.withoutStore.add('a')
  started.network.heal('a', 'b')
  await started.follower('b-3').stop()
  started.start('b-3')
  await started.clock.advance(4_000)
  expect(started.follower('b-3').view.revision).toBe(2)
})

test('a restarted data centre does not revert, with the store down or up', async () => {
  const started = await startFleet(7, { a: 4, b: 4 })
  await change(started, 2)
  await started.clock.advance(4_000)
  started.withoutStore.add('a').add('b')
  await Promise.all(['b-0', 'b-1', 'b-2', 'b-3'].map(name => started.follower(name).stop()))
  for (const name of ['b-0', 'b-1', 'b-2', 'b-3']) started.start(name)
  await started.clock.advance(4_000)
  expect(new Set(started.revisions())).toEqual(new Set([2]))
})

test('a frozen daemon that wakes does not take an old answer for a fresh lease', async () => {
  const started = await startFleet(8, { a: 6 })
  const follower = started.follower('a-3')
  const senders = new Set<string>()
  started.network.conditions.delay = from => {
    senders.add(from.name)
    return 50
  }
  while (!senders.has('a-3')) await started.clock.advance(1)
  started.network.freeze('a-3')
  await started.clock.advance(10_000)
  started.withoutStore.add('a')
  await started.clock.advance(10_000)
  started.network.thaw('a-3')
  await started.clock.advance(1)
  expect(follower.lease).toBe(SettingsLease.Lapsed)
})

test('daemons without the store can\'t keep each other\'s leases alive', async () => {
  const started = await startFleet(9, { a: 6, b: 3 })
  started.withoutStore.add('a').add('b')
  await started.clock.advance(3_100)
  expect([...started.followers.values()].map(follower => follower.lease)).toEqual(started.identities.map(() => SettingsLease.Lapsed))
})

test('a lagging peer that meets a newer daemon catches up from it', async () => {
  const started = await startFleet(10, { a: 3, b: 1 })
  started.withoutStore.add('b')
  started.network.cut('a', 'b')
  await change(started, 2)
  await started.clock.advance(4_000)
  started.withoutStore.add('a')
  started.network.heal('a', 'b')
  await started.clock.advance(2_000)
  expect(started.follower('b-0').view.revision).toBe(2)
})

test('how far a revision is in force is observed', async () => {
  const started = await startFleet(11, { a: 5, b: 3 })
  started.withoutStore.add('b')
  started.network.cut('a', 'b')
  const revision = await change(started, 2)
  await started.clock.advance(4_000)
  const pending = started.follower('a-0').observePropagation(revision)
  await started.clock.advance(1_000)
  const report = await pending
  expect(report.confirmed).toHaveLength(5)
  started.network.heal('a', 'b')
  started.withoutStore.delete('b')
  await started.clock.advance(4_000)
  const later = started.follower('a-0').observePropagation(revision)
  await started.clock.advance(1_000)
  expect((await later).pending).toEqual([])
  expect((await later).confirmed).toHaveLength(8)
})

test.each([0, 0.05])('seventy daemons have a change in force within 4 s with %d of all messages lost', async loss => {
  fleet = new FollowerFleet(12, { a: 70 })
  fleet.network.conditions.loss = () => loss
  await fleet.repository.put('fleet', subtreeOf(1), { expected: 0, author: 'ines' })
  fleet.startAll()
  await fleet.clock.advance(5_000)
  for (let price = 2; price < 5; price++) {
    const revision = await change(fleet, price)
    await fleet.clock.advance(4_000)
    expect(new Set(fleet.revisions())).toEqual(new Set([revision]))
  }
})
