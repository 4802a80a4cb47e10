import { afterEach, expect, test } from 'vitest'
import { MemberFleet } from './fakes/fakeLinkMembers.ts'

let fleet: MemberFleet | undefined

afterEach(async () => {
  await fleet?.stopAll()
  fleet = undefined
})

async function startFleet (seed: number, sizes: Readonly<Record<string, readonly [number, number]>>): Promise<MemberFleet> {
  fleet = new MemberFleet(seed, sizes)
  fleet.startAll()
  await fleet.clock.advance(25_000)
  return fleet
}

function all (value: string | undefined, count: number): Array<string | undefined> {
  return Array.from({ length: count }, () => value)
}

test('daemons that start together from the platform\'s list come to know all others', async () => {
  const started = await startFleet(1, { a: [8, 0], b: [5, 0], c: [2, 0] })
  for (const member of started.members.values()) expect(member.members().filter(view => view.state === 'alive')).toHaveLength(15)
})

test('a daemon that is gone is forgotten everywhere, and the list that still shows it does not bring it back', async () => {
  const started = await startFleet(2, { a: [8, 0], b: [2, 0] })
  await started.kill('a-03')
  await started.clock.advance(25_000)
  expect(started.statesOf('a-03')).toEqual(all(undefined, 9))
})

test('a frozen daemon is suspected, is given up, and refutes that when it wakes', async () => {
  const started = await startFleet(3, { a: [8, 0] })
  started.network.freeze('a-03')
  await started.clock.advance(12_000)
  expect(started.statesOf('a-03').filter(state => state === 'alive')).toEqual([])
  await started.clock.advance(20_000)
  expect(started.statesOf('a-03')).toEqual(all(undefined, 7))
  started.network.thaw('a-03')
  await started.clock.advance(10_000)
  expect(started.statesOf('a-03')).toEqual(all('alive', 7))
})

test('a daemon that was frozen for a moment only is never given up', async () => {
  const started = await startFleet(4, { a: [8, 0] })
  started.network.freeze('a-05')
  let worst = 0
  for (let step = 0; step < 40; step++) {
    await started.clock.advance(250)
    if (step === 8) started.network.thaw('a-05')
    worst = Math.max(worst, started.statesOf('a-05').filter(state => state === undefined).length)
  }
  expect(worst).toBe(0)
  expect(started.statesOf('a-05')).toEqual(all('alive', 7))
})

test('a daemon that can\'t reach one other does not make the rest give it up', async () => {
  const started = await startFleet(5, { a: [6, 0] })
  const { loss } = started.network.conditions
  started.network.conditions.loss = (from, to) => [from.name, to.name].sort().join() === 'a-01,a-02' ? 1 : loss(from, to)
  await started.clock.advance(30_000)
  expect(started.statesOf('a-01')).toEqual(all('alive', 5))
  expect(started.statesOf('a-02')).toEqual(all('alive', 5))
})

test('a daemon that leaves is seen as leaving, and as gone when it has stopped', async () => {
  const started = await startFleet(6, { a: [8, 0], b: [3, 0] })
  const left = started.member('a-02').leave()
  await started.clock.advance(4_000)
  await left
  expect(started.statesOf('a-02')).toEqual(all('leaving', 10))
  const stopped = started.member('a-02').stop()
  await started.clock.advance(4_000)
  await stopped
  started.members.delete('a-02')
  expect(started.statesOf('a-02')).toEqual(all(undefined, 10))
})

test('a daemon whose VM the platform lists as leaving is seen as leaving', async () => {
  const started = await startFleet(7, { a: [6, 0], b: [2, 0] })
  started.listed = started.listed?.map(machine => ({ ...machine, leaving: machine.name === 'a-04' }))
  await started.clock.advance(6_000)
  expect(started.statesOf('a-04')).toEqual(all('leaving', 7))
})

test('data centres that are cut off keep their own members and know each other again afterwards', async () => {
  const started = await startFleet(8, { a: [5, 0], b: [5, 0] })
  started.network.cut('a', 'b')
  await started.clock.advance(60_000)
  await started.kill('b-01')
  await started.clock.advance(30_000)
  expect(started.member('a-00').members().filter(view => view.place.dataCentre === 'a' && view.state === 'alive')).toHaveLength(5)
  started.network.heal('a', 'b')
  await started.clock.advance(30_000)
  expect(started.statesOf('b-01')).toEqual(all(undefined, 9))
  expect(started.statesOf('b-02')).toEqual(all('alive', 8))
})

test('a restarted daemon is known by its new incarnation', async () => {
  const started = await startFleet(9, { a: [6, 0], b: [2, 0] })
  await started.kill('a-01')
  started.start({ ...started.identity('a-01'), incarnation: 2 })
  await started.clock.advance(25_000)
  const seen = [...started.members.values()].map(member => member.members().find(view => view.name === 'a-01')?.incarnation)
  expect(new Set(seen)).toEqual(new Set([2]))
})

test('with the platform\'s list down the members that know each other go on', async () => {
  const started = await startFleet(10, { a: [6, 0] })
  started.listed = undefined
  await started.kill('a-05')
  await started.clock.advance(30_000)
  for (const member of started.members.values()) expect(member.members()).toHaveLength(5)
})
