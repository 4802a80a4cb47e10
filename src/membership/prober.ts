/**
 * Finds daemons of the data centre that are gone, as SWIM does: each daemon probes one other a
 * period, by itself and then through a few others, so that the cost for each does not grow with
 * their number. Who is not reached is suspect and has some time to refute that before it is dead:
 * a daemon that was frozen for a moment comes back without a trace.
 */
import { type Clock, type Randomness, sleepUntil } from '../contract/index.ts'
import type { Link, LinkIdentity, Peer } from '../link/index.ts'
import { aliveRecord, type MemberRow, memberRecordOf, memberRowOf, MemberStatus } from './memberRecord.ts'
import type { MemberTable } from './memberTable.ts'
import { indirectProbe, type MemberNews, probe } from './messages.ts'
import { shuffled } from './shuffled.ts'

const periodMilliseconds = 1_000
const probeTimeoutMilliseconds = 300
const indirectTimeoutMilliseconds = 650
const indirectProbers = 3
/** News goes round in some periods for each doubling of the members; a suspect has that long to refute. */
const suspicionPeriodsPerDoubling = 2
/** Members that a daemon tells at once that it is not dead. */
const toldOfRefutation = 3
/** A period that took longer shows that this daemon was paused: others are not judged by that time. */
const pausedMilliseconds = 2_500

/** What a `Prober` is made of. */
export interface ProberParts {
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
  #round: LinkIdentity[] = []

  constructor ({ link, clock, randomness, members }: ProberParts) {
    this.#link = link
    this.#clock = clock
    this.#randomness = randomness
    this.#members = members
    link.handle(probe, async (news, from) => this.#answer(news, from))
    link.handle(indirectProbe, async peer => ({ reached: await this.#reaches(peer) }))
  }

  async run (stopping: AbortSignal): Promise<void> {
    let judgedAt = this.#clock.now()
    while (!stopping.aborted) {
      const startedAt = this.#clock.now()
      if (startedAt - judgedAt < pausedMilliseconds) this.#members.expireSuspects(this.#suspicionMilliseconds())
      judgedAt = startedAt
      this.#members.forgetDead()
      await this.#probeNext()
      await sleepUntil(this.#clock, startedAt + periodMilliseconds, stopping)
    }
  }

  /** Tells some members at once what is new. */
  async tellNow (count: number): Promise<void> {
    const peers = shuffled(this.#others(), this.#randomness).slice(0, count)
    await Promise.all(peers.map(peer => this.#reaches(peer)))
  }

  async #probeNext (): Promise<void> {
    const target = this.#next()
    if (target === undefined) return
    const looked = this.#members.record(target.name)
    if (looked === undefined || looked.status === MemberStatus.Dead) return
    if (await this.#reaches(target) || await this.#isReachedByOthers(target)) return
    if (looked.status === MemberStatus.Alive) this.#members.judge(looked, MemberStatus.Suspect)
  }

  /** Members are probed in a shuffled round, so that each is probed within twice as many periods as there are members. */
  #next (): LinkIdentity | undefined {
    if (this.#round.length === 0) this.#round = shuffled(this.#others(), this.#randomness)
    return this.#round.pop()
  }

  async #reaches (peer: Peer): Promise<boolean> {
    const reply = await this.#link.request(peer, probe, { members: this.#newsFor(peer.name) }, probeTimeoutMilliseconds)
    if (reply.err) return false
    this.#take(reply.val)
    return true
  }

  async #isReachedByOthers (target: Peer): Promise<boolean> {
    const helpers = shuffled(this.#others().filter(member => member.name !== target.name), this.#randomness).slice(0, indirectProbers)
    const peer = { name: target.name, address: target.address }
    const replies = await Promise.all(helpers.map(helper => this.#link.request(helper, indirectProbe, peer, indirectTimeoutMilliseconds)))
    return replies.some(reply => reply.ok && reply.val.reached)
  }

  #answer (news: MemberNews, from: LinkIdentity): MemberNews {
    this.#members.merge(aliveRecord(from))
    this.#take(news)
    return { members: this.#newsFor(from.name) }
  }

  #take (news: MemberNews): void {
    const refutation = this.#members.own.refutation
    for (const row of news.members) this.#members.merge(memberRecordOf(row))
    if (this.#members.own.refutation > refutation) this.tellNow(toldOfRefutation)
  }

  #suspicionMilliseconds (): number {
    return suspicionPeriodsPerDoubling * Math.log2(this.#members.ring().length + 1) * periodMilliseconds
  }

  /**
   * A daemon always says how it is itself: news that is sent a bounded number of times may have gone
   * to those who no longer listened. Whoever is thought ill of is told so, for only it can refute that.
   */
  #newsFor (name: string): MemberRow[] {
    const about = this.#members.record(name)
    const always = about === undefined || about.status === MemberStatus.Alive ? [this.#members.own] : [this.#members.own, about]
    return [...always.map(memberRowOf), ...this.#members.nextNews()]
  }

  #others (): LinkIdentity[] {
    return this.#members.ring().filter(member => member.name !== this.#link.self.name)
  }
}
