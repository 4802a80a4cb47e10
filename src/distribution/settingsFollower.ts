/**
 * Keeps a daemon's settings up to date. In each data centre a few daemons, the same for all by
 * rendezvous order, poll the store's revision; the others ask one of them. Asking rather than being
 * told is what makes the lease safe: the asker counts the age of a confirmation from the moment when
 * it sent its question, so an answer that lay in a buffer while a daemon or a link was frozen can't
 * renew a lease. Only a read of the store makes a confirmation, and its age grows on its way, so no
 * circle of daemons can keep each other's leases alive.
 */
import { type Clock, type Place, type Randomness, rendezvousOrder } from '../contract/index.ts'
import type { Link, Peer } from '../link/index.ts'
import type { SettingsView } from '../settings/index.ts'
import { Confirmations, type ForceReport, reportForce } from './confirmations.ts'
import { SettingsLease, type SettingsRepository, type SettingsSource } from './contract.ts'
import { InstalledSettings } from './installedSettings.ts'
import { type Confirmation, confirmationsQuestion, type SettingsNews, settingsQuestion } from './rows.ts'

/** Milliseconds that settings count as the latest after the start of the read that confirmed them. */
export const leaseMilliseconds = 3_000
/** Daemons of a data centre that poll the store. */
const pollerCount = 3
const pollMilliseconds = 500
const askMilliseconds = 1_000
const askTimeoutMilliseconds = 400
const storeTimeoutMilliseconds = 1_000
/** A daemon that could be confirmed by nobody polls the store itself, this seldom. */
const ownPollMilliseconds = 3_000
/** An answer whose confirmation is older than this is taken, but another daemon is asked too. */
const freshMilliseconds = leaseMilliseconds / 2
const changesPerRead = 100
const peersAskedPerDataCentre = 2
const neverConfirmed = -Infinity
const greatestAge = Number.MAX_SAFE_INTEGER

/** Another daemon that can be asked. */
export interface SettingsPeer extends Peer {
  readonly place: Place
}

/** What a `SettingsFollower` is made of. */
export interface SettingsFollowerOptions {
  readonly repository: SettingsRepository
  readonly link: Link
  readonly clock: Clock
  readonly randomness: Randomness
  /** The daemons known now; this daemon may be among them. The same array as long as they are the same. */
  readonly members: () => readonly SettingsPeer[]
}

/** Who polls the store, as long as the members are these. */
interface Duty {
  readonly members: readonly SettingsPeer[]
  readonly isPoller: boolean
  readonly pollersToAsk: readonly SettingsPeer[]
}

/**
 * The settings of one daemon, kept up to date.
 *
 * @example
 * const settings = new SettingsFollower({ repository, link, clock, randomness, members })
 * settings.start()
 */
export class SettingsFollower implements SettingsSource {
  readonly #repository: SettingsRepository
  readonly #link: Link
  readonly #clock: Clock
  readonly #randomness: Randomness
  readonly #members: () => readonly SettingsPeer[]
  readonly #installed = new InstalledSettings()
  readonly #confirmations = new Confirmations()
  readonly #stopping = new AbortController()
  #knownDuty: Duty | undefined
  #confirmedAt = neverConfirmed
  #nextOwnPollAt = 0
  #running: Promise<void> | undefined

  constructor ({ repository, link, clock, randomness, members }: SettingsFollowerOptions) {
    this.#repository = repository
    this.#link = link
    this.#clock = clock
    this.#randomness = randomness
    this.#members = members
  }

  get view (): SettingsView {
    return this.#installed.view
  }

  get lease (): SettingsLease {
    return this.#age() < leaseMilliseconds ? SettingsLease.Held : SettingsLease.Lapsed
  }

  onChange (listener: (view: SettingsView) => void): () => void {
    return this.#installed.onChange(listener)
  }

