/**
 * The daemons that one daemon knows. The dead are kept for a while, so that old news of their health
 * does not bring them back. What changed waits in a queue to be told on: each piece of news rides on
 * a bounded number of messages that are sent anyway, the least told first.
 */
import type { Clock } from '../contract/index.ts'
import type { LinkIdentity } from '../link/index.ts'
import { MemberState, type MemberView } from './contract.ts'
import { aliveRecord, joinMembers, type MemberRecord, type MemberRow, memberRowOf, MemberStatus } from './memberRecord.ts'

/** News of members on one message. */
const rowsPerMessage = 6
/** A piece of news rides on this many messages for each doubling of the members. */
const messagesPerDoubling = 3
const keepDeadMilliseconds = 2 * 60 * 60 * 1_000

interface Entry {
  readonly record: MemberRecord
  readonly changedAt: number
}

export class MemberTable {
  readonly #self: LinkIdentity
  readonly #clock: Clock
  readonly #entries = new Map<string, Entry>()
  /** How often news that may have to be sent again has been sent. */
  readonly #untold = new Map<string, number>()
  #departed = false
  #views: readonly MemberView[] | undefined
  #ring: readonly LinkIdentity[] | undefined

  constructor (self: LinkIdentity, clock: Clock) {
    this.#self = self
    this.#clock = clock
    this.#set(aliveRecord(self))
  }

  /** This daemon's own record. */
  get own (): MemberRecord {
    return this.record(this.#self.name) ?? aliveRecord(this.#self)
  }

  record (name: string): MemberRecord | undefined {
    return this.#entries.get(name)?.record
  }

  records (): MemberRecord[] {
    return [...this.#entries.values()].map(entry => entry.record)
  }

  /** All that are not dead, this daemon among them. */
  views (): readonly MemberView[] {
    this.#views ??= this.records().filter(record => record.status !== MemberStatus.Dead).map(viewOf)
    return this.#views
  }

  /** The daemons of this data centre that are not dead, this one among them, in an order that all share; the same array as long as they are the same. */
  ring (): readonly LinkIdentity[] {
    this.#ring ??= this.views().filter(view => this.#isNear(view)).sort(byName)
    return this.#ring
  }

  /**
   * Takes what was told of a daemon. News that this daemon is suspect or dead is refuted.
   *
   * @returns whether anything changed
   */
  merge (told: MemberRecord): boolean {
    const known = this.record(told.identity.name)
    const joined = known === undefined ? told : joinMembers(known, told)
    if (joined === known) return false
    this.#set(joined)
    if (told.identity.name === this.#self.name) this.#refute(joined)
    return true
  }

  /** Marks a daemon as leaving, within the incarnation that is known. */
  markLeaving (name: string): void {
    const known = this.record(name)
    if (known !== undefined) this.merge({ ...known, leaving: true })
  }

  /** Says how a daemon was found, of the record that was looked at. */
  judge (looked: MemberRecord, status: MemberStatus): void {
    this.merge({ ...looked, status })
  }

  /** Says that this daemon has stopped; it refutes nothing any more. */
  depart (): void {
    this.#departed = true
    this.judge(this.own, MemberStatus.Dead)
  }

  /** Declares dead who has been suspect for so long, milliseconds, without refuting it; other data centres judge their own. */
  expireSuspects (milliseconds: number): void {
    const oldest = this.#clock.now() - milliseconds
    for (const { record, changedAt } of [...this.#entries.values()]) {
      if (record.status !== MemberStatus.Suspect || changedAt > oldest || !this.#isNear(record.identity)) continue
      this.judge(record, MemberStatus.Dead)
    }
  }

  /** The records of those that are leaving, or dead since less than so long, milliseconds. */
  departing (milliseconds: number): MemberRecord[] {
    const oldest = this.#clock.now() - milliseconds
    const entries = [...this.#entries.values()].filter(({ record, changedAt }) => record.status === MemberStatus.Dead ? changedAt > oldest : record.leaving)
    return entries.map(entry => entry.record)
  }

  /** The news to send with the next message, counted as told. */
  nextNews (): MemberRow[] {
    const limit = Math.ceil(messagesPerDoubling * Math.log2(this.#entries.size + 1))
    const chosen = [...this.#untold].sort((left, right) => left[1] - right[1]).slice(0, rowsPerMessage)
    for (const [name, times] of chosen) {
      if (times + 1 >= limit) this.#untold.delete(name)
      else this.#untold.set(name, times + 1)
    }
    return chosen.flatMap(([name]) => this.record(name) ?? []).map(memberRowOf)
  }

  /** Forgets those that have been dead for long. */
  forgetDead (): void {
    const oldest = this.#clock.now() - keepDeadMilliseconds
    for (const [name, { record, changedAt }] of this.#entries) {
      if (record.status === MemberStatus.Dead && changedAt < oldest) this.#entries.delete(name)
    }
  }

  #refute (told: MemberRecord): void {
    if (this.#departed || told.status === MemberStatus.Alive || told.identity.incarnation > this.#self.incarnation) return
    this.#set({ ...told, refutation: told.refutation + 1, status: MemberStatus.Alive })
  }

  #isNear (identity: Pick<LinkIdentity, 'place'>): boolean {
    return identity.place.dataCentre === this.#self.place.dataCentre
  }

  #changesRing ({ identity, status }: MemberRecord): boolean {
    const inRing = this.#ring?.find(member => member.name === identity.name)
    if (status === MemberStatus.Dead) return inRing !== undefined
    return inRing?.incarnation !== identity.incarnation || inRing.address !== identity.address
  }

  #set (record: MemberRecord): void {
    this.#entries.set(record.identity.name, { record, changedAt: this.#clock.now() })
    this.#untold.set(record.identity.name, 0)
    this.#views = undefined
    if (this.#isNear(record.identity) && this.#changesRing(record)) this.#ring = undefined
  }
}

function viewOf ({ identity, status, leaving }: MemberRecord): MemberView {
  return { ...identity, state: stateOf(status, leaving) }
}

function stateOf (status: MemberStatus, leaving: boolean): MemberState {
  if (status === MemberStatus.Dead) return MemberState.Dead
  if (leaving) return MemberState.Leaving
  return status === MemberStatus.Suspect ? MemberState.Suspect : MemberState.Alive
}

function byName (left: LinkIdentity, right: LinkIdentity): number {
  return left.name < right.name ? -1 : 1
}
