/**
 * The ledger of one daemon. Each entry gets the next number of this incarnation and stays in the
 * backlog until its number is known to be in its lane's watermark, normally by the time `record`
 * returns. While the store is unavailable, `record` returns once copies are held by VMs in other racks,
 * and the backlog is written when the store is available again.
 *
 * Two kinds of entry can still be lost: one whose recording daemon and copy holders all fail during the
 * same outage, and one that was neither stored nor copied when its VM fails. The first leaves a gap in
 * the watermark if later numbers were written; the second is counted as unsafe in advance.
 */
import { type Clock, Err, Ok, type Result } from '../contract/index.ts'
import type { Link } from '../link/index.ts'
import type { TableService } from '../store/index.ts'
import { Collectors } from './collectors.ts'
import { type BillEntry, EntryNotSafe, type Ledger, type LedgerCounters, type LedgerMember, EntryDurability } from './contract.ts'
import { EntryCopies } from './entryCopies.ts'
import { Batcher } from './batcher.ts'
import { laneOf } from './lane.ts'
import type { NumberedEntry } from './packedEntries.ts'

/** Minimum milliseconds between two messages that carry entries. */
const messageIntervalMilliseconds = 5

/** Milliseconds between attempts to write the backlog. */
const retryIntervalMilliseconds = 1_000

/** How long a planned stop tries to write the backlog. */
const stopTimeoutMilliseconds = 5_000

/** Number of other VMs that hold each entry while the store is unavailable. */
const copiesPerEntry = 2

/** Maximum number of this daemon's entries not yet in the store. */
const maximumBacklogEntries = 100_000

const maximumMessageEntries = 2_000

export interface BatchedLedgerOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly link: Link
  /** Returns the current members, excluding dead ones; called for each use. */
  readonly members: () => readonly LedgerMember[]
}

interface BacklogItem {
  readonly item: NumberedEntry
  /** True when the request no longer waits for the entry, so that the retry loop writes it. */
  isDeferred: boolean
  holders: readonly string[]
}

/**
 * Records bill entries, each exactly once.
 *
 * @example
 * const ledger = new BatchedLedger({ table, clock, link, members: () => membership.members() })
 * ledger.start()
 */
export class BatchedLedger implements Ledger, LedgerCounters {
  readonly #options: BatchedLedgerOptions
  readonly #origin: string
  readonly #lane: string
  readonly #collectors: Collectors
  readonly #copies: EntryCopies
  readonly #writeBatcher: Batcher<NumberedEntry, boolean>
  readonly #copyBatcher: Batcher<NumberedEntry, readonly string[]>
  readonly #backlog = new Map<number, BacklogItem>()
  readonly #stopping = new AbortController()
  #retryLoop: Promise<void> | undefined
  #lastSequence = 0
  #durableCount = 0
  #copiedCount = 0
  #unsafeCount = 0
  #lostCount = 0

  constructor (options: BatchedLedgerOptions) {
    this.#options = options
    const { name, incarnation, place } = options.link.self
    this.#origin = `${name}#${incarnation}`
    this.#lane = laneOf(place.dataCentre, this.#origin)
    this.#collectors = new Collectors(options)
    this.#copies = new EntryCopies({ ...options, collectors: this.#collectors })
    const batching = { clock: options.clock, minimumIntervalMilliseconds: () => messageIntervalMilliseconds, maximumItems: maximumMessageEntries }
    this.#writeBatcher = new Batcher({ ...batching, processBatch: items => this.#collectors.write(this.#lane, items, false) })
    this.#copyBatcher = new Batcher({ ...batching, processBatch: items => this.#copies.sendCopies(this.#lane, items, copiesPerEntry) })
  }

