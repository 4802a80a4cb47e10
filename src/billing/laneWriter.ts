/**
 * Commits the entries of one lane. A transaction says "if the watermark still has the version that was
 * read, add these numbers and this batch", so it takes effect at most once however late it arrives, and
 * anyone may write a lane: two writers at once only make one of them read again. A lost reply is settled
 * by reading the watermark, and entries whose numbers are in it are left out. While the store does not
 * answer, only a probe tries; everyone else is told at once, so that answers need not wait.
 */
import { type Clock, invariant, within } from '../contract/index.ts'
import { Commit, type TableService } from '../store/index.ts'
import { Grouping } from './grouping.ts'
import { batchKeyOf, batchTableName, type Watermark, watermarkOf, watermarkTableName, watermarkValueOf } from './lane.ts'
import { type NumberedEntry, packEntries } from './packedEntries.ts'
import { SequenceRanges } from './sequenceRanges.ts'

/** Entries in a transaction, at most. */
const mostEntriesInBatch = 2_000

/** How long a commit waits for the store. */
const patienceMilliseconds = 1_000

/** Writes one lane. */
export class LaneWriter {
  readonly #lane: string
  readonly #table: TableService
  readonly #clock: Clock
  readonly #groups: Grouping<NumberedEntry, boolean>
  #known: Watermark | undefined
  #lastKnown: Watermark = { version: 0, origins: new Map() }
  #isStoreOut = false
  #transactions = 0

  /** @param intervalMilliseconds between two transactions, asked before each */
  constructor (lane: string, table: TableService, clock: Clock, intervalMilliseconds: () => number) {
    this.#lane = lane
    this.#table = table
    this.#clock = clock
    this.#groups = new Grouping({
      clock,
      intervalMilliseconds,
      mostItems: mostEntriesInBatch,
      work: items => this.#commit(items)
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
    if (this.#isStoreOut && !isProbe) return Promise.resolve(false)
    return this.#groups.add(items)
  }

  async #commit (items: readonly NumberedEntry[]): Promise<boolean> {
    const until = this.#clock.now() + patienceMilliseconds
    while (this.#clock.now() < until) {
      const watermark = this.#known ?? await this.#read(until)
      if (watermark === undefined) break
      const fresh = freshIn(watermark, items)
      const isDone = fresh.length === 0 || await this.#transact(watermark, fresh, until)
      if (isDone) {
        this.#isStoreOut = false
        return true
      }
    }
    this.#isStoreOut = true
    return false
  }

  async #read (until: number): Promise<Watermark | undefined> {
    const read = await within(this.#clock, until, this.#table.read(watermarkTableName, this.#lane))
    if (read === undefined || read.err) return undefined
    const watermark = read.val === undefined ? { version: 0, origins: new Map() } : watermarkOf(read.val.version, read.val.value)
    if (watermark === undefined) return undefined
    this.#checkNothingLost(watermark)
    this.#known = watermark
    return watermark
  }

  async #transact (watermark: Watermark, fresh: readonly NumberedEntry[], until: number): Promise<boolean> {
    const origins = withNumbers(watermark, fresh)
    const place = { table: watermarkTableName, key: this.#lane }
    const batch = { table: batchTableName, key: batchKeyOf(this.#lane, watermark.version), value: { entries: packEntries(fresh) } }
    const transaction = { conditions: [{ ...place, version: watermark.version }], writes: [{ ...place, value: watermarkValueOf(origins) }, batch] }
    this.#transactions += 1
    this.#known = undefined
    const commit = await within(this.#clock, until, this.#table.transact(transaction))
    if (commit === undefined || commit.err || commit.val !== Commit.Committed) return false
    this.#known = { version: watermark.version + 1, origins }
    this.#lastKnown = this.#known
    return true
  }

  /** What was once known to be in the store stays there. */
  #checkNothingLost (read: Watermark): void {
    const last = this.#lastKnown
    const covers = [...last.origins].every(([origin, ranges]) => read.origins.get(origin)?.covers(ranges) ?? false)
    invariant(read.version >= last.version && covers, 'a committed bill entry stays in its watermark', () => ({ lane: this.#lane, last: last.version, read: read.version }))
    this.#lastKnown = read
  }
}

/** The entries that are not in the store, each once. */
function freshIn (watermark: Watermark, items: readonly NumberedEntry[]): NumberedEntry[] {
  const fresh = new Map<string, NumberedEntry>()
  for (const item of items) {
    if (watermark.origins.get(item.origin)?.has(item.sequence)) continue
    fresh.set(`${item.origin}/${item.sequence}`, item)
  }
  return [...fresh.values()]
}

function withNumbers (watermark: Watermark, fresh: readonly NumberedEntry[]): Map<string, SequenceRanges> {
  const numbers = new Map<string, number[]>()
  for (const { origin, sequence } of fresh) {
    const added = numbers.get(origin) ?? []
    numbers.set(origin, added)
    added.push(sequence)
  }
  const origins = new Map(watermark.origins)
  for (const [origin, added] of numbers) origins.set(origin, (origins.get(origin) ?? SequenceRanges.empty).with(added))
  return origins
}
