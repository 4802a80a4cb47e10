/**
 * Copies of entries on other VMs while the store is unavailable. This is hinted hand-off, not replication:
 * the recording daemon writes its own entries once the store is available and tells the holders to discard
 * their copies. Holders write the entries, under their original numbers, only if the recording daemon has
 * left or the copies have been held for too long, and the watermark prevents double writes. No consensus
 * is needed, and a lost message costs at most an unnecessary attempt.
 */
import type { Clock } from '../contract/index.ts'
import type { Link } from '../link/index.ts'
import type { Collectors } from './collectors.ts'
import type { LedgerMember } from './contract.ts'
import { chooseCopyHolders } from './copyHolders.ts'
import { billCopy, billForget } from './messages.ts'
import { type NumberedEntry, packEntries, unpackEntries } from './packedEntries.ts'

const copyTimeoutMilliseconds = 500

/** Copies held longer are written even if their recording daemon is still a member: its discard message may have been lost. */
const maximumHoldMilliseconds = 600_000

/** Maximum number of copies held for all other daemons. */
const maximumCopiesHeld = 200_000

const maximumWriteEntries = 2_000

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

/** Sends copies to other VMs and holds copies for them. */
export class EntryCopies {
  readonly #options: EntryCopiesOptions
  readonly #heldOrigins = new Map<string, HeldOrigin>()
  #isLeaving = false

  constructor (options: EntryCopiesOptions) {
    this.#options = options
    options.link.handle(billCopy, async body => ({ isHeld: this.#addHeld(body.lane, unpackEntries(body.entries)) }))
    options.link.handle(billForget, async body => this.#removeHeld(body.origin, body.sequences))
  }

  /** Number of entries held for other daemons. */
  get heldCount (): number {
    return [...this.#heldOrigins.values()].reduce((sum, origin) => sum + origin.items.size, 0)
  }

  /**
   * Sends copies to other VMs.
   *
   * @returns the names of the members that hold all of the entries
   * @example
   * const holders = await copies.sendCopies(lane, items, 2)
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

  /** Tells holders that entries are in the store. A lost message does no harm. */
  async discardCopies (holders: ReadonlySet<string>, origin: string, sequences: number[]): Promise<void> {
    const members = this.#options.members().filter(member => holders.has(member.name))
    await Promise.all(members.map(member => this.#options.link.request(member, billForget, { origin, sequences }, copyTimeoutMilliseconds)))
  }

  /** Writes the copies whose recording daemon has left or that have been held for too long. */
  async writeOverdue (): Promise<void> {
    for (const [origin, held] of [...this.#heldOrigins]) {
      if (!this.#isOverdue(origin, held)) continue
      const isWritten = await this.#writeOrigin(origin, held)
      if (!isWritten) return
    }
  }

  /** Writes all held copies before this VM leaves, or sends them to another VM if the store is unavailable. */
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
