/**
 * A lease row in the table service, with a fencing number that increases with each new holder. Clocks of
 * different VMs are never compared: the holder counts from before it sent its last renewal, a contender
 * from when it first saw the row's current version. A contender's wait therefore always ends after the
 * holder's lease has expired.
 */
import { type Clock, Err, Ok, type Result } from '../contract/index.ts'
import { TransactionOutcome, type PlatformUnavailable, type Row, type TableService } from '../store/index.ts'

/** The stored content of the row. */
interface LeaseRow {
  readonly holder: string
  readonly fencing: number
  /** Increases with each renewal, so that the row's version does too. */
  readonly renewal: number
  /** Whether the holder released the lease. */
  readonly released: boolean
}

/** The lease as seen by its holder. */
export interface HeldLease {
  /** Increases with each new holder; engines that check it reject lower numbers. */
  readonly fencing: number
  /** The time on the holder's own clock, in milliseconds, by which it must have ended its duties. */
  readonly expiresAt: number
}

const leaseTable = 'leases'

/**
 * One daemon's participation in a lease.
 *
 * @example
 * const lease = new StewardLease({ table, clock, name: 'steward/lower-mainland-a', holder: 'entry-1', durationMilliseconds: 6_000 })
 */
export class StewardLease {
  readonly #table: TableService
  readonly #clock: Clock
  readonly #name: string
  readonly #holder: string
  readonly #durationMilliseconds: number
  #held: HeldLease | undefined
  #observedVersion = -1
  #observedSince = 0

  constructor (options: { readonly table: TableService, readonly clock: Clock, readonly name: string, readonly holder: string, readonly durationMilliseconds: number }) {
    this.#table = options.table
    this.#clock = options.clock
    this.#name = options.name
    this.#holder = options.holder
    this.#durationMilliseconds = options.durationMilliseconds
  }

  /** The lease while it is held; undefined after it has expired, whatever the store says. */
  get held (): HeldLease | undefined {
    if (this.#held === undefined) return undefined
    return this.#clock.now() < this.#held.expiresAt ? this.#held : undefined
  }

  /**
   * Renews the lease, or acquires it if it is free. To be called several times within the lease duration.
   *
   * @example
   * await lease.renewOrAcquire()
   */
  async renewOrAcquire (): Promise<Result<HeldLease | undefined, PlatformUnavailable>> {
    const startedAt = this.#clock.now()
    const read = await this.#table.read(leaseTable, this.#name)
    if (read.err) return read
    const row = read.val
    const content = row?.value as LeaseRow | undefined
    this.#observeVersion(row)
    const isHolder = content !== undefined && content.holder === this.#holder && this.held?.fencing === content.fencing
    if (!isHolder && !this.#isFree(content)) return Ok(undefined)
    const fencing = isHolder ? content.fencing : (content?.fencing ?? 0) + 1
    const next: LeaseRow = { holder: this.#holder, fencing, renewal: (content?.renewal ?? 0) + 1, released: false }
    return await this.#write(row, next, startedAt)
  }

  /** Releases the lease, so that the next holder need not wait for it to expire. */
  async release (): Promise<void> {
    const held = this.#held
    this.#held = undefined
    if (held === undefined) return
    const read = await this.#table.read(leaseTable, this.#name)
    if (read.err || read.val === undefined) return
    const content = read.val.value as LeaseRow
    if (content.holder !== this.#holder || content.fencing !== held.fencing) return
    await this.#table.transact({
      conditions: [{ table: leaseTable, key: this.#name, version: read.val.version }],
      writes: [{ table: leaseTable, key: this.#name, value: { ...content, released: true } }]
    })
  }

  async #write (row: Row | undefined, next: LeaseRow, startedAt: number): Promise<Result<HeldLease | undefined, PlatformUnavailable>> {
    const commit = await this.#table.transact({
      conditions: [{ table: leaseTable, key: this.#name, version: row?.version ?? 0 }],
      writes: [{ table: leaseTable, key: this.#name, value: next }]
    })
    // After a lost reply the lease counts as not held, even if the write took effect; this never lets another daemon acquire it too early.
    if (commit.err) return Err(commit.val)
    if (commit.val === TransactionOutcome.Conflict) return Ok(undefined)
    this.#held = { fencing: next.fencing, expiresAt: startedAt + this.#durationMilliseconds }
    return Ok(this.held)
  }

  #observeVersion (row: Row | undefined): void {
    const version = row?.version ?? 0
    if (version === this.#observedVersion) return
    this.#observedVersion = version
    this.#observedSince = this.#clock.now()
  }

  #isFree (content: LeaseRow | undefined): boolean {
    if (content === undefined || content.released) return true
    return this.#clock.now() - this.#observedSince > this.#durationMilliseconds
  }
}
