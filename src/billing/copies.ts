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
import { chooseHolders } from './holders.ts'
import { billCopy, billForget } from './messages.ts'
import { type NumberedEntry, packEntries, unpackEntries } from './packedEntries.ts'

const copyTimeoutMilliseconds = 500

/** After this, entries are handed in although their recorder is still there: it may have forgotten to say. */
const longestHeldMilliseconds = 600_000

/** Copies held for all others, at most. */
const mostCopies = 200_000

const mostInDelivery = 2_000

/** What copies work with. */
export interface CopiesOptions {
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
export class Copies {
  readonly #options: CopiesOptions
  readonly #held = new Map<string, HeldOrigin>()
  #isLeaving = false

  constructor (options: CopiesOptions) {
    this.#options = options
    options.link.answer(billCopy, async body => ({ isHeld: this.#hold(body.lane, unpackEntries(body.entries)) }))
    options.link.answer(billForget, async body => this.#forget(body.origin, body.sequences))
  }

  /** Entries held for others. */
  get held (): number {
    return [...this.#held.values()].reduce((sum, origin) => sum + origin.items.size, 0)
  }

  /**
   * Gives copies to other VMs.
   *
   * @returns the names of those that hold them all
   * @example
   * const holders = await copies.give(lane, items, 2)
   */
  async give (lane: string, items: readonly NumberedEntry[], count: number): Promise<readonly string[]> {
    const entries = packEntries(items)
    const candidates = chooseHolders(this.#options.link.self, this.#options.members())
    const holders: LedgerMember[] = []
    while (holders.length < count && candidates.length > 0) {
      const asked = candidates.splice(0, count - holders.length)
      const replies = await Promise.all(asked.map(member => this.#options.link.ask(member, billCopy, { lane, entries }, copyTimeoutMilliseconds)))
      holders.push(...asked.filter((_, index) => replies[index]?.ok && replies[index].val.isHeld))
    }
    return holders.map(member => member.name)
  }

  /** Tells holders that entries are in the store; lost words do no harm. */
  async forget (holders: ReadonlySet<string>, origin: string, sequences: number[]): Promise<void> {
    const members = this.#options.members().filter(member => holders.has(member.name))
    await Promise.all(members.map(member => this.#options.link.ask(member, billForget, { origin, sequences }, copyTimeoutMilliseconds)))
  }

  /** Hands in the entries of recorders that are gone. */
  async handIn (): Promise<void> {
    for (const [origin, held] of [...this.#held]) {
      if (!this.#isOverdue(origin, held)) continue
      const isDone = await this.#deliver(origin, held)
      if (!isDone) return
    }
  }

  /** Hands everything in, or passes it on where the store is out, because this VM goes. */
  async passOn (): Promise<void> {
    this.#isLeaving = true
    for (const [origin, held] of [...this.#held]) {
      const isDone = await this.#deliver(origin, held)
      if (!isDone) await this.give(held.lane, [...held.items.values()], 1)
    }
  }

  async #deliver (origin: string, held: HeldOrigin): Promise<boolean> {
    const isBack = await this.#options.collectors.deliver(held.lane, [], true)
    if (!isBack) return false
    while (held.items.size > 0) {
      const items = [...held.items.values()].slice(0, mostInDelivery)
      const isDurable = await this.#options.collectors.deliver(held.lane, items, true)
      if (!isDurable) return false
      this.#forget(origin, items.map(item => item.sequence))
    }
    return true
  }

  #hold (lane: string, items: readonly NumberedEntry[]): boolean {
    if (this.#isLeaving || this.held + items.length > mostCopies) return false
    const now = this.#options.clock.now()
    for (const item of items) {
      const held = this.#held.get(item.origin) ?? { lane, items: new Map(), heldSince: now }
      this.#held.set(item.origin, held)
      held.items.set(item.sequence, item)
    }
    return true
  }

  #forget (origin: string, sequences: readonly number[]): Record<string, never> {
    const held = this.#held.get(origin)
    for (const sequence of sequences) held?.items.delete(sequence)
    if (held?.items.size === 0) this.#held.delete(origin)
    return {}
  }

  #isOverdue (origin: string, held: HeldOrigin): boolean {
    if (this.#options.clock.now() >= held.heldSince + longestHeldMilliseconds) return true
    return !this.#options.members().some(member => `${member.name}#${member.incarnation}` === origin)
  }
}
