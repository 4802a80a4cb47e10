/**
 * Changes of a claim's row that can be told apart from anyone else's. A change names the version it
 * replaces, so that it is applied at most once however often it is sent and however late a lost one
 * arrives. When a reply is lost the row is read back: a row with the change's nonce and state can only
 * be the change's own work, and a row whose version is still the one to replace takes the change
 * again. What can't be told within the time given is reported as untold, never guessed.
 */
import { type Clock, within } from '../contract/index.ts'
import { Commit, type TableService } from '../store/index.ts'
import { ClaimPoint, type ClaimSteps } from './claimPoint.ts'
import { type ClaimRow, claimRowOf, claimTableName, type ReadClaim } from './claimRow.ts'

/** Milliseconds before a read that gave no reply is tried again. */
const pauseMilliseconds = 50

/** One change of a row. */
export interface ClaimChange {
  readonly point: ClaimPoint
  readonly key: string
  readonly next: ClaimRow
  /** Whether the change may replace what stands in the row. */
  readonly mayReplace: (current: ReadClaim | undefined) => boolean
  /** The row's version where it is known, 0 where it is taken to be absent; undefined: read it first. */
  readonly knownVersion: number | undefined
  /** When to give up: milliseconds since the epoch. */
  readonly until: number
}

/** What became of a change. */
export type ChangeOutcome =
  | { readonly is: 'written', readonly version: number }
  /** The row holds something that may not be replaced. */
  | { readonly is: 'barred', readonly current: ReadClaim | undefined }
  /** The store is out and the change was certainly not applied. */
  | { readonly is: 'unavailable' }
  /** The change may have been applied, now or later. */
  | { readonly is: 'untold' }

const Swap = { Written: 'written', Conflict: 'conflict', Unavailable: 'unavailable', Lost: 'lost' } as const
type Swap = typeof Swap[keyof typeof Swap]

/** What was read of a row. */
export type ClaimReading =
  | { readonly is: 'read', readonly current: ReadClaim | undefined }
  | { readonly is: 'unavailable' }

/** The claims' rows in the table service. */
export class ClaimTable {
  readonly #table: TableService
  readonly #clock: Clock
  readonly #steps: ClaimSteps

  constructor (table: TableService, clock: Clock, steps: ClaimSteps) {
    this.#table = table
    this.#clock = clock
    this.#steps = steps
  }

  /** Reads a row, waiting until a moment at the latest. */
  async read (key: string, until: number): Promise<ClaimReading> {
    const read = await this.#steps.wait(ClaimPoint.ReadBack, () => within(this.#clock, until, this.#table.read(claimTableName, key)))
    if (read === undefined || read.err) return { is: 'unavailable' }
    if (read.val === undefined) return { is: 'read', current: undefined }
    const row = claimRowOf(read.val.value)
    if (row === undefined) return { is: 'unavailable' }
    return { is: 'read', current: { version: read.val.version, row } }
  }

  /** Applies a change, or says why it is not known to be applied. */
  async change (change: ClaimChange): Promise<ChangeOutcome> {
    let version = change.knownVersion
    let mayBeLost = false
    for (;;) {
      if (version !== undefined) {
        const swap = await this.#swap(change, version)
        if (swap === Swap.Written) return { is: 'written', version: version + 1 }
        if (swap === Swap.Unavailable && !mayBeLost) return { is: 'unavailable' }
        if (swap === Swap.Lost) mayBeLost = true
      }
      const reading = await this.read(change.key, change.until)
      if (reading.is === 'read') {
        const settled = settledBy(change, reading.current)
        if (settled !== undefined) return settled
        version = reading.current?.version ?? 0
      }
      if (reading.is === 'unavailable' && !mayBeLost) return { is: 'unavailable' }
      if (this.#clock.now() >= change.until) return { is: mayBeLost ? 'untold' : 'unavailable' }
      if (reading.is === 'unavailable') await this.#steps.wait(ClaimPoint.Pause, () => this.#clock.sleep(pauseMilliseconds))
    }
  }

  async #swap (change: ClaimChange, version: number): Promise<Swap> {
    const place = { table: claimTableName, key: change.key }
    const transaction = { conditions: [{ ...place, version }], writes: [{ ...place, value: change.next }] }
    const commit = await this.#steps.wait(change.point, () => within(this.#clock, change.until, this.#table.transact(transaction)))
    if (commit === undefined) return Swap.Lost
    if (commit.err) return commit.val.mayHaveApplied ? Swap.Lost : Swap.Unavailable
    return commit.val === Commit.Committed ? Swap.Written : Swap.Conflict
  }
}

function settledBy (change: ClaimChange, current: ReadClaim | undefined): ChangeOutcome | undefined {
  if (current !== undefined && current.row.nonce === change.next.nonce && current.row.state === change.next.state) {
    return { is: 'written', version: current.version }
  }
  return change.mayReplace(current) ? undefined : { is: 'barred', current }
}
