/**
 * Measures the cost of the ledger: processor time and bytes per entry, transactions per second by the
 * number of daemons, and memory of the backlog by the length of an outage. Prints one JSON object per line.
 *   node --expose-gc scripts/run.mjs measure/billing.ts
 */
import { performance } from 'node:perf_hooks'
import { batchTableName, watermarkTableName } from '../src/billing/index.ts'
import { MemoryTableService } from '../src/standin/index.ts'
import { FaultyTableService, TableFault } from '../test/fakes/faultyTableService.ts'
import { billEntryFor, LedgerGroup } from '../trial/prove/ledgerGroup.ts'
import { VirtualClock } from '../trial/prove/virtualClock.ts'
import { fitLeastSquares } from './leastSquares.ts'

/** Entries per second of one daemon at the design load. */
const entriesPerSecondAndDaemon = 4.3
const dataCentres = 5
const stepMilliseconds = 1_000
const measuredSeconds = 10
const outageMinutes = [1, 10, 60]

function print (line: Record<string, unknown>): void {
  console.log(JSON.stringify(line))
}

async function bytesIn (memory: MemoryTableService, table: string): Promise<number> {
  let bytes = 0
  let after: string | undefined
  do {
    const page = (await memory.scan(table, after === undefined ? { prefix: '' } : { prefix: '', after })).unwrap()
    for (const row of page.rows) bytes += row.key.length + JSON.stringify(row.value).length
    after = page.next
  } while (after !== undefined)
  return bytes
}

/** Records entries through one ledger as fast as one core allows. */
async function measureEntries (count: number): Promise<readonly [readonly number[], number]> {
  const clock = new VirtualClock()
  const memory = new MemoryTableService()
  const group = new LedgerGroup(clock, new FaultyTableService(clock, memory))
  const { ledger } = group.add('entry-0')
  const startedAt = performance.now()
  const recording = Promise.all(Array.from({ length: count }, (_, index) => ledger.record(billEntryFor(`chat-${index}`))))
  while (ledger.backlog > 0) await clock.advance(100)
  await recording
  const milliseconds = performance.now() - startedAt
  print({
    measure: 'entries through one ledger', entries: count, milliseconds: Math.round(milliseconds), entries_per_second: Math.round(count / milliseconds * 1_000), bytes_per_entry: Math.round(await bytesIn(memory, batchTableName) / count)
  })
  return [[count], milliseconds]
}

/** Simulates daemons in five data centres at about the design load; the entries of a second are rounded up to whole ones for each daemon. */
async function measureWrites (daemons: number): Promise<void> {
  const clock = new VirtualClock()
  const memory = new MemoryTableService()
  const group = new LedgerGroup(clock, new FaultyTableService(clock, memory))
  for (let index = 0; index < daemons; index++) group.add(`entry-${index}`, `rack-${index}`, { region: `region-${index % 2}`, dataCentre: `data-centre-${index % dataCentres}` })
  const startedAt = process.cpuUsage()
  let entries = 0
  for (let second = 0; second < measuredSeconds; second++) {
    for (const [index, daemon] of group.daemons.entries()) {
      for (let number = 0; number < entriesPerSecondAndDaemon; number++) {
        entries += 1
        const id = `chat-${entries}`
        clock.sleep((index * 37 + number * 233) % stepMilliseconds).then(() => daemon.ledger.record(billEntryFor(id)))
      }
    }
    await clock.advance(stepMilliseconds)
  }
  const processorTime = process.cpuUsage(startedAt)
  const transactions = group.daemons.reduce((sum, daemon) => sum + daemon.ledger.transactions, 0)
  const requests = [...group.network.requestCounts.values()].reduce((sum, count) => sum + count, 0)
  print({
    measure: 'five data centres',
    daemons,
    entries_per_second: entries / measuredSeconds,
    transactions_per_second: transactions / measuredSeconds,
    messages_per_second: requests / measuredSeconds,
    watermark_bytes: await bytesIn(memory, watermarkTableName),
    processor_microseconds_per_entry_all_daemons: Math.round((processorTime.user + processorTime.system) / entries)
  })
}

/** Measures the backlog and the copies that a store outage causes, at the design load of one daemon. */
async function measureOutage (minutes: number): Promise<readonly [readonly number[], number]> {
  const clock = new VirtualClock()
  const table = new FaultyTableService(clock)
  const group = new LedgerGroup(clock, table)
  const recorder = group.add('entry-0')
  for (const name of ['entry-1', 'entry-2']) group.add(name)
  table.script = () => ({ fault: TableFault.Down })
  globalThis.gc?.()
  const heapBytesBefore = process.memoryUsage().heapUsed
  const count = Math.round(minutes * 60 * entriesPerSecondAndDaemon)
  for (let index = 0; index < count; index++) {
    recorder.ledger.record(billEntryFor(`chat-${index}`))
    await clock.advance(1_000 / entriesPerSecondAndDaemon)
  }
  globalThis.gc?.()
  const bytes = process.memoryUsage().heapUsed - heapBytesBefore
  const copiesHeld = group.daemons.reduce((sum, daemon) => sum + daemon.ledger.copiesHeld, 0)
  const { backlog } = recorder.ledger
  table.script = () => ({ fault: TableFault.None })
  const restoredAt = clock.now()
  while (recorder.ledger.backlog > 0) await clock.advance(100)
  print({ measure: 'outage', minutes, entries: count, backlog, copies_held: copiesHeld, bytes_per_held_entry: Math.round(bytes / (backlog + copiesHeld)), milliseconds_until_written: Math.round(clock.now() - restoredAt), gc: globalThis.gc !== undefined })
  return [[backlog + copiesHeld], bytes]
}

async function measure (): Promise<void> {
  await measureEntries(2_000)
  const entries = []
  for (const count of [5_000, 20_000, 80_000]) entries.push(await measureEntries(count))
  print({ measure: 'slope of entries: milliseconds an entry', ...fitLeastSquares(entries) })
  for (const daemons of [10, 50, 350]) await measureWrites(daemons)
  const outages = []
  for (const minutes of outageMinutes) outages.push(await measureOutage(minutes))
  print({ measure: 'slope of outages: bytes a held entry', ...fitLeastSquares(outages) })
}

measure().then(() => process.exit(0))
