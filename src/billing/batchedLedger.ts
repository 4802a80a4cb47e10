/**
 * The ledger of one daemon. Each entry gets the next number of this incarnation and stays in the
 * backlog until its number is known to be in its lane's watermark. Normally that is when `record`
 * returns. While the store is out, `record` returns when copies are with other VMs of unlike racks,
 * and the backlog is written when the store is back.
 *
 * What can still be lost: an entry whose recorder and all its holders are lost within one outage, and
 * an entry that found neither store nor holders when its VM is lost. The first kind leaves a hole in
 * the watermark where later numbers were written; the second is counted before it happens, as unsafe.
 */
import { type Clock, Err, Ok, type Result } from '../contract/index.ts'
import type { Link } from '../link/index.ts'
import type { TableService } from '../store/index.ts'
import { Collectors } from './collectors.ts'
import { type BillEntry, EntryNotSafe, type Ledger, type LedgerCounters, type LedgerMember, Safekeeping } from './contract.ts'
import { Copies } from './copies.ts'
import { Grouping } from './grouping.ts'
import { laneOf } from './lane.ts'
import type { NumberedEntry } from './packedEntries.ts'

/** Milliseconds between two messages with entries. */
const handInIntervalMilliseconds = 5

/** Milliseconds between two looks at what is left to write. */
const retryMilliseconds = 1_000

/** How long a planned stop tries to write what is left. */
const stopMilliseconds = 5_000

/** Other VMs that hold each entry while the store is out. */
const copiesOfEntry = 2

/** Entries of this daemon not yet in the store, at most. */
const mostInBacklog = 100_000

const mostInMessage = 2_000

/** What a ledger works with. */
export interface BatchedLedgerOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly link: Link
  /** The daemons known now, without the dead; asked at each use. */
  readonly members: () => readonly LedgerMember[]
}

interface BacklogItem {
  readonly item: NumberedEntry
  /** Whether its request has stopped waiting: the backlog's own loop writes it. */
  isLeft: boolean
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
  readonly #copies: Copies
  readonly #handIn: Grouping<NumberedEntry, boolean>
  readonly #giving: Grouping<NumberedEntry, readonly string[]>
  readonly #backlog = new Map<number, BacklogItem>()
  readonly #stopping = new AbortController()
  #loop: Promise<void> | undefined
  #sequence = 0
  #durable = 0
  #copied = 0
  #unsafe = 0
  #lost = 0

  constructor (options: BatchedLedgerOptions) {
    this.#options = options
    const { name, incarnation, place } = options.link.self
    this.#origin = `${name}#${incarnation}`
    this.#lane = laneOf(place.dataCentre, this.#origin)
    this.#collectors = new Collectors(options)
    this.#copies = new Copies({ ...options, collectors: this.#collectors })
    const grouped = { clock: options.clock, intervalMilliseconds: () => handInIntervalMilliseconds, mostItems: mostInMessage }
    this.#handIn = new Grouping({ ...grouped, work: items => this.#collectors.deliver(this.#lane, items, false) })
    this.#giving = new Grouping({ ...grouped, work: items => this.#copies.give(this.#lane, items, copiesOfEntry) })
  }

