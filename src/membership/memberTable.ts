/**
 * The daemons known to one daemon. Dead ones are retained for a while, so that outdated updates don't
 * bring them back. Changes are queued for gossip: each is piggybacked on a bounded number of messages,
 * those sent least often first.
 */
import { type Clock, Wait } from '../contract/index.ts'
import type { LinkIdentity } from '../link/index.ts'
import { MemberState, type MemberView } from './contract.ts'
import { aliveRecord, mergeMemberRecords, type MemberRecord, type MemberRow, encodeMemberRow, MemberStatus } from './memberRecord.ts'

/** Member updates per message. */
const maximumRowsPerMessage = 6
/** Each update is piggybacked on this many messages per doubling of the members. */
const sendsPerDoubling = 3
const deadRetentionMilliseconds = 2 * 60 * 60 * 1_000

interface Entry {
  readonly record: MemberRecord
  /** Begins with the last change. */
  readonly unchanged: Wait
}

export class MemberTable {
  readonly #self: LinkIdentity
  readonly #clock: Clock
  readonly #entries = new Map<string, Entry>()
  /** How many times each update that may need to be sent again has been sent. */
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

  /** All members that are not dead, including this daemon. */
  views (): readonly MemberView[] {
    this.#views ??= this.records().filter(record => record.status !== MemberStatus.Dead).map(toMemberView)
    return this.#views
  }

  /** The daemons of this data centre that are not dead, including this one, in the same order at all daemons. Returns the same array while they are unchanged. */
  ring (): readonly LinkIdentity[] {
    this.#ring ??= this.views().filter(view => this.#isLocal(view)).sort(byName)
    return this.#ring
  }

  /**
   * Merges a received record. Refutes an update that says this daemon is suspect or dead.
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

  /** Marks a daemon as leaving within its known incarnation. */
  markLeaving (name: string): void {
    const current = this.record(name)
    if (current !== undefined) this.merge({ ...current, leaving: true })
  }

  /** Sets the status of a daemon, based on the record that was current when it was observed. */
  updateStatus (observed: MemberRecord, status: MemberStatus): void {
    this.merge({ ...observed, status })
  }

  /** Marks this daemon as stopped; it refutes nothing from then on. */
  markSelfDead (): void {
    this.#isStopped = true
    this.updateStatus(this.selfRecord, MemberStatus.Dead)
  }

  /**
   * Declares dead all local suspects that have not refuted within the given milliseconds; other data centres do this for
   * their own daemons. Time for which this process was held up does not count, since it could not hear them.
   */
  expireSuspects (timeoutMilliseconds: number): void {
    for (const entry of [...this.#entries.values()]) {
      const { record } = entry
      if (record.status !== MemberStatus.Suspect || entry.unchanged.heardMilliseconds < timeoutMilliseconds || !this.#isLocal(record.identity)) continue
      this.updateStatus(record, MemberStatus.Dead)
    }
  }

  /** The records of daemons that are leaving, or have been dead for less than the given milliseconds. */
  leavingOrRecentlyDead (maximumDeadMilliseconds: number): MemberRecord[] {
    const cutoff = this.#clock.now() - maximumDeadMilliseconds
    const entries = [...this.#entries.values()].filter(({ record, unchanged }) => record.status === MemberStatus.Dead ? unchanged.since > cutoff : record.leaving)
    return entries.map(entry => entry.record)
  }

  /** The updates to include in the next message; counts them as sent. */
  nextUpdates (): MemberRow[] {
    const maximumSends = Math.ceil(sendsPerDoubling * Math.log2(this.#entries.size + 1))
    const selected = [...this.#sendCounts].sort((left, right) => left[1] - right[1]).slice(0, maximumRowsPerMessage)
    for (const [name, sendCount] of selected) {
      if (sendCount + 1 >= maximumSends) this.#sendCounts.delete(name)
      else this.#sendCounts.set(name, sendCount + 1)
    }
    return selected.flatMap(([name]) => this.record(name) ?? []).map(encodeMemberRow)
  }

  /** Removes daemons whose retention period as dead has passed. */
  evictDead (): void {
    const cutoff = this.#clock.now() - deadRetentionMilliseconds
    for (const [name, { record, unchanged }] of this.#entries) {
      if (record.status === MemberStatus.Dead && unchanged.since < cutoff) this.#entries.delete(name)
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
    this.#entries.set(record.identity.name, { record, unchanged: new Wait(this.#clock) })
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
