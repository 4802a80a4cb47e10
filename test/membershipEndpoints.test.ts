import { afterEach, expect, test } from 'vitest'
import { MemberFleet } from './fakes/fakeLinkMembers.ts'

let activeFleet: MemberFleet | undefined

afterEach(async () => {
  await activeFleet?.stopAll()
  activeFleet = undefined
})

/** Every daemon must know within this time that an endpoint is leaving. */
const leavingPropagationMilliseconds = 4_000

async function startFleet (seed: number): Promise<MemberFleet> {
  activeFleet = new MemberFleet(seed, { a: [10, 6], b: [4, 3] })
  activeFleet.startAll()
  await activeFleet.clock.advance(25_000)
  return activeFleet
}

function statusesOf (fleet: MemberFleet, endpoint: string) {
  return [...fleet.members.values()].map(member => member.endpointStatus(endpoint))
}

function countLeaving (fleet: MemberFleet, endpoint: string): number {
  return statusesOf(fleet, endpoint).filter(status => status?.leaving).length
}

test('the load of an engine reaches all daemons of its data centre and, later, those of the others', async () => {
  const fleet = await startFleet(1)
  fleet.engine('engine-a-003').running = 17
  await fleet.clock.advance(4_000)
  const localStatuses = [...fleet.members].filter(([name]) => name.startsWith('a')).map(([, member]) => member.endpointStatus('engine-a-003'))
  expect(localStatuses.map(status => status?.report?.running)).toEqual(localStatuses.map(() => 17))
  expect(localStatuses[0]).toMatchObject({ healthy: true, leaving: false, report: { versions: ['small@1', 'large@1'], betweenTokensMilliseconds: 12.5 } })
  await fleet.clock.advance(25_000)
  expect(statusesOf(fleet, 'engine-a-003').map(status => status?.report?.running)).toEqual(statusesOf(fleet, 'engine-a-003').map(() => 17))
})

test('an engine is polled by only two daemons', async () => {
  const fleet = await startFleet(2)
  for (const name of fleet.members.keys()) fleet.unreachablePairs.add(`${name} engine-a-001`)
  const localDaemons = [...fleet.members.keys()].filter(name => name.startsWith('a'))
  let pollingDaemons = 0
  for (const name of localDaemons) {
    fleet.unreachablePairs.delete(`${name} engine-a-001`)
    fleet.engine('engine-a-001').running += 1
    await fleet.clock.advance(5_000)
    const isPolled = fleet.member('a-00').endpointStatus('engine-a-001')?.report?.running === fleet.engine('engine-a-001').running
    if (isPolled) pollingDaemons += 1
    fleet.unreachablePairs.add(`${name} engine-a-001`)
  }
  expect(pollingDaemons).toBe(2)
})

test.each(['its own report', 'the platform\'s list', 'an attempt that saw it'])('a leaving mark from %s reaches all daemons within 4 s and persists', async source => {
  const fleet = await startFleet(3)
  if (source === 'its own report') fleet.engine('engine-a-002').leaving = true
  if (source === 'the platform\'s list') fleet.listedVirtualMachines?.push({ name: 'engine-a-002', address: 'elsewhere:1', region: 'region-a', dataCentre: 'a', leaving: true })
  if (source === 'an attempt that saw it') fleet.member('b-01').markEndpointLeaving('engine-a-002')
  await fleet.clock.advance(leavingPropagationMilliseconds)
  expect(countLeaving(fleet, 'engine-a-002')).toBe(14)
  fleet.engine('engine-a-002').leaving = false
  await fleet.clock.advance(30_000)
  expect(countLeaving(fleet, 'engine-a-002')).toBe(14)
})

test('a leaving mark takes effect at once at the daemon that made it', async () => {
  const fleet = await startFleet(4)
  fleet.member('a-07').markEndpointLeaving('engine-b-000')
  expect(fleet.member('a-07').endpointStatus('engine-b-000')?.leaving).toBe(true)
})

test('a leaving mark made before the first report of an endpoint survives that report', async () => {
  activeFleet = new MemberFleet(5, { a: [4, 2] })
  activeFleet.engine('engine-a-001').reachable = false
  activeFleet.startAll()
  await activeFleet.clock.advance(10_000)
  activeFleet.member('a-01').markEndpointLeaving('engine-a-001')
  await activeFleet.clock.advance(3_000)
  activeFleet.engine('engine-a-001').reachable = true
  await activeFleet.clock.advance(10_000)
  expect(activeFleet.member('a-00').endpointStatus('engine-a-001')?.report).toBeDefined()
  expect(countLeaving(activeFleet, 'engine-a-001')).toBe(4)
})

test('a restarted engine is no longer leaving, although the platform\'s list still says so', async () => {
  const fleet = await startFleet(6)
  fleet.listedVirtualMachines?.push({ name: 'engine-a-002', address: 'elsewhere:1', region: 'region-a', dataCentre: 'a', leaving: true })
  await fleet.clock.advance(5_000)
  expect(countLeaving(fleet, 'engine-a-002')).toBe(14)
  fleet.engine('engine-a-002').incarnation += 1
  await fleet.clock.advance(30_000)
  expect(countLeaving(fleet, 'engine-a-002')).toBe(0)
})

test('an engine that no daemon reaches is unhealthy until one reaches it', async () => {
  const fleet = await startFleet(7)
  fleet.engine('engine-a-004').reachable = false
  await fleet.clock.advance(30_000)
  expect(statusesOf(fleet, 'engine-a-004').filter(status => status?.healthy)).toEqual([])
  fleet.engine('engine-a-004').reachable = true
  await fleet.clock.advance(30_000)
  expect(statusesOf(fleet, 'engine-a-004').every(status => status?.healthy)).toBe(true)
})

test('an engine that a single daemon can\'t reach stays healthy', async () => {
  const fleet = await startFleet(10)
  for (const name of [...fleet.members.keys()].filter(member => member.startsWith('a'))) {
    fleet.unreachablePairs.add(`${name} engine-a-005`)
    await fleet.clock.advance(10_000)
    expect(statusesOf(fleet, 'engine-a-005').filter(status => !status?.healthy)).toEqual([])
    fleet.unreachablePairs.delete(`${name} engine-a-005`)
  }
})

test('leaving marks made during a partition of data centres arrive after it', async () => {
  const fleet = await startFleet(8)
  fleet.network.partition('a', 'b')
  fleet.member('a-03').markEndpointLeaving('engine-a-000')
  await fleet.clock.advance(60_000)
  expect(fleet.member('b-00').endpointStatus('engine-a-000')?.leaving).toBe(false)
  fleet.network.heal('a', 'b')
  await fleet.clock.advance(leavingPropagationMilliseconds)
  expect(countLeaving(fleet, 'engine-a-000')).toBe(14)
})

test('a daemon that starts later learns of earlier leaving marks', async () => {
  const fleet = await startFleet(9)
  fleet.member('a-03').markEndpointLeaving('engine-a-000')
  await fleet.kill('a-09')
  fleet.start({ ...fleet.identity('a-09'), incarnation: 2 })
  await fleet.clock.advance(leavingPropagationMilliseconds)
  expect(fleet.member('a-09').endpointStatus('engine-a-000')?.leaving).toBe(true)
})
