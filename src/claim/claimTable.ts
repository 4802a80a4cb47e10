/**
 * Conditional changes of a claim's row whose outcome can be determined. A change names the version it
 * replaces, so that it is applied at most once however often it is sent and however late it arrives. When
 * a reply is lost, the row is read back: a row with the change's nonce and state can only come from the
 * change itself, and a row that may still be replaced gets the change again. An outcome that can't be
 * determined before the deadline is reported as `untold`, never guessed.
 */
import { type Clock, withDeadline } from '../contract/index.ts'
import { TransactionOutcome, type TableService } from '../store/index.ts'
import { ClaimPoint, type ClaimSteps } from './claimPoint.ts'
import { type ClaimRow, parseClaimRow, claimTableName, type VersionedClaimRow } from './claimRow.ts'

/** Delay before retrying a read that got no reply. */
const readRetryDelayMilliseconds = 50

export interface ClaimChange {
  readonly point: ClaimPoint
  readonly key: string
  readonly next: ClaimRow
  /** Returns whether the change may replace the current row. */
  readonly mayReplace: (current: VersionedClaimRow | undefined) => boolean
  /** The row's version if known, 0 if the row is assumed absent; undefined to read it first. */
  readonly knownVersion: number | undefined
  /** Deadline of the change, in milliseconds since the epoch. */
  readonly until: number
}

export type ChangeOutcome =
  | { readonly kind: 'written', readonly version: number }
  /** The current row may not be replaced. */
  | { readonly kind: 'barred', readonly current: VersionedClaimRow | undefined }
  /** The store is unavailable and the change was certainly not applied. */
  | { readonly kind: 'unavailable' }
  /** The change may have been applied, now or later. */
  | { readonly kind: 'untold' }

const SwapOutcome = { Written: 'written', Conflict: 'conflict', Unavailable: 'unavailable', Lost: 'lost' } as const
type SwapOutcome = typeof SwapOutcome[keyof typeof SwapOutcome]

export type ClaimReadOutcome =
  | { readonly kind: 'read', readonly current: VersionedClaimRow | undefined }
  | { readonly kind: 'unavailable' }

/** Reads and conditionally writes claim rows. */
export class ClaimTable {
  readonly #table: TableService
  readonly #clock: Clock
  readonly #steps: ClaimSteps

  constructor (table: TableService, clock: Clock, steps: ClaimSteps) {
    this.#table = table
    this.#clock = clock
    this.#steps = steps
  }

  /** Reads a row, waiting no longer than the given time. */
  async read (key: string, until: number): Promise<ClaimReadOutcome> {
    const read = await this.#steps.wait(ClaimPoint.ReadBack, () => withDeadline(this.#clock, until, this.#table.read(claimTableName, key)))
    if (read === undefined || read.err) return { kind: 'unavailable' }
    if (read.val === undefined) return { kind: 'read', current: undefined }
    const row = parseClaimRow(read.val.value)
    if (row === undefined) return { kind: 'unavailable' }
    return { kind: 'read', current: { version: read.val.version, row } }
  }

  /** Applies a change, or reports why it is not known to be applied. */
  async change (change: ClaimChange): Promise<ChangeOutcome> {
    let version = change.knownVersion
    let mayHaveApplied = false
    for (;;) {
      if (version !== undefined) {
        const swap = await this.#swap(change, version)
        if (swap === SwapOutcome.Written) return { kind: 'written', version: version + 1 }
        if (swap === SwapOutcome.Unavailable && !mayHaveApplied) return { kind: 'unavailable' }
        if (swap === SwapOutcome.Lost) mayHaveApplied = true
      }
      const reading = await this.read(change.key, change.until)
      if (reading.kind === 'read') {
        const outcome = outcomeFromRow(change, reading.current)
        if (outcome !== undefined) return outcome
        version = reading.current?.version ?? 0
      }
      if (reading.kind === 'unavailable' && !mayHaveApplied) return { kind: 'unavailable' }
      if (this.#clock.now() >= change.until) return { kind: mayHaveApplied ? 'untold' : 'unavailable' }
      if (reading.kind === 'unavailable') await this.#steps.wait(ClaimPoint.Pause, () => this.#clock.sleep(readRetryDelayMilliseconds))
    }
  }

  async #swap (change: ClaimChange, version: number): Promise<SwapOutcome> {
    const rowKey = { table: claimTableName, key: change.key }
    const transaction = { conditions: [{ ...rowKey, version }], writes: [{ ...rowKey, value: change.next }] }
    const commit = await this.#steps.wait(change.point, () => withDeadline(this.#clock, change.until, this.#table.transact(transaction)))
    if (commit === undefined) return SwapOutcome.Lost
    if (commit.err) return commit.val.mayHaveApplied ? SwapOutcome.Lost : SwapOutcome.Unavailable
    return commit.val === TransactionOutcome.Committed ? SwapOutcome.Written : SwapOutcome.Conflict
  }
}

function outcomeFromRow (change: ClaimChange, current: VersionedClaimRow | undefined): ChangeOutcome | undefined {
  if (current !== undefined && current.row.nonce === change.next.nonce && current.row.state === change.next.state) {
    return { kind: 'written', version: current.version }
  }
  return change.mayReplace(current) ? undefined : { kind: 'barred', current }
}
