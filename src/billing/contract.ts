/** Bill entries and the ledger, which bills each request exactly once. */
import type { Place, Result, TokenUsage, VersionName } from '../contract/index.ts'

/** One request's bill. */
export interface BillEntry {
  /** The same for every attempt and retry of a request: an id is billed once, however often it is recorded. */
  readonly id: string
  readonly organisation: string
  readonly kind: string
  /** The version whose answer was returned to the caller; undefined for a plain service. */
  readonly version: VersionName | undefined
  readonly service: string | undefined
  readonly usage: TokenUsage
  /** Cost units of the returned answer. */
  readonly cost: number
  /** Cost units of additional cascade steps, retries, hedges and ratings; recorded but not billed. */
  readonly extraCost: number
  /** Milliseconds since the epoch. */
  readonly at: number
}

/** Why an entry was neither stored nor copied to enough other VMs. */
export class EntryNotSafe {
  readonly reason: string

  constructor (reason: string) {
    this.reason = reason
  }
}

/** How a recorded entry is protected against loss. */
export const EntryDurability = {
  /** In the platform's store. */
  Durable: 'durable',
  /** On other VMs, in different racks where possible, while the store is unavailable. */
  Copied: 'copied'
} as const
export type EntryDurability = typeof EntryDurability[keyof typeof EntryDurability]

/** Records the bill entries of requests. */
export interface Ledger {
  /**
   * Records an entry; the end of the answer is sent once this returns. An entry that is not yet safe
   * stays in this daemon's backlog and is written when the store is available again, unless the
   * backlog is full or the VM fails first.
   *
   * @example
   * const safe = await ledger.record(entry)
   */
  record (entry: BillEntry): Promise<Result<EntryDurability, EntryNotSafe>>
}

/** The properties of another daemon that a ledger uses; members of the membership's view satisfy it. */
export interface LedgerMember {
  readonly name: string
  /** `IP:port` of its link. */
  readonly address: string
  readonly place: Place
  readonly rack: string
  readonly incarnation: number
  /** Only `alive` members act as collectors or copy holders; members in other states still count as present. */
  readonly state: string
}

/** A ledger's counters and gauges for metrics; `backlog` and `copiesHeld` are gauges. */
export interface LedgerCounters {
  /** Entries known to be in the store. */
  readonly entriesDurable: number
  /** Entries accepted because other VMs hold copies. */
  readonly entriesCopied: number
  /** Entries that were neither durable nor copied when `record` returned; they stay in the backlog. */
  readonly entriesUnsafe: number
  /** Entries lost permanently: refused by a full backlog, or unwritten and uncopied when this daemon stopped. */
  readonly entriesLost: number
  /** This daemon's entries not known to be in the store. */
  readonly backlog: number
  /** Entries held for other daemons. */
  readonly copiesHeld: number
  /** Transactions sent to the store. */
  readonly transactions: number
}
