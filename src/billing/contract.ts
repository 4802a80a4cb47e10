/** What is billed, and the promise that it is billed exactly once. */
import type { Place, Result, TokenUsage, VersionName } from '../contract/index.ts'

/** One request's bill. */
export interface BillEntry {
  /** The same for every attempt and retry of one request: an id is billed once, however often it is recorded. */
  readonly id: string
  readonly organisation: string
  readonly kind: string
  /** The version whose answer was released; undefined for a plain service. */
  readonly version: VersionName | undefined
  readonly service: string | undefined
  readonly usage: TokenUsage
  /** Cost units of the released answer. */
  readonly cost: number
  /** Cost units of cascade steps, retries, hedges and ratings besides; booked, not billed. */
  readonly extraCost: number
  /** Milliseconds since the epoch. */
  readonly at: number
}

/** An entry that could be made safe neither in the store nor with other VMs. */
export class EntryNotSafe {
  readonly reason: string

  constructor (reason: string) {
    this.reason = reason
  }
}

/** Where a safe entry is held. */
export const EntryDurability = {
  /** In the platform's store. */
  Durable: 'durable',
  /** With other VMs of unlike racks, while the store is out. */
  Copied: 'copied'
} as const
export type EntryDurability = typeof EntryDurability[keyof typeof EntryDurability]

/** The ledger as a request sees it. */
export interface Ledger {
  /**
   * Records an entry; the end of the answer is let go when this returns. An entry that is not safe
   * yet stays in this daemon's backlog and is still written when the store is back, unless the
   * backlog is full or the VM is lost first.
   *
   * @example
   * const safe = await ledger.record(entry)
   */
  record (entry: BillEntry): Promise<Result<EntryDurability, EntryNotSafe>>
}

/** What a ledger reads of another daemon; a member of the membership's view fits. */
export interface LedgerMember {
  readonly name: string
  /** `IP:port` of its link. */
  readonly address: string
  readonly place: Place
  readonly rack: string
  readonly incarnation: number
  /** `alive` members take duties; the others only count as not gone. */
  readonly state: string
}

/** What a ledger has done, for metrics; counts grow only, the others are of now. */
export interface LedgerCounters {
  /** Entries known to be in the store. */
  readonly entriesDurable: number
  /** Entries released on copies with other VMs. */
  readonly entriesCopied: number
  /** Entries that were neither durable nor copied when their request asked; they stay in the backlog. */
  readonly entriesUnsafe: number
  /** Entries that are lost for good: refused by a full backlog, or left when this daemon stopped. */
  readonly entriesLost: number
  /** Own entries not known to be in the store. */
  readonly backlog: number
  /** Entries held for other daemons. */
  readonly copiesHeld: number
  /** Transactions sent to the store. */
  readonly transactions: number
}
