import { expect, test } from 'vitest'
import { EntryNotSafe, deduplicateBills, EntryDurability, verifyBills, watermarkTableName, type BillReport } from '../src/billing/index.ts'
import { LaneWriter } from '../src/billing/laneWriter.ts'
import { billEntryFor, LedgerGroup, type LedgerDaemon } from '../trial/prove/ledgerGroup.ts'
import { MessageFault } from '../trial/prove/scriptedLinks.ts'
import { FaultyTableService, TableFault, type TableCall } from './fakes/faultyTableService.ts'
import { ManualClock } from './fakes/manualClock.ts'

const minuteMilliseconds = 60_000

function setUp (count: number) {
  const clock = new ManualClock()
  const table = new FaultyTableService(clock)
  const group = new LedgerGroup(clock, table)
  const daemons = Array.from({ length: count }, (_, index) => group.add(`entry-${index}`))
  return { clock, table, group, daemons: daemons as [LedgerDaemon, LedgerDaemon, LedgerDaemon, LedgerDaemon] }
}

async function expectValidBills (table: FaultyTableService): Promise<BillReport> {
  const report = (await verifyBills(table.memoryTable)).unwrap()
  expect([...report.doubled, ...report.missing, ...report.unreadable]).toEqual([])
  return report
}

function isFlush (call: TableCall): boolean {
  return call.kind === 'transact' && call.transaction.writes.some(write => write.table === watermarkTableName)
}

function setTableFault (table: FaultyTableService, fault: TableFault): void {
  table.script = () => ({ fault })
}

/** Records entries and advances the clock by 5 s, which is enough for all of them to be answered. */
async function recordEntries (clock: ManualClock, daemon: LedgerDaemon, ids: readonly string[]) {
  const recording = Promise.all(ids.map(id => daemon.ledger.record(billEntryFor(id, clock.now()))))
  await clock.advance(5_000)
  return recording
}