  get entriesDurable (): number { return this.#durable }
  get entriesCopied (): number { return this.#copied }
  get entriesUnsafe (): number { return this.#unsafe }
  get entriesLost (): number { return this.#lost }
  get backlog (): number { return this.#backlog.size }
  get copiesHeld (): number { return this.#copies.held }
  get transactions (): number { return this.#collectors.transactions }

  /** Begins to write what requests left and what gone daemons left here. */
  start (): void {
    this.#loop ??= this.#run()
  }

  async record (entry: BillEntry): Promise<Result<Safekeeping, EntryNotSafe>> {
    if (this.#backlog.size >= mostInBacklog) {
      this.#lost += 1
      return Err(new EntryNotSafe('the backlog is full'))
    }
    const item = this.#number(entry)
    const isDurable = await this.#handIn.add([item])
    if (isDurable) return this.#keepDurable(item)
    return this.#keepCopied(item)
  }

  /** Writes what is left, or passes it on to other VMs; called after the last request. */
  async stop (): Promise<void> {
    this.#stopping.abort()
    await this.#loop
    const until = this.#options.clock.now() + stopMilliseconds
    for (const kept of this.#backlog.values()) kept.isLeft = true
    while (this.#backlog.size > 0 && this.#options.clock.now() < until) {
      const isWritten = await this.#writeLeft()
      if (!isWritten) await this.#options.clock.sleep(retryMilliseconds)
    }
    await this.#copyAgain()
    await this.#copies.passOn()
    this.#lost += [...this.#backlog.values()].filter(kept => kept.holders.length === 0).length
  }

  #number (entry: BillEntry): NumberedEntry {
    this.#sequence += 1
    const item = { origin: this.#origin, sequence: this.#sequence, entry }
    this.#backlog.set(item.sequence, { item, isLeft: false, holders: [] })
    return item
  }

  #keepDurable (item: NumberedEntry): Result<Safekeeping, EntryNotSafe> {
    this.#settle([item])
    return Ok(Safekeeping.Durable)
  }

  async #keepCopied (item: NumberedEntry): Promise<Result<Safekeeping, EntryNotSafe>> {
    const holders = await this.#giving.add([item])
    const kept = this.#backlog.get(item.sequence)
    if (kept === undefined) return Ok(Safekeeping.Durable)
    kept.holders = holders
    kept.isLeft = true
    if (holders.length >= copiesOfEntry) {
      this.#copied += 1
      return Ok(Safekeeping.Copied)
    }
    this.#unsafe += 1
    return Err(new EntryNotSafe(`the store is out and ${holders.length} of ${copiesOfEntry} copies are held`))
  }

  async #run (): Promise<void> {
    const stopping = this.#stopping.signal
    while (!stopping.aborted) {
      await this.#options.clock.sleep(retryMilliseconds, stopping)
      if (stopping.aborted) return
      const isWritten = await this.#writeLeft()
      if (!isWritten) await this.#copyAgain()
      await this.#copies.handIn()
    }
  }

  /** Writes what requests left; false while the store is out. */
  async #writeLeft (): Promise<boolean> {
    let left = this.#leftItems()
    if (left.length === 0) return true
    const isBack = await this.#collectors.deliver(this.#lane, [], true)
    if (!isBack) return false
    while (left.length > 0) {
      const isDurable = await this.#collectors.deliver(this.#lane, left, true)
      if (!isDurable) return false
      this.#settle(left)
      left = this.#leftItems()
    }
    return true
  }

  /** Gives new copies of entries whose holders are no longer there. */
  async #copyAgain (): Promise<void> {
    const there = new Set(this.#options.members().map(member => member.name))
    const bare = [...this.#backlog.values()].filter(kept => kept.isLeft && kept.holders.filter(name => there.has(name)).length < copiesOfEntry)
    for (let start = 0; start < bare.length; start += mostInMessage) {
      const chunk = bare.slice(start, start + mostInMessage)
      const holders = await this.#copies.give(this.#lane, chunk.map(kept => kept.item), copiesOfEntry)
      for (const kept of chunk) kept.holders = [...new Set([...kept.holders, ...holders])]
      if (holders.length === 0) return
    }
  }

  #leftItems (): NumberedEntry[] {
    const left: NumberedEntry[] = []
    for (const kept of this.#backlog.values()) {
      if (kept.isLeft) left.push(kept.item)
      if (left.length >= mostInMessage) break
    }
    return left
  }

  #settle (items: readonly NumberedEntry[]): void {
    const holders = new Set<string>()
    const sequences: number[] = []
    for (const { sequence } of items) {
      const kept = this.#backlog.get(sequence)
      if (kept === undefined) continue
      this.#backlog.delete(sequence)
      this.#durable += 1
      sequences.push(sequence)
      for (const holder of kept.holders) holders.add(holder)
    }
    if (holders.size > 0) this.#copies.forget(holders, this.#origin, sequences)
  }
}
