/**
 * Keeps a daemon's settings up to date. In each data centre a few daemons, which all daemons select
 * alike by rendezvous hashing, poll the store's revision; the others send requests to one of them.
 * Pulling instead of pushing makes the lease safe: the requester counts the age of a confirmation from
 * the moment it sent the request, so a reply that sat in a buffer while a daemon or a link was frozen
 * can't renew a lease. Only a store read creates a confirmation, and its age grows with every hop, so
 * daemons can't keep each other's leases alive in a cycle.
 */
import { type Clock, type Place, type Randomness, rendezvousOrder, withReplyTimeout } from '../contract/index.ts'
import type { Link, Peer } from '../link/index.ts'
import type { SettingsView } from '../settings/index.ts'
import { ConfirmationTracker, type PropagationReport, reportPropagation } from './confirmationTracker.ts'
import { SettingsLease, type SettingsRepository, type SettingsSource } from './contract.ts'
import { InstalledSettings } from './installedSettings.ts'
import { type Confirmation, confirmationsRequest, type SettingsReply, settingsRequest } from './schemas.ts'

/** How long settings count as the latest, in milliseconds from the start of the read that confirmed them. */
export const settingsLeaseMilliseconds = 3_000
/** Daemons per data centre that poll the store. */
const pollersPerDataCentre = 3
const pollIntervalMilliseconds = 500
const requestIntervalMilliseconds = 1_000
const requestTimeoutMilliseconds = 400
/** Timeout of the client that reads the store for a follower. After it the next read goes over new connections. */
export const settingsReadTimeoutMilliseconds = 700
/** Timeout of all reads of one look at the store. */
const storeTimeoutMilliseconds = 1_000
/** How often a daemon that no other daemon could confirm polls the store itself. */
const fallbackPollIntervalMilliseconds = 3_000
/** A reply with an older confirmation is still applied, but another daemon is asked as well. */
const maximumFreshAgeMilliseconds = settingsLeaseMilliseconds / 2
const maximumChangesPerRead = 100
const peersPerDataCentre = 2
const neverConfirmed = -Infinity
const maximumAge = Number.MAX_SAFE_INTEGER

/** Another daemon that can be sent requests. */
export interface SettingsPeer extends Peer {
  readonly place: Place
}

export interface SettingsFollowerOptions {
  readonly repository: SettingsRepository
  readonly link: Link
  readonly clock: Clock
  readonly randomness: Randomness
  /** The daemons known now, possibly including this one. Returns the same array while they are unchanged. */
  readonly members: () => readonly SettingsPeer[]
}

/** The role of this daemon among a given set of members. */
interface PollingRole {
  readonly members: readonly SettingsPeer[]
  readonly isPoller: boolean
  readonly otherPollers: readonly SettingsPeer[]
}

