import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { FleetDirectory, FleetReports } from '../src/fleet/index.ts'
import { Log } from '../src/observe/index.ts'
import { FakeLinkNetwork } from './fakes/fakeLink.ts'
import { ManualClock } from './fakes/manualClock.ts'

const seed = 'seed-0'
const log = new Log('error', {}, () => undefined)
/** Time for which a list is good while reports succeed, and a stall somewhat shorter than it. */
const listAgeMilliseconds = 25_000
const stallMilliseconds = 22_000

function identityOf (address: string) {
  return { name: address, address, place: { region: 'coast', dataCentre: 'a' }, rack: '', incarnation: 1 }
}

function directoryOf (address: string, clock: ManualClock): FleetDirectory {
  return new FleetDirectory({ self: { address, region: 'coast' }, seeds: () => [seed], startedAt: clock.now(), now: () => clock.now() })
}

function startReports (network: FakeLinkNetwork, clock: ManualClock, address: string): { readonly directory: FleetDirectory, readonly reports: FleetReports } {
  const directory = directoryOf(address, clock)
  const reports = new FleetReports({ link: network.linkFor(identityOf(address)), directory, seeds: () => [seed], clock: network.clockFor(address), log })
  reports.start()
  return { directory, reports }
}

test('a list of the fleet that is read late, after a stall, is as old as the question', async () => {
  const clock = new ManualClock()
  const network = new FakeLinkNetwork(clock, new SeededRandomness(1))
  const seedReports = startReports(network, clock, seed)
  const { directory, reports } = startReports(network, clock, 'stalling')
  await clock.advance(100)
  expect(directory.contact.isCurrent).toBe(true)
  const countBefore = network.requestCounts.get('fleet_report')!
  while (network.requestCounts.get('fleet_report') === countBefore) await clock.advance(0.2)
  const askedAt = clock.now()
  network.freeze('stalling')
  await clock.advance(stallMilliseconds)
  network.thaw('stalling')
  network.remove(seed)
  await clock.advance(askedAt + listAgeMilliseconds - 100 - clock.now())
  expect(directory.contact.isCurrent).toBe(true)
  await clock.advance(200)
  expect(directory.contact.isCurrent).toBe(false)
  reports.stop()
  seedReports.reports.stop()
})
