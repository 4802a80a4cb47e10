/**
 * A lease row in the table service, with a fencing number that grows with each new holder. No clocks
 * are compared between VMs: the holder counts its time from before its last renewal was sent, a
 * contender counts from when it first saw the row's present version, so that a contender's wait is
 * always over after the holder's own time is.
 */
import { type Clock, Err, Ok, type Result } from '../contract/index.ts'
import { TransactionOutcome, type PlatformUnavailable, type Row, type TableService } from '../store/index.ts'

/** The row's content. */
interface LeaseRow {
  readonly holder: string
  readonly fencing: number
  /** Grows with each renewal, so that the row's version does too. */
  readonly renewal: number
  /** True where the holder gave the lease back. */
  readonly released: boolean
}

/** The lease, as its holder has it. */
export interface HeldLease {
  /** Grows with each new holder; engines that check it refuse lower ones. */
  readonly fencing: number
  /** The holder must have ended its duties by this moment of its own clock, in milliseconds. */
  readonly expiresAt: number
}

const leaseTable = 'leases'

/**
 * One daemon's part in a lease.
 *
 * @example
 * const lease = new StewardLease({ table, clock, name: 'steward/lower-mainland-a', holder: 'entry-1', milliseconds: 6_000 })
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

  /** The lease while it is held; undefined once its time is over, whatever the store says. */
  get held (): HeldLease | undefined {
    if (this.#held === undefined) return undefined
    return this.#clock.now() < this.#held.expiresAt ? this.#held : undefined
  }

  /**
   * Renews the lease, or takes it where it is free. Called a few times within the lease's time.
   *
   * @example
   * await lease.tend()
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

  /** Gives the lease back, so that the next holder need not wait. */
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
    // After a lost reply the lease is not held, even if the write took effect: nobody else takes it too early.
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
