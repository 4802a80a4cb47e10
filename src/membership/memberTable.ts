/**
 * The daemons that one daemon knows. The dead are kept for a while, so that old news of their health
 * does not bring them back. What changed waits in a queue to be told on: each piece of news rides on
 * a bounded number of messages that are sent anyway, the least told first.
 */
import type { Clock } from '../contract/index.ts'
import type { LinkIdentity } from '../link/index.ts'
import { MemberState, type MemberView } from './contract.ts'
import { aliveRecord, mergeMemberRecords, type MemberRecord, type MemberRow, encodeMemberRow, MemberStatus } from './memberRecord.ts'

/** News of members on one message. */
const maximumRowsPerMessage = 6
/** A piece of news rides on this many messages for each doubling of the members. */
const sendsPerDoubling = 3
const deadRetentionMilliseconds = 2 * 60 * 60 * 1_000

interface Entry {
  readonly record: MemberRecord
  readonly changedAt: number
}

export class MemberTable {
  readonly #self: LinkIdentity
  readonly #clock: Clock
  readonly #entries = new Map<string, Entry>()
  /** How often news that may have to be sent again has been sent. */
  readonly #sendCounts = new Map<string, number>()
  #isStopped = false
  #views: readonly MemberView[] | undefined
  #ring: readonly LinkIdentity[] | undefined

  constructor (self: LinkIdentity, clock: Clock) {
    this.#self = self
    this.#clock = clock
    this.#set(aliveRecord(self))
  }

  /** This daemon's own record. */
  get selfRecord (): MemberRecord {
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
    this.#views ??= this.records().filter(record => record.status !== MemberStatus.Dead).map(toMemberView)
    return this.#views
  }

  /** The daemons of this data centre that are not dead, this one among them, in an order that all share; the same array as long as they are the same. */
  ring (): readonly LinkIdentity[] {
    this.#ring ??= this.views().filter(view => this.#isLocal(view)).sort(byName)
    return this.#ring
  }

  /**
   * Takes what was told of a daemon. News that this daemon is suspect or dead is refuted.
   *
   * @returns whether anything changed
   */
  merge (incoming: MemberRecord): boolean {
    const current = this.record(incoming.identity.name)
    const merged = current === undefined ? incoming : mergeMemberRecords(current, incoming)
    if (merged === current) return false
    this.#set(merged)
    if (incoming.identity.name === this.#self.name) this.#refute(merged)
    return true
  }

  /** Marks a daemon as leaving, within the incarnation that is known. */
  markLeaving (name: string): void {
    const current = this.record(name)
    if (current !== undefined) this.merge({ ...current, leaving: true })
  }

  /** Says how a daemon was found, of the record that was looked at. */
  updateStatus (observed: MemberRecord, status: MemberStatus): void {
    this.merge({ ...observed, status })
  }

  /** Says that this daemon has stopped; it refutes nothing any more. */
  markSelfDead (): void {
    this.#isStopped = true
    this.updateStatus(this.selfRecord, MemberStatus.Dead)
  }

  /** Declares dead who has been suspect for so long, milliseconds, without refuting it; other data centres judge their own. */
  expireSuspects (timeoutMilliseconds: number): void {
    const cutoff = this.#clock.now() - timeoutMilliseconds
    for (const { record, changedAt } of [...this.#entries.values()]) {
      if (record.status !== MemberStatus.Suspect || changedAt > cutoff || !this.#isLocal(record.identity)) continue
      this.updateStatus(record, MemberStatus.Dead)
    }
  }

  /** The records of those that are leaving, or dead since less than so long, milliseconds. */
  leavingOrRecentlyDead (maximumDeadMilliseconds: number): MemberRecord[] {
    const cutoff = this.#clock.now() - maximumDeadMilliseconds
    const entries = [...this.#entries.values()].filter(({ record, changedAt }) => record.status === MemberStatus.Dead ? changedAt > cutoff : record.leaving)
    return entries.map(entry => entry.record)
  }

  /** The news to send with the next message, counted as told. */
  nextUpdates (): MemberRow[] {
    const maximumSends = Math.ceil(sendsPerDoubling * Math.log2(this.#entries.size + 1))
    const selected = [...this.#sendCounts].sort((left, right) => left[1] - right[1]).slice(0, maximumRowsPerMessage)
    for (const [name, sendCount] of selected) {
      if (sendCount + 1 >= maximumSends) this.#sendCounts.delete(name)
      else this.#sendCounts.set(name, sendCount + 1)
    }
    return selected.flatMap(([name]) => this.record(name) ?? []).map(encodeMemberRow)
  }

  /** Forgets those that have been dead for long. */
  evictDead (): void {
    const cutoff = this.#clock.now() - deadRetentionMilliseconds
    for (const [name, { record, changedAt }] of this.#entries) {
      if (record.status === MemberStatus.Dead && changedAt < cutoff) this.#entries.delete(name)
    }
  }

  #refute (incoming: MemberRecord): void {
    if (this.#isStopped || incoming.status === MemberStatus.Alive || incoming.identity.incarnation > this.#self.incarnation) return
    this.#set({ ...incoming, refutation: incoming.refutation + 1, status: MemberStatus.Alive })
  }

  #isLocal (identity: Pick<LinkIdentity, 'place'>): boolean {
    return identity.place.dataCentre === this.#self.place.dataCentre
  }

  #changesRing ({ identity, status }: MemberRecord): boolean {
    const ringMember = this.#ring?.find(member => member.name === identity.name)
    if (status === MemberStatus.Dead) return ringMember !== undefined
    return ringMember?.incarnation !== identity.incarnation || ringMember.address !== identity.address
  }

  #set (record: MemberRecord): void {
    this.#entries.set(record.identity.name, { record, changedAt: this.#clock.now() })
    this.#sendCounts.set(record.identity.name, 0)
    this.#views = undefined
    if (this.#isLocal(record.identity) && this.#changesRing(record)) this.#ring = undefined
  }
}

function toMemberView ({ identity, status, leaving }: MemberRecord): MemberView {
  return { ...identity, state: toMemberState(status, leaving) }
}

function toMemberState (status: MemberStatus, leaving: boolean): MemberState {
  if (status === MemberStatus.Dead) return MemberState.Dead
  if (leaving) return MemberState.Leaving
  return status === MemberStatus.Suspect ? MemberState.Suspect : MemberState.Alive
}

function byName (left: LinkIdentity, right: LinkIdentity): number {
  return left.name < right.name ? -1 : 1
}
