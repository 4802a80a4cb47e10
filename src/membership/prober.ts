/**
 * Detects failed daemons of the data centre with the SWIM protocol: in each period a daemon probes one
 * other, first directly and then through a few others, so that the cost per daemon does not grow with
 * their number. An unreachable daemon becomes suspect and has some time to refute that before it is
 * declared dead, so that a daemon that was frozen briefly recovers without consequences.
 */
import { type Clock, type Randomness, retryIfHeldUp, sleepAfterInput } from '../contract/index.ts'
import type { Link, LinkIdentity, Peer } from '../link/index.ts'
import { aliveRecord, type MemberRow, decodeMemberRow, encodeMemberRow, MemberStatus } from './memberRecord.ts'
import type { MemberTable } from './memberTable.ts'
import { indirectProbe, type MemberUpdates, probe } from './messages.ts'
import { shuffled } from './shuffled.ts'

const probeIntervalMilliseconds = 1_000
const probeTimeoutMilliseconds = 300
const indirectProbeTimeoutMilliseconds = 650
const indirectProberCount = 3
/** Updates spread in a number of periods proportional to the doublings of the members; a suspect has that long to refute. */
const suspicionIntervalsPerDoubling = 2
/** Members that a daemon contacts at once to refute a suspicion. */
const refutationFanout = 3
/** A longer period shows that this daemon was paused; suspects are not expired on the basis of that time. */
const pauseThresholdMilliseconds = 2_500

export interface ProberOptions {
  readonly link: Link
  readonly clock: Clock
  readonly randomness: Randomness
  readonly members: MemberTable
}

export class Prober {
  readonly #link: Link
  readonly #clock: Clock
  readonly #randomness: Randomness
  readonly #members: MemberTable
  #probeQueue: LinkIdentity[] = []

  constructor ({ link, clock, randomness, members }: ProberOptions) {
    this.#link = link
    this.#clock = clock
    this.#randomness = randomness
    this.#members = members
    link.handle(probe, async (news, from) => this.#handleProbe(news, from))
    link.handle(indirectProbe, async peer => ({ reached: await this.#retryIfHeldUp(() => this.#probe(peer)) }))
  }

  async run (stopping: AbortSignal): Promise<void> {
    let lastRoundAt = this.#clock.now()
    while (!stopping.aborted) {
      const startedAt = this.#clock.now()
      if (startedAt - lastRoundAt < pauseThresholdMilliseconds) this.#members.expireSuspects(this.#suspicionTimeoutMilliseconds())
      lastRoundAt = startedAt
      this.#members.evictDead()
      await this.#probeNext()
      await sleepAfterInput(this.#clock, startedAt + probeIntervalMilliseconds - this.#clock.now(), stopping)
    }
  }

  /** Sends pending updates to some members at once. */
  async gossipNow (fanout: number): Promise<void> {
    const peers = shuffled(this.#otherMembers(), this.#randomness).slice(0, fanout)
    await Promise.all(peers.map(peer => this.#probe(peer)))
  }

  async #probeNext (): Promise<void> {
    const target = this.#nextTarget()
    if (target === undefined) return
    const observed = this.#members.record(target.name)
    if (observed === undefined || observed.status === MemberStatus.Dead) return
    if (await this.#retryIfHeldUp(async () => await this.#probe(target) || await this.#isReachedIndirectly(target))) return
    if (observed.status === MemberStatus.Alive) this.#members.updateStatus(observed, MemberStatus.Suspect)
  }

  /** Members are probed in shuffled rounds, so that each is probed within twice as many periods as there are members. */
  #nextTarget (): LinkIdentity | undefined {
    if (this.#probeQueue.length === 0) this.#probeQueue = shuffled(this.#otherMembers(), this.#randomness)
    return this.#probeQueue.pop()
  }

  /** Asks again if there was no answer while this process was held up. */
  #retryIfHeldUp (ask: () => Promise<boolean>): Promise<boolean> {
    return retryIfHeldUp(this.#clock, ask, isReached => isReached)
  }

  async #probe (peer: Peer): Promise<boolean> {
    const reply = await this.#link.request(peer, probe, { members: this.#updatesFor(peer.name) }, probeTimeoutMilliseconds)
    if (reply.err) return false
    this.#applyUpdates(reply.val)
    return true
  }

  async #isReachedIndirectly (target: Peer): Promise<boolean> {
    const helpers = shuffled(this.#otherMembers().filter(member => member.name !== target.name), this.#randomness).slice(0, indirectProberCount)
    const peer = { name: target.name, address: target.address }
    const replies = await Promise.all(helpers.map(helper => this.#link.request(helper, indirectProbe, peer, indirectProbeTimeoutMilliseconds)))
    return replies.some(reply => reply.ok && reply.val.reached)
  }

  #handleProbe (updates: MemberUpdates, sender: LinkIdentity): MemberUpdates {
    this.#members.merge(aliveRecord(sender))
    this.#applyUpdates(updates)
    return { members: this.#updatesFor(sender.name) }
  }

  #applyUpdates (updates: MemberUpdates): void {
    const previousRefutation = this.#members.selfRecord.refutation
    for (const row of updates.members) this.#members.merge(decodeMemberRow(row))
    if (this.#members.selfRecord.refutation > previousRefutation) this.gossipNow(refutationFanout)
  }

  #suspicionTimeoutMilliseconds (): number {
    return suspicionIntervalsPerDoubling * Math.log2(this.#members.ring().length + 1) * probeIntervalMilliseconds
  }

  /**
   * A daemon always includes its own record, since updates are sent a bounded number of times and may have
   * gone only to daemons that were no longer listening. A daemon that is suspect or dead in this table is
   * told so, since only it can refute that.
   */
  #updatesFor (name: string): MemberRow[] {
    const record = this.#members.record(name)
    const mandatory = record === undefined || record.status === MemberStatus.Alive ? [this.#members.selfRecord] : [this.#members.selfRecord, record]
    return [...mandatory.map(encodeMemberRow), ...this.#members.nextUpdates()]
  }

  #otherMembers (): LinkIdentity[] {
    return this.#members.ring().filter(member => member.name !== this.#link.self.name)
  }
}
