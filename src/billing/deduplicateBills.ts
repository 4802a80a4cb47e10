/**
 * Produces one bill per request. A request that was retried through another daemon, or answered twice, is
 * recorded under the same id more than once: the earliest record is the bill, and the cost of the others is
 * recorded as extra cost. This rule is implemented only here; every reader of bill entries must apply it.
 */
import type { BillEntry } from './contract.ts'

/**
 * Merges records into one bill per id.
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

/** Breaks ties by cost, so that the result does not depend on the order of reading. */
function isEarlier (left: BillEntry, right: BillEntry): boolean {
  if (left.at !== right.at) return left.at < right.at
  return left.cost < right.cost
}