/**
 * Keeps one daemon's settings up to date.
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
  readonly #installedSettings = new InstalledSettings()
  readonly #confirmations = new ConfirmationTracker()
  readonly #stopping = new AbortController()
  #cachedRole: PollingRole | undefined
  #confirmedAt = neverConfirmed
  #nextFallbackPollAt = 0
  #followTask: Promise<void> | undefined

  constructor ({ repository, link, clock, randomness, members }: SettingsFollowerOptions) {
    this.#repository = repository
    this.#link = link
    this.#clock = clock
    this.#randomness = randomness
    this.#members = members
  }

  get view (): SettingsView {
    return this.#installedSettings.view
  }

  get lease (): SettingsLease {
    return this.#confirmationAge() < settingsLeaseMilliseconds ? SettingsLease.Held : SettingsLease.Lapsed
  }

  onChange (listener: (view: SettingsView) => void): () => void {
    return this.#installedSettings.onChange(listener)
  }

  /**
   * Handles requests of other daemons and keeps the settings up to date until `stop`. Resolves after the
   * first round of requests to the store or to other daemons, whether or not they were answered.
   */
  async start (): Promise<void> {
    this.#link.handle(settingsRequest, async (request, from) => this.#handleRequest(request.revision, from))
    this.#link.handle(confirmationsRequest, async () => ({ confirmations: this.#allConfirmations() }))
    await this.#refreshSettings()
    if (!this.#stopping.signal.aborted) this.#followTask = this.#follow(this.#stopping.signal)
  }

  /** Stops following; the installed settings remain. */
  async stop (): Promise<void> {
    this.#stopping.abort()
    await this.#followTask
  }

  /**
   * Reads the store at once, for example after this daemon itself changed the settings.
   *
   * @returns whether the store confirmed the settings
   * @example
   * if (accepted.ok) await settings.refresh()
   */
  async refresh (): Promise<boolean> {
    const startedAt = this.#clock.now()
    const isCaughtUp = await withReplyTimeout(this.#clock, storeTimeoutMilliseconds, this.#catchUp()) ?? false
    if (isCaughtUp) this.#recordConfirmation(startedAt)
    return isCaughtUp
  }

  /**
   * Reports how far a revision has propagated, by asking the pollers of every data centre.
   *
   * @example
   * const report = await settings.observePropagation(42)
   * const inForce = report.pending.length === 0
   */
  async observePropagation (revision: number): Promise<PropagationReport> {
    const otherMembers = this.#otherMembers()
    const pollers = [...groupByDataCentre(otherMembers).values()].flatMap(group => this.#selectPollers(group))
    const replies = await Promise.all(pollers.map(peer => this.#link.request(peer, confirmationsRequest, {}, requestTimeoutMilliseconds)))
    const reported = replies.flatMap(reply => reply.ok ? reply.val.confirmations : [])
    const names = [this.#link.self.name, ...otherMembers.map(peer => peer.name)]
    return reportPropagation(revision, names, [...this.#allConfirmations(), ...reported], settingsLeaseMilliseconds)
  }

  async #follow (stopping: AbortSignal): Promise<void> {
    while (!stopping.aborted) {
      const interval = this.#isPoller() ? pollIntervalMilliseconds : requestIntervalMilliseconds
      await this.#clock.sleep(interval * (0.75 + 0.5 * this.#randomness.fraction()), stopping)
      if (!stopping.aborted) await this.#refreshSettings()
    }
  }

  async #refreshSettings (): Promise<void> {
    if (this.#isPoller()) await this.#pollStore()
    else await this.#requestFromPollers()
  }

  /** If the store does not answer a poller, it reads the store over new connections and asks daemons of every data centre as well. */
  async #pollStore (): Promise<void> {
    if (await this.refresh()) return
    await Promise.all([this.refresh(), this.#requestFromAllDataCentres()])
  }

  /**
   * Asks one poller, then all of them at once until a confirmation is fresh. The connections to all of them may be silent: a
   * request that is lost renews its connection, so each round asks those that did not answer again.
   */
  async #requestFromPollers (): Promise<void> {
    const pollers = this.#shuffled(this.#pollingRole().otherPollers)
    const answered = new Set<SettingsPeer>()
    const ask = async (peer: SettingsPeer) => { if (await this.#requestFrom(peer)) answered.add(peer) }
    for (const round of [pollers.slice(0, 1), pollers, pollers]) {
      await Promise.all(round.filter(peer => !answered.has(peer)).map(ask))
      if (answered.size > 0 && this.#confirmationAge() < maximumFreshAgeMilliseconds) return
    }
    if (this.#clock.now() < this.#nextFallbackPollAt) return
    this.#nextFallbackPollAt = this.#clock.now() + fallbackPollIntervalMilliseconds * (0.5 + this.#randomness.fraction())
    await this.#pollStore()
  }

  /** Asks some daemons of every data centre concurrently; the highest revision among the replies is installed. */
  async #requestFromAllDataCentres (): Promise<void> {
    const groups = [...groupByDataCentre(this.#otherMembers()).values()]
    const peers = groups.flatMap(group => this.#shuffled(group).slice(0, peersPerDataCentre))
    await Promise.all(peers.map(peer => this.#requestFrom(peer)))
  }

  /** Installs the store's changes; returns true if the daemon then holds at least the store's revision. */
  async #catchUp (): Promise<boolean> {
    const latest = await this.#repository.revision()
    if (latest.err) return false
    if (latest.val > 0 && this.view.revision === 0) await this.#installSnapshot()
    while (this.view.revision < latest.val) {
      const hasAdvanced = await this.#installChanges()
      if (!hasAdvanced) return false
    }
    return true
  }

  async #installSnapshot (): Promise<void> {
    const snapshot = await this.#repository.snapshot()
    if (snapshot.ok) this.#installedSettings.install(snapshot.val)
  }

  async #installChanges (): Promise<boolean> {
    const previousRevision = this.view.revision
    const changes = await this.#repository.changesAfter(previousRevision, maximumChangesPerRead)
    if (changes.err) return false
    const last = changes.val.at(-1)
    if (last === undefined) return false
    const teams = changes.val.map(change => [change.team, { revision: change.revision, subtree: change.subtree }] as const)
    this.#installedSettings.install({ revision: last.revision, teams })
    return this.view.revision > previousRevision
  }

  async #requestFrom (peer: Peer): Promise<boolean> {
    const sentAt = this.#clock.now()
    const reply = await this.#link.request(peer, settingsRequest, { revision: this.view.revision }, requestTimeoutMilliseconds)
    if (reply.err) return false
    this.#applyReply(reply.val, sentAt)
    return true
  }

  #applyReply (reply: SettingsReply, sentAt: number): void {
    const isInstalled = this.#installedSettings.install({ revision: reply.revision, teams: Object.entries(reply.teams) })
    if (isInstalled && reply.revision >= this.view.revision) this.#recordConfirmation(sentAt - reply.age)
  }

  #handleRequest (revision: number, from: SettingsPeer): SettingsReply {
    this.#confirmations.record(from.name, revision, this.#clock.now())
    if (revision > this.view.revision) this.#requestFrom(from)
    return { revision: this.view.revision, age: Math.min(this.#confirmationAge(), maximumAge), teams: this.#installedSettings.changedSince(revision) }
  }

  #allConfirmations (): Confirmation[] {
    const own = { name: this.#link.self.name, revision: this.view.revision, age: 0 }
    return [own, ...this.#confirmations.list(this.#clock.now())]
  }

  #recordConfirmation (at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at)
  }

  #confirmationAge (): number {
    return this.#clock.now() - this.#confirmedAt
  }

  #isPoller (): boolean {
    return this.#pollingRole().isPoller
  }

  /** Returns the cached role, recomputed when the members change. */
  #pollingRole (): PollingRole {
    const members = this.#members()
    if (this.#cachedRole?.members === members) return this.#cachedRole
    const self = this.#link.self
    const localMembers = this.#localMembers()
    const pollers = this.#selectPollers([self, ...localMembers])
    this.#cachedRole = { members, isPoller: pollers.some(peer => peer.name === self.name), otherPollers: this.#selectPollers(localMembers) }
    return this.#cachedRole
  }

  #selectPollers<Member extends Peer> (members: readonly Member[]): Member[] {
    const byName = new Map(members.map(member => [member.name, member]))
    const order = rendezvousOrder('settings poller', [...byName.keys()])
    return order.slice(0, pollersPerDataCentre).flatMap(name => byName.get(name) ?? [])
  }

  #otherMembers (): SettingsPeer[] {
    return this.#members().filter(member => member.name !== this.#link.self.name)
  }

  #localMembers (): SettingsPeer[] {
    return this.#otherMembers().filter(member => member.place.dataCentre === this.#link.self.place.dataCentre)
  }

  #shuffled<Item> (items: readonly Item[]): Item[] {
    const keyed = items.map(item => ({ item, key: this.#randomness.fraction() }))
    return keyed.sort((left, right) => left.key - right.key).map(({ item }) => item)
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
