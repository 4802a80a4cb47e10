/**
 * One bill for each request. A request that was retried through another daemon, or answered twice, is
 * recorded under the same id more than once; the earliest record is the bill, and what the others
 * cost is booked as extra. This is the one place that says so; whoever reads the books folds first.
 */
import type { BillEntry } from './contract.ts'

/**
 * Folds records into bills, one for each id.
 *
 * @example
 * const bills = deduplicateBills(entries)
 */
export function deduplicateBills (entries: Iterable<BillEntry>): Map<string, BillEntry> {
  const bills = new Map<string, BillEntry>()
  for (const entry of entries) {
    const known = bills.get(entry.id)
    bills.set(entry.id, known === undefined ? entry : mergeRecords(known, entry))
  }
  return bills
}

function mergeRecords (known: BillEntry, other: BillEntry): BillEntry {
  const [bill, extra] = isEarlier(other, known) ? [other, known] : [known, other]
  return { ...bill, extraCost: bill.extraCost + extra.cost + extra.extraCost }
}

/** Ties are broken by content, so that the order of reading does not matter. */
function isEarlier (left: BillEntry, right: BillEntry): boolean {
  if (left.at !== right.at) return left.at < right.at
  return left.cost < right.cost
}
