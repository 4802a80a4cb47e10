/**
 * Measures the time from the acceptance of a change until every daemon has applied it, in virtual time on
 * the fake network, with message loss.
 *
 *   node scripts/run.mjs measure/settingsConvergence.ts
 */
import { SeededRandomness } from '../src/contract/index.ts'
import { SettingsLease, TableSettingsRepository } from '../src/distribution/index.ts'
import { subtreeSchema } from '../src/settings/index.ts'
import { FollowerFleet } from '../test/fakes/fakeLinkFollowers.ts'

const changes = 25
const stepMilliseconds = 20
const convergenceTimeoutMilliseconds = 20_000
const storeLatencyMilliseconds = 20

interface ConvergenceMeasurement {
  readonly daemons: number
  readonly loss: number
  readonly changes: number
  readonly p50Milliseconds: number
  readonly p100Milliseconds: number
  /** Share of lapsed leases among all daemons, sampled whenever every daemon had applied a change. */
  readonly lapsedShare: number
  readonly asksPerDaemonAndSecond: number
}

function subtreeOf (price: number) {
  return subtreeSchema.parse({ models: { small: { price, versions: { 1: {} } } } })
}

async function measure (sizes: Readonly<Record<string, number>>, loss: number, seed: number): Promise<ConvergenceMeasurement> {
  const fleet = new FollowerFleet(seed, sizes)
  fleet.network.conditions.lossRate = () => loss
  fleet.network.conditions.delayMilliseconds = (from, to) => from.place.dataCentre === to.place.dataCentre ? 0.5 : 20
  await fleet.repository.put('fleet', subtreeOf(1), { expected: 0, author: 'measure' })
  fleet.table.script = () => ({ fault: 'none', requestDelayMilliseconds: storeLatencyMilliseconds, replyDelayMilliseconds: storeLatencyMilliseconds })
  fleet.startAll()
  await fleet.clock.advance(8_000)
  const immediateRepository = new TableSettingsRepository({ table: fleet.table.memoryTable, clock: fleet.clock, randomness: new SeededRandomness(seed) })
  const startedAt = fleet.clock.now()
  const requestsBefore = fleet.network.requestCounts.get('settings.question') ?? 0
  const times: number[] = []
  let lapsedLeases = 0
  for (let price = 2; price < changes + 2; price++) {
    // Written without store latency, so that the change is accepted at the current time.
    const revision = (await immediateRepository.put('fleet', subtreeOf(price), { expected: price - 1, author: 'measure' })).unwrap()
    const acceptedAt = fleet.clock.now()
    while (fleet.revisions().some(appliedRevision => appliedRevision < revision) && fleet.clock.now() - acceptedAt < convergenceTimeoutMilliseconds) await fleet.clock.advance(stepMilliseconds)
    times.push(fleet.clock.now() - acceptedAt)
    lapsedLeases += [...fleet.followers.values()].filter(follower => follower.lease === SettingsLease.Lapsed).length
    await fleet.clock.advance(700 + price * 37)
  }
  const seconds = (fleet.clock.now() - startedAt) / 1_000
  const requests = (fleet.network.requestCounts.get('settings.question') ?? 0) - requestsBefore
  const daemons = fleet.identities.length
  times.sort((left, right) => left - right)
  await fleet.stopAll()
  return {
    daemons,
    loss,
    changes,
    p50Milliseconds: times[Math.floor(times.length / 2)] ?? 0,
    p100Milliseconds: times.at(-1) ?? 0,
    lapsedShare: lapsedLeases / (daemons * changes),
    asksPerDaemonAndSecond: requests / seconds / daemons
  }
}

async function main (): Promise<void> {
  const results: ConvergenceMeasurement[] = []
  for (const loss of [0, 0.01, 0.05]) {
    results.push(await measure({ a: 70 }, loss, 31))
    console.log(JSON.stringify(results.at(-1)))
  }
  for (const loss of [0, 0.01, 0.05]) {
    results.push(await measure({ a: 70, b: 70, c: 70, d: 70, e: 70 }, loss, 37))
    console.log(JSON.stringify(results.at(-1)))
  }
  console.log(JSON.stringify(results))
}

main()