function entryIds (prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`)
}

test('an entry is in the store when recording it returns', async () => {
  const { clock, table, daemons } = setUp(1)
  const results = await recordEntries(clock, daemons[0], ['a'])
  expect(results[0]?.val).toBe(EntryDurability.Durable)
  expect((await expectValidBills(table)).bills).toBe(1)
})

test('entries recorded at the same time share a transaction', async () => {
  const { clock, table, daemons } = setUp(1)
  await recordEntries(clock, daemons[0], entryIds('a', 500))
  expect((await expectValidBills(table)).bills).toBe(500)
  expect(daemons[0].ledger.transactions).toBeLessThanOrEqual(2)
})

test('a flush whose reply is lost is resolved by the watermark and not written twice', async () => {
  const { clock, table, daemons } = setUp(1)
  let lostReplies = 0
  table.script = call => isFlush(call) && lostReplies++ < 1 ? { fault: TableFault.ReplyLost } : { fault: TableFault.None }
  const results = await recordEntries(clock, daemons[0], entryIds('a', 10))
  expect(results.map(result => result.val)).toEqual(Array(10).fill(EntryDurability.Durable))
  expect((await expectValidBills(table)).entries).toBe(10)
})

test('a flush that takes effect long after its writer timed out is not written twice', async () => {
  const { clock, table, daemons } = setUp(3)
  let delayedFlushes = 0
  table.script = call => isFlush(call) && delayedFlushes++ < 1 ? { fault: TableFault.None, requestDelayMilliseconds: 30_000 } : { fault: TableFault.None }
  await recordEntries(clock, daemons[0], entryIds('a', 10))
  await clock.advance(minuteMilliseconds)
  expect(await expectValidBills(table)).toMatchObject({ entries: 10, bills: 10, holes: 0 })
})

test('entries of several daemons go through one collector per lane', async () => {
  const { clock, table, daemons } = setUp(4)
  for (const daemon of daemons) await recordEntries(clock, daemon, entryIds(daemon.member.name, 5))
  expect((await expectValidBills(table)).bills).toBe(20)
  const writers = daemons.filter(daemon => daemon.ledger.transactions > 0)
  expect(writers.length).toBeLessThanOrEqual(2)
})

test('an entry that reached its collector is written once when the reply is lost', async () => {
  const { clock, table, group, daemons } = setUp(4)
  group.network.script = type => type === 'bill.hand-in' ? MessageFault.ReplyLost : MessageFault.None
  for (const daemon of daemons) await recordEntries(clock, daemon, entryIds(daemon.member.name, 5))
  await clock.advance(10_000)
  expect(await expectValidBills(table)).toMatchObject({ entries: 20, bills: 20 })
})

test('killing a collector neither loses nor duplicates an entry', async () => {
  const { clock, table, group, daemons } = setUp(4)
  for (const daemon of daemons) await recordEntries(clock, daemon, entryIds(daemon.member.name, 5))
  const collector = daemons.find(daemon => daemon.ledger.transactions > 0) as LedgerDaemon
  group.network.removeLink(collector.member.address)
  collector.store.disconnect()
  const others = daemons.filter(daemon => daemon !== collector)
  for (const daemon of others) await recordEntries(clock, daemon, entryIds(`${daemon.member.name}-later`, 5))
  await clock.advance(10_000)
  expect(await expectValidBills(table)).toMatchObject({ entries: 35, bills: 35 })
})

test('during a store outage an entry is released once it is copied, and written once after the outage', async () => {
  const { clock, table, group, daemons } = setUp(4)
  setTableFault(table, TableFault.Down)
  const results = await recordEntries(clock, daemons[0], entryIds('a', 20))
  expect(results.map(result => result.val)).toEqual(Array(20).fill(EntryDurability.Copied))
  expect((await expectValidBills(table)).entries).toBe(0)
  expect(group.daemons.map(daemon => daemon.ledger.copiesHeld).sort()).toEqual([0, 0, 20, 20])
  setTableFault(table, TableFault.None)
  await clock.advance(10_000)
  expect(await expectValidBills(table)).toMatchObject({ entries: 20, bills: 20 })
  expect(group.daemons.map(daemon => daemon.ledger.copiesHeld)).toEqual([0, 0, 0, 0])
  expect(daemons[0].ledger.backlog).toBe(0)
})

test('the copy holders of a dead daemon submit its entries exactly once', async () => {
  const { clock, table, group, daemons } = setUp(4)
  setTableFault(table, TableFault.Down)
  await recordEntries(clock, daemons[0], entryIds('a', 20))
  group.kill(daemons[0])
  setTableFault(table, TableFault.None)
  await clock.advance(20_000)
  expect(await expectValidBills(table)).toMatchObject({ entries: 20, bills: 20, holes: 0 })
})

test('no entry is lost or duplicated in a store outage of 30 min during which each daemon is replaced in turn', async () => {
  const { clock, table, group, daemons } = setUp(4)
  setTableFault(table, TableFault.RequestLost)
  let recorded = 0
  const initialDaemons = [...daemons]
  for (let round = 0; round < 8; round++) {
    for (const daemon of [...group.daemons]) {
      const results = await recordEntries(clock, daemon, entryIds(`${round}-${daemon.member.name}`, 2))
      recorded += results.filter(result => result.ok).length
    }
    await clock.advance(3 * minuteMilliseconds)
    const oldest = initialDaemons.shift()
    if (oldest === undefined) continue
    group.add(`${oldest.member.name}-replaced`)
    const stopping = group.stop(oldest)
    await clock.advance(minuteMilliseconds)
    await stopping
  }
  setTableFault(table, TableFault.None)
  await clock.advance(20 * minuteMilliseconds)
  expect(recorded).toBe(64)
  expect(await expectValidBills(table)).toMatchObject({ bills: 64, entries: 64 })
})

test('an entry that reaches neither the store nor enough other VMs is reported as not safe and counted', async () => {
  const { clock, table, daemons } = setUp(1)
  setTableFault(table, TableFault.Down)
  const results = await recordEntries(clock, daemons[0], ['a'])
  expect(results[0]?.val).toBeInstanceOf(EntryNotSafe)
  expect(daemons[0].ledger.entriesUnsafe).toBe(1)
  setTableFault(table, TableFault.None)
  await clock.advance(10_000)
  expect((await expectValidBills(table)).bills).toBe(1)
})

test('an unsafe entry of a daemon that stops during a store outage is counted as lost', async () => {
  const { clock, table, group, daemons } = setUp(1)
  setTableFault(table, TableFault.Down)
  await recordEntries(clock, daemons[0], ['a', 'b'])
  const stopping = group.stop(daemons[0])
  await clock.advance(minuteMilliseconds)
  await stopping
  expect(daemons[0].ledger.entriesLost).toBe(2)
})

test('copies are placed in other racks first', async () => {
  const { clock, table, group } = setUp(0)
  const first = group.add('entry-a', 'rack-1')
  const sameRack = [group.add('entry-b', 'rack-1'), group.add('entry-c', 'rack-1'), group.add('entry-d', 'rack-1')]
  const otherRacks = [group.add('entry-e', 'rack-2'), group.add('entry-f', 'rack-3')]
  setTableFault(table, TableFault.Down)
  await recordEntries(clock, first, ['a'])
  expect(otherRacks.map(daemon => daemon.ledger.copiesHeld)).toEqual([1, 1])
  expect(sameRack.map(daemon => daemon.ledger.copiesHeld)).toEqual([0, 0, 0])
})

test('a copy holder that dies during a store outage is replaced by another', async () => {
  const { clock, table, group, daemons } = setUp(4)
  setTableFault(table, TableFault.Down)
  await recordEntries(clock, daemons[0], entryIds('a', 3))
  const holder = group.daemons.find(daemon => daemon.ledger.copiesHeld > 0) as LedgerDaemon
  group.kill(holder)
  await clock.advance(5_000)
  group.kill(daemons[0])
  const remaining = group.daemons.filter(daemon => daemon.ledger.copiesHeld === 3)
  expect(remaining.length).toBe(2)
})

test('a planned stop writes all pending entries before it ends', async () => {
  const { clock, table, group, daemons } = setUp(2)
  const recording = Promise.all(entryIds('a', 50).map(id => daemons[0].ledger.record(billEntryFor(id))))
  const stopping = group.stop(daemons[0])
  await clock.advance(10_000)
  await Promise.all([recording, stopping])
  expect((await expectValidBills(table)).bills).toBe(50)
})

test('a request recorded by two daemons is billed once, and the repeated cost is booked as extra', async () => {
  const { clock, table, daemons } = setUp(3)
  await recordEntries(clock, daemons[0], ['a'])
  await recordEntries(clock, daemons[1], ['a'])
  expect(await expectValidBills(table)).toMatchObject({ entries: 2, bills: 1, repeatedIds: 1, cost: 20, extraCost: 20 })
})

test('deduplicated bills do not depend on the order in which entries are read', () => {
  const records = [billEntryFor('a', 3), billEntryFor('a', 1), billEntryFor('a', 2)]
  const orders = [[0, 1, 2], [2, 1, 0], [1, 2, 0]].map(order => order.flatMap(index => records[index] ?? []))
  const bills = orders.map(order => deduplicateBills(order).get('a'))
  expect(bills[1]).toEqual(bills[0])
  expect(bills[2]).toEqual(bills[0])
  expect(bills[0]).toMatchObject({ at: 1, cost: 20, extraCost: 40 })
})

test('verification reports a batch that was written without its watermark', async () => {
  const { clock, table, daemons } = setUp(1)
  await recordEntries(clock, daemons[0], entryIds('a', 2))
  const page = (await table.memoryTable.scan('bill_batches', { prefix: '' })).unwrap()
  table.memoryTable.apply({ conditions: [], writes: [{ table: 'bill_batches', key: 'lower-mainland-a/0/999', value: page.rows[0]?.value }] })
  expect((await verifyBills(table.memoryTable)).unwrap().doubled.length).toBeGreaterThan(0)
})

test('a lane whose writer is held up while it reads its watermark is written, and its store does not count as unavailable', async () => {
  const clock = new ManualClock()
  const table = new FaultyTableService(clock)
  table.script = () => ({ fault: TableFault.None, replyDelayMilliseconds: 20 })
  const writer = new LaneWriter('lane', table, clock, () => 0)
  const durable = writer.append([{ origin: 'entry-1', sequence: 1, entry: billEntryFor('a', clock.now()) }], false)
  await clock.advance(10)
  await clock.stall(1_300)
  await clock.advance(1_000)
  expect(await durable).toBe(true)
})
