/**
 * Commits the entries of one lane. A transaction adds numbers and a batch on condition that the watermark
 * still has the version that was read. It therefore takes effect at most once however late it arrives, and
 * any daemon may write a lane: of two concurrent writers, one reads the watermark again. After a lost reply
 * the watermark is read, and entries whose numbers it contains are skipped. While the store does not answer,
 * only probes are sent; other calls fail at once, so that answers need not wait.
 */
import { type Clock, ReplyDeadline, invariant } from '../contract/index.ts'
import { TransactionOutcome, type TableService } from '../store/index.ts'
import { Batcher } from './batcher.ts'
import { batchKeyOf, batchTableName, type Watermark, parseWatermark, watermarkTableName, toWatermarkValue } from './lane.ts'
import { type NumberedEntry, packEntries } from './packedEntries.ts'
import { SequenceRanges } from './sequenceRanges.ts'

/** Maximum number of entries in a transaction. */
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

  /** @param intervalMilliseconds returns the milliseconds between two transactions; called before each */
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

  /** Number of transactions sent. */
  get transactions (): number {
    return this.#transactions
  }

  /**
   * Writes entries.
   *
   * @param isProbe try even if the store did not answer before
   * @returns true if the entries are known to be in the store; false means unknown
   * @example
   * const durable = await writer.append(items, false)
   */
  append (items: readonly NumberedEntry[], isProbe: boolean): Promise<boolean> {
    if (this.#isStoreUnavailable && !isProbe) return Promise.resolve(false)
    return this.#batcher.add(items)
  }

  async #commit (items: readonly NumberedEntry[]): Promise<boolean> {
    const deadline = new ReplyDeadline(this.#clock, commitTimeoutMilliseconds)
    while (!deadline.isOver) {
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

  async #read (deadline: ReplyDeadline): Promise<Watermark | undefined> {
    const read = await deadline.wait(this.#table.read(watermarkTableName, this.#lane))
    if (read === undefined || read.err) return undefined
    const watermark = read.val === undefined ? { version: 0, origins: new Map() } : parseWatermark(read.val.version, read.val.value)
    if (watermark === undefined) return undefined
    this.#checkNoEntryLost(watermark)
    this.#cachedWatermark = watermark
    return watermark
  }

  async #transact (watermark: Watermark, uncommitted: readonly NumberedEntry[], deadline: ReplyDeadline): Promise<boolean> {
    const origins = addSequences(watermark, uncommitted)
    const rowKey = { table: watermarkTableName, key: this.#lane }
    const batch = { table: batchTableName, key: batchKeyOf(this.#lane, watermark.version), value: { entries: packEntries(uncommitted) } }
    const transaction = { conditions: [{ ...rowKey, version: watermark.version }], writes: [{ ...rowKey, value: toWatermarkValue(origins) }, batch] }
    this.#transactions += 1
    this.#cachedWatermark = undefined
    const commit = await deadline.wait(this.#table.transact(transaction))
    if (commit === undefined || commit.err || commit.val !== TransactionOutcome.Committed) return false
    this.#cachedWatermark = { version: watermark.version + 1, origins }
    this.#latestWatermark = this.#cachedWatermark
    return true
  }

  /** Entries once known to be in the store must still be there. */
  #checkNoEntryLost (read: Watermark): void {
    const latest = this.#latestWatermark
    const isCovered = [...latest.origins].every(([origin, ranges]) => read.origins.get(origin)?.covers(ranges) ?? false)
    invariant(read.version >= latest.version && isCovered, 'a committed bill entry stays in its watermark', () => ({ lane: this.#lane, last: latest.version, read: read.version }))
    this.#latestWatermark = read
  }
}

/** Returns the entries that are not in the store, without duplicates. */
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
