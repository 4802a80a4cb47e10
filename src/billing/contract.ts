/** What is billed, and the promise that it is billed exactly once. */
import type { Result, TokenUsage, VersionName } from '../contract/index.ts'

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
export const Safekeeping = {
  /** In the platform's store. */
  Durable: 'durable',
  /** With other VMs of unlike racks, while the store is out. */
  Copied: 'copied'
} as const
export type Safekeeping = typeof Safekeeping[keyof typeof Safekeeping]

/** The ledger as a request sees it. */
export interface Ledger {
  /**
   * Records an entry; the end of the answer is let go when this returns.
   *
   * @example
   * const safe = await ledger.record(entry)
   */
  record (entry: BillEntry): Promise<Result<Safekeeping, EntryNotSafe>>
}
