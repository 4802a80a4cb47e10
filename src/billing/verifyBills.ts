/**
 * Recomputes all bills from the rows in the store and checks their consistency. Watermarks are read before
 * batches, so that batches committed in between are only newer than the watermarks and none seems missing.
 */
import { Ok, type Result } from '../contract/index.ts'
import type { PlatformUnavailable, Row, TableService } from '../store/index.ts'
import type { BillEntry } from './contract.ts'
import { deduplicateBills } from './deduplicateBills.ts'
import { parseBatch, batchTableName, parseWatermark, watermarkTableName } from './lane.ts'
import { unpackEntries } from './packedEntries.ts'
import { SequenceRanges } from './sequenceRanges.ts'

/** Totals and inconsistencies of the stored bills. */
export interface BillReport {
  /** Number of entries in batches. */
  readonly entries: number
  /** Number of bills: entries deduplicated by id. */
  readonly bills: number
  /** Number of ids recorded more than once; each is billed once. */
  readonly repeatedIds: number
  /** Entries whose incarnation and number appear more than once in batches, as `incarnation/number`; must be empty. */
  readonly doubled: readonly string[]
  /** Numbers in a watermark that no batch contains, as `incarnation/number`; must be empty. */
  readonly missing: readonly string[]
  /** Rows that can't be read; must be empty. */
  readonly unreadable: readonly string[]
  /** Count of numbers below an incarnation's last that are not in the store: entries lost with VMs, or not yet written. */
  readonly holes: number
  /** Cost units billed; `extraCost` is recorded but not billed. */
  readonly cost: number
  readonly extraCost: number
}

/**
 * Recomputes and checks all bills.
 *
 * @example
 * const report = await verifyBills(table)
 */
export async function verifyBills (table: TableService): Promise<Result<BillReport, PlatformUnavailable>> {
  const watermarks = await scanTable(table, watermarkTableName)
  if (watermarks.err) return watermarks
  const batches = await scanTable(table, batchTableName)
  if (batches.err) return batches
  const unreadable: string[] = []
  const committed = committedRanges(watermarks.val, unreadable)
  const { entries, seen, doubled } = entriesOf(batches.val, unreadable)
  const bills = deduplicateBills(entries)
  const all = [...bills.values()]
  return Ok({
    entries: entries.length,
    bills: bills.size,
    repeatedIds: countRepeated(entries),
    doubled,
    missing: missingIn(committed, seen),
    unreadable,
    holes: [...committed.values()].reduce((sum, ranges) => sum + ranges.missingCount, 0),
    cost: all.reduce((sum, bill) => sum + bill.cost, 0),
    extraCost: all.reduce((sum, bill) => sum + bill.extraCost, 0)
  })
}

/**
 * Reads all records of all bills, without deduplication.
 *
 * @example
 * const records = await readBillRecords(table)
 */
export async function readBillRecords (table: TableService): Promise<Result<BillEntry[], PlatformUnavailable>> {
  const batches = await scanTable(table, batchTableName)
  return batches.map(rows => entriesOf(rows, []).entries)
}

async function scanTable (table: TableService, name: string): Promise<Result<Row[], PlatformUnavailable>> {
  const rows: Row[] = []
  let after: string | undefined
  do {
    const page = await table.scan(name, after === undefined ? { prefix: '' } : { prefix: '', after })
    if (page.err) return page
    rows.push(...page.val.rows)
    after = page.val.next
  } while (after !== undefined)
  return Ok(rows)
}

function committedRanges (rows: readonly Row[], unreadable: string[]): Map<string, SequenceRanges> {
  const committed = new Map<string, SequenceRanges>()
  for (const row of rows) {
    const watermark = parseWatermark(row.version, row.value)
    if (watermark === undefined) unreadable.push(row.key)
    for (const [origin, ranges] of watermark?.origins ?? []) committed.set(origin, ranges)
  }
  return committed
}

function entriesOf (rows: readonly Row[], unreadable: string[]): { readonly entries: BillEntry[], readonly seen: Set<string>, readonly doubled: string[] } {
  const entries: BillEntry[] = []
  const seen = new Set<string>()
  const doubled: string[] = []
  for (const row of rows) {
    const batch = parseBatch(row.value)
    if (batch === undefined) unreadable.push(row.key)
    for (const { origin, sequence, entry } of unpackEntries(batch?.entries ?? [])) {
      const entryName = `${origin}/${sequence}`
      if (seen.has(entryName)) doubled.push(entryName)
      seen.add(entryName)
      entries.push(entry)
    }
  }
  return { entries, seen, doubled }
}

function missingIn (committed: ReadonlyMap<string, SequenceRanges>, seen: ReadonlySet<string>): string[] {
  const missing: string[] = []
  for (const [origin, { ranges }] of committed) {
    for (const [from, to] of ranges) {
      for (let sequence = from; sequence <= to; sequence++) {
        if (!seen.has(`${origin}/${sequence}`)) missing.push(`${origin}/${sequence}`)
      }
    }
  }
  return missing
}

function countRepeated (entries: readonly BillEntry[]): number {
  const counts = new Map<string, number>()
  for (const { id } of entries) counts.set(id, (counts.get(id) ?? 0) + 1)
  return [...counts.values()].filter(count => count > 1).length
}
