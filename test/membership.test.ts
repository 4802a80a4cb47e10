import { afterEach, expect, test } from 'vitest'
import { MemberFleet } from './fakes/fakeLinkMembers.ts'

let activeFleet: MemberFleet | undefined

afterEach(async () => {
  await activeFleet?.stopAll()
  activeFleet = undefined
})

async function startFleet (seed: number, sizes: Readonly<Record<string, readonly [number, number]>>): Promise<MemberFleet> {
  activeFleet = new MemberFleet(seed, sizes)
  activeFleet.startAll()
  await activeFleet.clock.advance(25_000)
  return activeFleet
}

function repeat (value: string | undefined, count: number): Array<string | undefined> {
  return Array.from({ length: count }, () => value)
}

test('daemons that start together from the platform\'s list discover all others', async () => {
  const fleet = await startFleet(1, { a: [8, 0], b: [5, 0], c: [2, 0] })
  for (const member of fleet.members.values()) expect(member.members().filter(view => view.state === 'alive')).toHaveLength(15)
})

test('a dead daemon is removed everywhere, and the platform\'s list that still shows it does not bring it back', async () => {
  const fleet = await startFleet(2, { a: [8, 0], b: [2, 0] })
  await fleet.kill('a-03')
  await fleet.clock.advance(25_000)
  expect(fleet.observedStates('a-03')).toEqual(repeat(undefined, 9))
})

test('a frozen daemon is suspected, then removed, and refutes both when it resumes', async () => {
  const fleet = await startFleet(3, { a: [8, 0] })
  fleet.network.freeze('a-03')
  await fleet.clock.advance(12_000)
  expect(fleet.observedStates('a-03').filter(state => state === 'alive')).toEqual([])
  await fleet.clock.advance(20_000)
  expect(fleet.observedStates('a-03')).toEqual(repeat(undefined, 7))
  fleet.network.thaw('a-03')
  await fleet.clock.advance(10_000)
  expect(fleet.observedStates('a-03')).toEqual(repeat('alive', 7))
})

test('a daemon that is frozen only briefly is never removed', async () => {
  const fleet = await startFleet(4, { a: [8, 0] })
  fleet.network.freeze('a-05')
  let maximumMissing = 0
  for (let step = 0; step < 40; step++) {
    await fleet.clock.advance(250)
    if (step === 8) fleet.network.thaw('a-05')
    maximumMissing = Math.max(maximumMissing, fleet.observedStates('a-05').filter(state => state === undefined).length)
  }
  expect(maximumMissing).toBe(0)
  expect(fleet.observedStates('a-05')).toEqual(repeat('alive', 7))
})

test('two daemons that can\'t reach each other stay alive for the rest', async () => {
  const fleet = await startFleet(5, { a: [6, 0] })
  const { lossRate: loss } = fleet.network.conditions
  fleet.network.conditions.lossRate = (from, to) => [from.name, to.name].sort().join() === 'a-01,a-02' ? 1 : loss(from, to)
  await fleet.clock.advance(30_000)
  expect(fleet.observedStates('a-01')).toEqual(repeat('alive', 5))
  expect(fleet.observedStates('a-02')).toEqual(repeat('alive', 5))
})

test('a leaving daemon is seen as leaving, and is removed once it has stopped', async () => {
  const fleet = await startFleet(6, { a: [8, 0], b: [3, 0] })
  const left = fleet.member('a-02').leave()
  await fleet.clock.advance(4_000)
  await left
  expect(fleet.observedStates('a-02')).toEqual(repeat('leaving', 10))
  const stopped = fleet.member('a-02').stop()
  await fleet.clock.advance(4_000)
  await stopped
  fleet.members.delete('a-02')
  expect(fleet.observedStates('a-02')).toEqual(repeat(undefined, 10))
})

test('a daemon whose VM the platform lists as leaving is seen as leaving', async () => {
  const fleet = await startFleet(7, { a: [6, 0], b: [2, 0] })
  fleet.listedVirtualMachines = fleet.listedVirtualMachines?.map(machine => ({ ...machine, leaving: machine.name === 'a-04' }))
  await fleet.clock.advance(6_000)
  expect(fleet.observedStates('a-04')).toEqual(repeat('leaving', 7))
})

test('partitioned data centres keep their own members and rediscover each other afterwards', async () => {
  const fleet = await startFleet(8, { a: [5, 0], b: [5, 0] })
  fleet.network.partition('a', 'b')
  await fleet.clock.advance(60_000)
  await fleet.kill('b-01')
  await fleet.clock.advance(30_000)
  expect(fleet.member('a-00').members().filter(view => view.place.dataCentre === 'a' && view.state === 'alive')).toHaveLength(5)
  fleet.network.heal('a', 'b')
  await fleet.clock.advance(30_000)
  expect(fleet.observedStates('b-01')).toEqual(repeat(undefined, 9))
  expect(fleet.observedStates('b-02')).toEqual(repeat('alive', 8))
})

test('a restarted daemon is known by its new incarnation', async () => {
  const fleet = await startFleet(9, { a: [6, 0], b: [2, 0] })
  await fleet.kill('a-01')
  fleet.start({ ...fleet.identity('a-01'), incarnation: 2 })
  await fleet.clock.advance(25_000)
  const incarnations = [...fleet.members.values()].map(member => member.members().find(view => view.name === 'a-01')?.incarnation)
  expect(new Set(incarnations)).toEqual(new Set([2]))
})

test('while the platform\'s list is unavailable, members that know each other keep working', async () => {
  const fleet = await startFleet(10, { a: [6, 0] })
  fleet.listedVirtualMachines = undefined
  await fleet.kill('a-05')
  await fleet.clock.advance(30_000)
  for (const member of fleet.members.values()) expect(member.members()).toHaveLength(5)
})