  /**
   * Answers other daemons and keeps the settings up to date until `stop`. It returns once the store
   * or other daemons have been asked for the first time, whether or not they answered.
   */
  async start (): Promise<void> {
    this.#link.handle(settingsQuestion, async (question, from) => this.#answer(question.revision, from))
    this.#link.handle(confirmationsQuestion, async () => ({ confirmations: this.#heardConfirmations() }))
    await this.#update()
    if (!this.#stopping.signal.aborted) this.#running = this.#follow(this.#stopping.signal)
  }

  /** Stops following; what is installed stays. */
  async stop (): Promise<void> {
    this.#stopping.abort()
    await this.#running
  }

  /**
   * Reads the store now, as after a change of one's own.
   *
   * @returns whether the store confirmed the settings
   * @example
   * if (accepted.ok) await settings.refresh()
   */
  async refresh (): Promise<boolean> {
    const startedAt = this.#clock.now()
    const caughtUp = await this.#within(this.#catchUp(), storeTimeoutMilliseconds)
    if (caughtUp) this.#confirm(startedAt)
    return caughtUp
  }

  /**
   * Observes how far a revision is in force, by asking the polling daemons of every data centre.
   *
   * @example
   * const report = await settings.observeForce(42)
   * const inForce = report.pending.length === 0
   */
  async observeForce (revision: number): Promise<ForceReport> {
    const others = this.#others()
    const pollers = [...groupByDataCentre(others).values()].flatMap(group => this.#pollersOf(group))
    const replies = await Promise.all(pollers.map(peer => this.#link.request(peer, confirmationsQuestion, {}, askTimeoutMilliseconds)))
    const heard = replies.flatMap(reply => reply.ok ? reply.val.confirmations : [])
    const names = [this.#link.self.name, ...others.map(peer => peer.name)]
    return reportForce(revision, names, [...this.#heardConfirmations(), ...heard], leaseMilliseconds)
  }

  async #follow (stopping: AbortSignal): Promise<void> {
    while (!stopping.aborted) {
      const pause = this.#isPoller() ? pollMilliseconds : askMilliseconds
      await this.#clock.sleep(pause * (0.75 + 0.5 * this.#randomness.fraction()), stopping)
      if (!stopping.aborted) await this.#update()
    }
  }

  async #update (): Promise<void> {
    if (this.#isPoller()) await this.#poll()
    else await this.#hear()
  }

  /** A polling daemon that the store does not answer asks whoever may know more. */
  async #poll (): Promise<void> {
    if (await this.refresh()) return
    await this.#askAround()
  }

  /** Asks the polling daemons in turn until one answers with a fresh confirmation. */
  async #hear (): Promise<void> {
    for (const peer of this.#shuffled(this.#duty().pollersToAsk)) {
      if (await this.#ask(peer) && this.#age() < freshMilliseconds) return
    }
    if (this.#clock.now() < this.#nextOwnPollAt) return
    this.#nextOwnPollAt = this.#clock.now() + ownPollMilliseconds * (0.5 + this.#randomness.fraction())
    await this.#poll()
  }

  /** Asks some daemons of every data centre at once; the highest revision that one holds is installed. */
  async #askAround (): Promise<void> {
    const groups = [...groupByDataCentre(this.#others()).values()]
    const peers = groups.flatMap(group => this.#shuffled(group).slice(0, peersAskedPerDataCentre))
    await Promise.all(peers.map(peer => this.#ask(peer)))
  }

  /** Installs what the store has; true where the daemon then holds at least the store's revision. */
  async #catchUp (): Promise<boolean> {
    const latest = await this.#repository.revision()
    if (latest.err) return false
    if (latest.val > 0 && this.view.revision === 0) await this.#installSnapshot()
    while (this.view.revision < latest.val) {
      const isFurther = await this.#installChanges()
      if (!isFurther) return false
    }
    return true
  }

  async #installSnapshot (): Promise<void> {
    const snapshot = await this.#repository.snapshot()
    if (snapshot.ok) this.#installed.install(snapshot.val)
  }

  async #installChanges (): Promise<boolean> {
    const before = this.view.revision
    const changes = await this.#repository.changesAfter(before, changesPerRead)
    if (changes.err) return false
    const last = changes.val.at(-1)
    if (last === undefined) return false
    const teams = changes.val.map(change => [change.team, { revision: change.revision, subtree: change.subtree }] as const)
    this.#installed.install({ revision: last.revision, teams })
    return this.view.revision > before
  }

  async #ask (peer: Peer): Promise<boolean> {
    const askedAt = this.#clock.now()
    const news = await this.#link.request(peer, settingsQuestion, { revision: this.view.revision }, askTimeoutMilliseconds)
    if (news.err) return false
    this.#take(news.val, askedAt)
    return true
  }

  #take (news: SettingsNews, askedAt: number): void {
    const isInstalled = this.#installed.install({ revision: news.revision, teams: Object.entries(news.teams) })
    if (isInstalled && news.revision >= this.view.revision) this.#confirm(askedAt - news.age)
  }

  #answer (revision: number, from: SettingsPeer): SettingsNews {
    this.#confirmations.hear(from.name, revision, this.#clock.now())
    if (revision > this.view.revision) this.#ask(from)
    return { revision: this.view.revision, age: Math.min(this.#age(), greatestAge), teams: this.#installed.changedSince(revision) }
  }

  #heardConfirmations (): Confirmation[] {
    const own = { name: this.#link.self.name, revision: this.view.revision, age: 0 }
    return [own, ...this.#confirmations.list(this.#clock.now())]
  }

  #confirm (at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at)
  }

  #age (): number {
    return this.#clock.now() - this.#confirmedAt
  }

  #isPoller (): boolean {
    return this.#duty().isPoller
  }

  /** Who polls; worked out anew when the members change. */
  #duty (): Duty {
    const members = this.#members()
    if (this.#knownDuty?.members === members) return this.#knownDuty
    const self = this.#link.self
    const neighbours = this.#neighbours()
    const pollers = this.#pollersOf([self, ...neighbours])
    this.#knownDuty = { members, isPoller: pollers.some(peer => peer.name === self.name), pollersToAsk: this.#pollersOf(neighbours) }
    return this.#knownDuty
  }

  #pollersOf<Member extends Peer> (members: readonly Member[]): Member[] {
    const byName = new Map(members.map(member => [member.name, member]))
    const order = rendezvousOrder('settings poller', [...byName.keys()])
    return order.slice(0, pollerCount).flatMap(name => byName.get(name) ?? [])
  }

  #others (): SettingsPeer[] {
    return this.#members().filter(member => member.name !== this.#link.self.name)
  }

  #neighbours (): SettingsPeer[] {
    return this.#others().filter(member => member.place.dataCentre === this.#link.self.place.dataCentre)
  }

  #shuffled<Item> (items: readonly Item[]): Item[] {
    const keyed = items.map(item => ({ item, key: this.#randomness.fraction() }))
    return keyed.sort((left, right) => left.key - right.key).map(({ item }) => item)
  }

  async #within (work: Promise<boolean>, milliseconds: number): Promise<boolean> {
    const done = new AbortController()
    const late = this.#clock.sleep(milliseconds, done.signal)
    const outcome = await Promise.race([work, late])
    // A reason spares the making of an exception that nobody reads.
    done.abort('done')
    return outcome ?? false
  }
}

function groupByDataCentre (peers: readonly SettingsPeer[]): Map<string, SettingsPeer[]> {
  const groups = new Map<string, SettingsPeer[]>()
  for (const peer of peers) {
    const group = groups.get(peer.place.dataCentre) ?? []
    group.push(peer)
    groups.set(peer.place.dataCentre, group)
  }
  return groups
}
