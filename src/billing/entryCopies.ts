/**
 * Copies of entries with other VMs, while the store is out. They are a hand-off, not a replica: the
 * recording daemon writes its own entries when the store is back and tells the holders to forget them.
 * Only when it is gone, or has been silent for long, do holders hand the entries in under its numbers,
 * and its watermark keeps any of them from being written twice. So no one agrees on anything, and a
 * lost message costs a needless try at most.
 */
import type { Clock } from '../contract/index.ts'
import type { Link } from '../link/index.ts'
import type { Collectors } from './collectors.ts'
import type { LedgerMember } from './contract.ts'
import { chooseCopyHolders } from './copyHolders.ts'
import { billCopy, billForget } from './messages.ts'
import { type NumberedEntry, packEntries, unpackEntries } from './packedEntries.ts'

const copyTimeoutMilliseconds = 500

/** After this, entries are handed in although their recorder is still there: it may have forgotten to say. */
const maximumHoldMilliseconds = 600_000

/** Copies held for all others, at most. */
const maximumCopiesHeld = 200_000

const maximumWriteEntries = 2_000

/** What copies work with. */
export interface EntryCopiesOptions {
  readonly clock: Clock
  readonly link: Link
  readonly members: () => readonly LedgerMember[]
  readonly collectors: Collectors
}

interface HeldOrigin {
  readonly lane: string
  readonly items: Map<number, NumberedEntry>
  heldSince: number
}

/** Gives copies to other VMs and holds copies for them. */
export class EntryCopies {
  readonly #options: EntryCopiesOptions
  readonly #heldOrigins = new Map<string, HeldOrigin>()
  #isLeaving = false

  constructor (options: EntryCopiesOptions) {
    this.#options = options
    options.link.handle(billCopy, async body => ({ isHeld: this.#addHeld(body.lane, unpackEntries(body.entries)) }))
    options.link.handle(billForget, async body => this.#removeHeld(body.origin, body.sequences))
  }

  /** Entries held for others. */
  get heldCount (): number {
    return [...this.#heldOrigins.values()].reduce((sum, origin) => sum + origin.items.size, 0)
  }

  /**
   * Gives copies to other VMs.
   *
   * @returns the names of those that hold them all
   * @example
   * const holders = await copies.give(lane, items, 2)
   */
  async sendCopies (lane: string, items: readonly NumberedEntry[], count: number): Promise<readonly string[]> {
    const entries = packEntries(items)
    const candidates = chooseCopyHolders(this.#options.link.self, this.#options.members())
    const holders: LedgerMember[] = []
    while (holders.length < count && candidates.length > 0) {
      const batch = candidates.splice(0, count - holders.length)
      const replies = await Promise.all(batch.map(member => this.#options.link.request(member, billCopy, { lane, entries }, copyTimeoutMilliseconds)))
      holders.push(...batch.filter((_, index) => replies[index]?.ok && replies[index].val.isHeld))
    }
    return holders.map(member => member.name)
  }

  /** Tells holders that entries are in the store; lost words do no harm. */
  async discardCopies (holders: ReadonlySet<string>, origin: string, sequences: number[]): Promise<void> {
    const members = this.#options.members().filter(member => holders.has(member.name))
    await Promise.all(members.map(member => this.#options.link.request(member, billForget, { origin, sequences }, copyTimeoutMilliseconds)))
  }

  /** Hands in the entries of recorders that are gone. */
  async writeOverdue (): Promise<void> {
    for (const [origin, held] of [...this.#heldOrigins]) {
      if (!this.#isOverdue(origin, held)) continue
      const isWritten = await this.#writeOrigin(origin, held)
      if (!isWritten) return
    }
  }

  /** Hands everything in, or passes it on where the store is out, because this VM goes. */
  async handOff (): Promise<void> {
    this.#isLeaving = true
    for (const [origin, held] of [...this.#heldOrigins]) {
      const isWritten = await this.#writeOrigin(origin, held)
      if (!isWritten) await this.sendCopies(held.lane, [...held.items.values()], 1)
    }
  }

  async #writeOrigin (origin: string, held: HeldOrigin): Promise<boolean> {
    const isStoreAvailable = await this.#options.collectors.write(held.lane, [], true)
    if (!isStoreAvailable) return false
    while (held.items.size > 0) {
      const items = [...held.items.values()].slice(0, maximumWriteEntries)
      const isDurable = await this.#options.collectors.write(held.lane, items, true)
      if (!isDurable) return false
      this.#removeHeld(origin, items.map(item => item.sequence))
    }
    return true
  }

  #addHeld (lane: string, items: readonly NumberedEntry[]): boolean {
    if (this.#isLeaving || this.heldCount + items.length > maximumCopiesHeld) return false
    const now = this.#options.clock.now()
    for (const item of items) {
      const held = this.#heldOrigins.get(item.origin) ?? { lane, items: new Map(), heldSince: now }
      this.#heldOrigins.set(item.origin, held)
      held.items.set(item.sequence, item)
    }
    return true
  }

  #removeHeld (origin: string, sequences: readonly number[]): Record<string, never> {
    const held = this.#heldOrigins.get(origin)
    for (const sequence of sequences) held?.items.delete(sequence)
    if (held?.items.size === 0) this.#heldOrigins.delete(origin)
    return {}
  }

  #isOverdue (origin: string, held: HeldOrigin): boolean {
    if (this.#options.clock.now() >= held.heldSince + maximumHoldMilliseconds) return true
    return !this.#options.members().some(member => `${member.name}#${member.incarnation}` === origin)
  }
}
