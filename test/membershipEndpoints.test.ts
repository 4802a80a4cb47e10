import { afterEach, expect, test } from 'vitest'
import { MemberFleet } from './fakes/fakeLinkMembers.ts'

let fleet: MemberFleet | undefined

afterEach(async () => {
  await fleet?.stopAll()
  fleet = undefined
})

/** Within this time, milliseconds, every daemon must know that an endpoint is leaving. */
const leavingBound = 4_000

async function startFleet (seed: number): Promise<MemberFleet> {
  fleet = new MemberFleet(seed, { a: [10, 6], b: [4, 3] })
  fleet.startAll()
  await fleet.clock.advance(25_000)
  return fleet
}

function newsOf (started: MemberFleet, endpoint: string) {
  return [...started.members.values()].map(member => member.endpointStatus(endpoint))
}

function leavingAt (started: MemberFleet, endpoint: string): number {
  return newsOf(started, endpoint).filter(news => news?.leaving).length
}

test('the load of an engine reaches every daemon of its data centre and, later, of the others', async () => {
  const started = await startFleet(1)
  started.engine('engine-a-003').running = 17
  await started.clock.advance(4_000)
  const near = [...started.members].filter(([name]) => name.startsWith('a')).map(([, member]) => member.endpointStatus('engine-a-003'))
  expect(near.map(news => news?.report?.running)).toEqual(near.map(() => 17))
  expect(near[0]).toMatchObject({ healthy: true, leaving: false, report: { versions: ['small@1', 'large@1'], betweenTokensMilliseconds: 12.5 } })
  await started.clock.advance(25_000)
  expect(newsOf(started, 'engine-a-003').map(news => news?.report?.running)).toEqual(newsOf(started, 'engine-a-003').map(() => 17))
})

test('an engine is polled by two daemons only', async () => {
  const started = await startFleet(2)
  for (const name of started.members.keys()) started.blocked.add(`${name} engine-a-001`)
  const readers = [...started.members.keys()].filter(name => name.startsWith('a'))
  let reports = 0
  for (const name of readers) {
    started.blocked.delete(`${name} engine-a-001`)
    started.engine('engine-a-001').running += 1
    await started.clock.advance(5_000)
    const isRead = started.member('a-00').endpointStatus('engine-a-001')?.report?.running === started.engine('engine-a-001').running
    if (isRead) reports += 1
    started.blocked.add(`${name} engine-a-001`)
  }
  expect(reports).toBe(2)
})

test.each(['its own report', 'the platform\'s list', 'an attempt that saw it'])('a leaving mark from %s reaches every daemon within 4 s and stays', async source => {
  const started = await startFleet(3)
  if (source === 'its own report') started.engine('engine-a-002').leaving = true
  if (source === 'the platform\'s list') started.listed?.push({ name: 'engine-a-002', address: 'elsewhere:1', region: 'region-a', dataCentre: 'a', leaving: true })
  if (source === 'an attempt that saw it') started.member('b-01').markEndpointLeaving('engine-a-002')
  await started.clock.advance(leavingBound)
  expect(leavingAt(started, 'engine-a-002')).toBe(14)
  started.engine('engine-a-002').leaving = false
  await started.clock.advance(30_000)
  expect(leavingAt(started, 'engine-a-002')).toBe(14)
})

test('a leaving mark counts at once where it was seen', async () => {
  const started = await startFleet(4)
  started.member('a-07').markEndpointLeaving('engine-b-000')
  expect(started.member('a-07').endpointStatus('engine-b-000')?.leaving).toBe(true)
})

test('a mark for an endpoint that has not reported yet outlasts its first report', async () => {
  fleet = new MemberFleet(5, { a: [4, 2] })
  fleet.engine('engine-a-001').reachable = false
  fleet.startAll()
  await fleet.clock.advance(10_000)
  fleet.member('a-01').markEndpointLeaving('engine-a-001')
  await fleet.clock.advance(3_000)
  fleet.engine('engine-a-001').reachable = true
  await fleet.clock.advance(10_000)
  expect(fleet.member('a-00').endpointStatus('engine-a-001')?.report).toBeDefined()
  expect(leavingAt(fleet, 'engine-a-001')).toBe(4)
})

test('an engine that restarts is no longer leaving, though the list still says so', async () => {
  const started = await startFleet(6)
  started.listed?.push({ name: 'engine-a-002', address: 'elsewhere:1', region: 'region-a', dataCentre: 'a', leaving: true })
  await started.clock.advance(5_000)
  expect(leavingAt(started, 'engine-a-002')).toBe(14)
  started.engine('engine-a-002').incarnation += 1
  await started.clock.advance(30_000)
  expect(leavingAt(started, 'engine-a-002')).toBe(0)
})

test('an engine that no daemon reaches is unhealthy until one does', async () => {
  const started = await startFleet(7)
  started.engine('engine-a-004').reachable = false
  await started.clock.advance(30_000)
  expect(newsOf(started, 'engine-a-004').filter(news => news?.healthy)).toEqual([])
  started.engine('engine-a-004').reachable = true
  await started.clock.advance(30_000)
  expect(newsOf(started, 'engine-a-004').every(news => news?.healthy)).toBe(true)
})

test('an engine that any one daemon can\'t reach stays healthy', async () => {
  const started = await startFleet(10)
  for (const name of [...started.members.keys()].filter(member => member.startsWith('a'))) {
    started.blocked.add(`${name} engine-a-005`)
    await started.clock.advance(10_000)
    expect(newsOf(started, 'engine-a-005').filter(news => !news?.healthy)).toEqual([])
    started.blocked.delete(`${name} engine-a-005`)
  }
})

test('marks that were made during a cut between data centres arrive after it', async () => {
  const started = await startFleet(8)
  started.network.cut('a', 'b')
  started.member('a-03').markEndpointLeaving('engine-a-000')
  await started.clock.advance(60_000)
  expect(started.member('b-00').endpointStatus('engine-a-000')?.leaving).toBe(false)
  started.network.heal('a', 'b')
  await started.clock.advance(leavingBound)
  expect(leavingAt(started, 'engine-a-000')).toBe(14)
})

test('a daemon that starts later knows the marks that were made before', async () => {
  const started = await startFleet(9)
  started.member('a-03').markEndpointLeaving('engine-a-000')
  await started.kill('a-09')
  started.start({ ...started.identity('a-09'), incarnation: 2 })
  await started.clock.advance(leavingBound)
  expect(started.member('a-09').endpointStatus('engine-a-000')?.leaving).toBe(true)
})