  get entriesDurable (): number { return this.#durableCount }
  get entriesCopied (): number { return this.#copiedCount }
  get entriesUnsafe (): number { return this.#unsafeCount }
  get entriesLost (): number { return this.#lostCount }
  get backlog (): number { return this.#backlog.size }
  get copiesHeld (): number { return this.#copies.heldCount }
  get transactions (): number { return this.#collectors.transactions }

  /** Starts the loop that writes deferred entries and overdue copies held for other daemons. */
  start (): void {
    this.#retryLoop ??= this.#run()
  }

  async record (entry: BillEntry): Promise<Result<EntryDurability, EntryNotSafe>> {
    if (this.#backlog.size >= maximumBacklogEntries) {
      this.#lostCount += 1
      return Err(new EntryNotSafe('the ledger\'s backlog of unwritten entries is full'))
    }
    const item = this.#addToBacklog(entry)
    const isDurable = await this.#writeBatcher.add([item])
    if (isDurable) return this.#recordDurable(item)
    return this.#recordCopied(item)
  }

  /** Writes the backlog, or hands it off to other VMs. Call it after the last request. */
  async stop (): Promise<void> {
    this.#stopping.abort()
    await this.#retryLoop
    const deadline = this.#options.clock.now() + stopTimeoutMilliseconds
    for (const backlogItem of this.#backlog.values()) backlogItem.isDeferred = true
    while (this.#backlog.size > 0 && this.#options.clock.now() < deadline) {
      const isWritten = await this.#writeDeferred()
      if (!isWritten) await this.#options.clock.sleep(retryIntervalMilliseconds)
    }
    await this.#replaceLostCopies()
    await this.#copies.handOff()
    this.#lostCount += [...this.#backlog.values()].filter(backlogItem => backlogItem.holders.length === 0).length
  }

  #addToBacklog (entry: BillEntry): NumberedEntry {
    this.#lastSequence += 1
    const item = { origin: this.#origin, sequence: this.#lastSequence, entry }
    this.#backlog.set(item.sequence, { item, isDeferred: false, holders: [] })
    return item
  }

  #recordDurable (item: NumberedEntry): Result<EntryDurability, EntryNotSafe> {
    this.#markDurable([item])
    return Ok(EntryDurability.Durable)
  }

  async #recordCopied (item: NumberedEntry): Promise<Result<EntryDurability, EntryNotSafe>> {
    const holders = await this.#copyBatcher.add([item])
    const backlogItem = this.#backlog.get(item.sequence)
    if (backlogItem === undefined) return Ok(EntryDurability.Durable)
    backlogItem.holders = holders
    backlogItem.isDeferred = true
    if (holders.length >= copiesPerEntry) {
      this.#copiedCount += 1
      return Ok(EntryDurability.Copied)
    }
    this.#unsafeCount += 1
    return Err(new EntryNotSafe(`the store is unavailable and only ${holders.length} of ${copiesPerEntry} copies are held`))
  }

  async #run (): Promise<void> {
    const stopping = this.#stopping.signal
    while (!stopping.aborted) {
      await this.#options.clock.sleep(retryIntervalMilliseconds, stopping)
      if (stopping.aborted) return
      const isWritten = await this.#writeDeferred()
      if (!isWritten) await this.#replaceLostCopies()
      await this.#copies.writeOverdue()
    }
  }

  /** Writes the deferred entries. Returns false while the store is unavailable. */
  async #writeDeferred (): Promise<boolean> {
    let deferred = this.#nextDeferred()
    if (deferred.length === 0) return true
    const isStoreAvailable = await this.#collectors.write(this.#lane, [], true)
    if (!isStoreAvailable) return false
    while (deferred.length > 0) {
      const isDurable = await this.#collectors.write(this.#lane, deferred, true)
      if (!isDurable) return false
      this.#markDurable(deferred)
      deferred = this.#nextDeferred()
    }
    return true
  }

  /** Sends new copies of entries whose holders have left the membership. */
  async #replaceLostCopies (): Promise<void> {
    const memberNames = new Set(this.#options.members().map(member => member.name))
    const underReplicated = [...this.#backlog.values()].filter(backlogItem => backlogItem.isDeferred && backlogItem.holders.filter(name => memberNames.has(name)).length < copiesPerEntry)
    for (let start = 0; start < underReplicated.length; start += maximumMessageEntries) {
      const chunk = underReplicated.slice(start, start + maximumMessageEntries)
      const holders = await this.#copies.sendCopies(this.#lane, chunk.map(backlogItem => backlogItem.item), copiesPerEntry)
      for (const backlogItem of chunk) backlogItem.holders = [...new Set([...backlogItem.holders, ...holders])]
      if (holders.length === 0) return
    }
  }

  #nextDeferred (): NumberedEntry[] {
    const deferred: NumberedEntry[] = []
    for (const backlogItem of this.#backlog.values()) {
      if (backlogItem.isDeferred) deferred.push(backlogItem.item)
      if (deferred.length >= maximumMessageEntries) break
    }
    return deferred
  }

  #markDurable (items: readonly NumberedEntry[]): void {
    const holders = new Set<string>()
    const sequences: number[] = []
    for (const { sequence } of items) {
      const backlogItem = this.#backlog.get(sequence)
      if (backlogItem === undefined) continue
      this.#backlog.delete(sequence)
      this.#durableCount += 1
      sequences.push(sequence)
      for (const holder of backlogItem.holders) holders.add(holder)
    }
    if (holders.size > 0) this.#copies.discardCopies(holders, this.#origin, sequences)
  }
}
