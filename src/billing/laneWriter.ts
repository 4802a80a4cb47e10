/**
 * Commits the entries of one lane. A transaction says "if the watermark still has the version that was
 * read, add these numbers and this batch", so it takes effect at most once however late it arrives, and
 * anyone may write a lane: two writers at once only make one of them read again. A lost reply is settled
 * by reading the watermark, and entries whose numbers are in it are left out. While the store does not
 * answer, only a probe tries; everyone else is told at once, so that answers need not wait.
 */
import { type Clock, invariant, within } from '../contract/index.ts'
import { TransactionOutcome, type TableService } from '../store/index.ts'
import { Batcher } from './batcher.ts'
import { batchKeyOf, batchTableName, type Watermark, parseWatermark, watermarkTableName, toWatermarkValue } from './lane.ts'
import { type NumberedEntry, packEntries } from './packedEntries.ts'
import { SequenceRanges } from './sequenceRanges.ts'

/** Entries in a transaction, at most. */
const maximumBatchEntries = 2_000

/** How long a commit waits for the store. */
const commitTimeoutMilliseconds = 1_000

/** Writes one lane. */
export class LaneWriter {
  readonly #lane: string
  readonly #table: TableService
  readonly #clock: Clock
  readonly #batcher: Batcher<NumberedEntry, boolean>
  #cachedWatermark: Watermark | undefined
  #latestWatermark: Watermark = { version: 0, origins: new Map() }
  #isStoreUnavailable = false
  #transactions = 0

  /** @param intervalMilliseconds between two transactions, asked before each */
  constructor (lane: string, table: TableService, clock: Clock, intervalMilliseconds: () => number) {
    this.#lane = lane
    this.#table = table
    this.#clock = clock
    this.#batcher = new Batcher({
      clock,
      minimumIntervalMilliseconds: intervalMilliseconds,
      maximumItems: maximumBatchEntries,
      processBatch: items => this.#commit(items)
    })
  }

  /** Transactions sent. */
  get transactions (): number {
    return this.#transactions
  }

  /**
   * Writes entries.
   *
   * @param isProbe tries although the store did not answer before
   * @returns whether they are known to be in the store; false leaves it open
   * @example
   * const durable = await writer.append(items, false)
   */
  append (items: readonly NumberedEntry[], isProbe: boolean): Promise<boolean> {
    if (this.#isStoreUnavailable && !isProbe) return Promise.resolve(false)
    return this.#batcher.add(items)
  }

  async #commit (items: readonly NumberedEntry[]): Promise<boolean> {
    const deadline = this.#clock.now() + commitTimeoutMilliseconds
    while (this.#clock.now() < deadline) {
      const watermark = this.#cachedWatermark ?? await this.#read(deadline)
      if (watermark === undefined) break
      const uncommitted = uncommittedIn(watermark, items)
      const isCommitted = uncommitted.length === 0 || await this.#transact(watermark, uncommitted, deadline)
      if (isCommitted) {
        this.#isStoreUnavailable = false
        return true
      }
    }
    this.#isStoreUnavailable = true
    return false
  }

  async #read (deadline: number): Promise<Watermark | undefined> {
    const read = await within(this.#clock, deadline, this.#table.read(watermarkTableName, this.#lane))
    if (read === undefined || read.err) return undefined
    const watermark = read.val === undefined ? { version: 0, origins: new Map() } : parseWatermark(read.val.version, read.val.value)
    if (watermark === undefined) return undefined
    this.#checkNoEntryLost(watermark)
    this.#cachedWatermark = watermark
    return watermark
  }

  async #transact (watermark: Watermark, uncommitted: readonly NumberedEntry[], deadline: number): Promise<boolean> {
    const origins = addSequences(watermark, uncommitted)
    const rowKey = { table: watermarkTableName, key: this.#lane }
    const batch = { table: batchTableName, key: batchKeyOf(this.#lane, watermark.version), value: { entries: packEntries(uncommitted) } }
    const transaction = { conditions: [{ ...rowKey, version: watermark.version }], writes: [{ ...rowKey, value: toWatermarkValue(origins) }, batch] }
    this.#transactions += 1
    this.#cachedWatermark = undefined
    const commit = await within(this.#clock, deadline, this.#table.transact(transaction))
    if (commit === undefined || commit.err || commit.val !== TransactionOutcome.Committed) return false
    this.#cachedWatermark = { version: watermark.version + 1, origins }
    this.#latestWatermark = this.#cachedWatermark
    return true
  }

  /** What was once known to be in the store stays there. */
  #checkNoEntryLost (read: Watermark): void {
    const latest = this.#latestWatermark
    const isCovered = [...latest.origins].every(([origin, ranges]) => read.origins.get(origin)?.covers(ranges) ?? false)
    invariant(read.version >= latest.version && isCovered, 'a committed bill entry stays in its watermark', () => ({ lane: this.#lane, last: latest.version, read: read.version }))
    this.#latestWatermark = read
  }
}

/** The entries that are not in the store, each once. */
function uncommittedIn (watermark: Watermark, items: readonly NumberedEntry[]): NumberedEntry[] {
  const uncommitted = new Map<string, NumberedEntry>()
  for (const item of items) {
    if (watermark.origins.get(item.origin)?.has(item.sequence)) continue
    uncommitted.set(`${item.origin}/${item.sequence}`, item)
  }
  return [...uncommitted.values()]
}

function addSequences (watermark: Watermark, uncommitted: readonly NumberedEntry[]): Map<string, SequenceRanges> {
  const sequencesByOrigin = new Map<string, number[]>()
  for (const { origin, sequence } of uncommitted) {
    const added = sequencesByOrigin.get(origin) ?? []
    sequencesByOrigin.set(origin, added)
    added.push(sequence)
  }
  const origins = new Map(watermark.origins)
  for (const [origin, added] of sequencesByOrigin) origins.set(origin, (origins.get(origin) ?? SequenceRanges.empty).with(added))
  return origins
}
