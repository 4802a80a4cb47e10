/** A fleet of settings followers in several data centres on a fake network. */
import { SeededRandomness } from '../../src/contract/index.ts'
import { SettingsFollower, TableSettingsRepository, settingsReadTimeoutMilliseconds } from '../../src/distribution/index.ts'
import type { LinkIdentity } from '../../src/link/index.ts'
import { FakeLinkNetwork } from './fakeLink.ts'
import { FaultyTableService, type ScriptedTableFault } from './faultyTableService.ts'
import { ManualClock } from './manualClock.ts'

export class FollowerFleet {
  readonly clock = new ManualClock()
  readonly network: FakeLinkNetwork
  readonly table: FaultyTableService
  readonly repository: TableSettingsRepository
  readonly identities: readonly LinkIdentity[]
  readonly followers = new Map<string, SettingsFollower>()
  readonly #seed: number

  /** @param daemonCounts the number of daemons in each data centre, by its name */
  constructor (seed: number, daemonCounts: Readonly<Record<string, number>>) {
    this.#seed = seed
    this.network = new FakeLinkNetwork(this.clock, new SeededRandomness(seed))
    this.table = new FaultyTableService(this.clock)
    this.repository = new TableSettingsRepository({ table: this.table, clock: this.clock, randomness: new SeededRandomness(seed + 1) })
    this.identities = Object.entries(daemonCounts).flatMap(([dataCentre, size]) => Array.from({ length: size }, (_, index) => identityOf(dataCentre, index)))
  }

  startAll (): void {
    for (const identity of this.identities) this.start(identity.name)
  }

  /** Starts a daemon, or restarts it without any state of its predecessor. */
  start (name: string): SettingsFollower {
    const identity = this.identities.find(candidate => candidate.name === name)
    if (identity === undefined) throw new Error(`no daemon is named ${name}`)
    const follower = new SettingsFollower({
      repository: this.#createRepository(identity),
      link: this.network.linkFor(identity),
      clock: this.network.clockFor(name),
      randomness: new SeededRandomness(this.#seed + 100 + this.identities.indexOf(identity)),
      members: () => this.identities
    })
    this.followers.set(name, follower)
    follower.start()
    return follower
  }

  follower (name: string): SettingsFollower {
    const follower = this.followers.get(name)
    if (follower === undefined) throw new Error(`no daemon is named ${name}`)
    return follower
  }

  revisions (): number[] {
    return [...this.followers.values()].map(follower => follower.view.revision)
  }

  /** Makes all connections that are open now, to the store and between daemons, carry nothing more. */
  silenceConnections (): void {
    this.network.silenceConnections()
    for (const { name } of this.identities) this.#silentStoreConnections.add(name)
  }

  /** Daemons whose open connections to the store carry nothing more. */
  readonly #silentStoreConnections = new Set<string>()

  /** Data centres, or single daemons, that can't reach the store. */
  readonly withoutStoreAccess = new Set<string>()

  async stopAll (): Promise<void> {
    const stopped = Promise.all([...this.followers.values()].map(follower => follower.stop()))
    await this.clock.advance(5_000)
    await stopped
  }

  /** The client gives a call over a silent connection up and opens new ones. */
  #timeOut (name: string): ScriptedTableFault {
    this.clock.schedule(settingsReadTimeoutMilliseconds, () => this.#silentStoreConnections.delete(name))
    return { fault: 'request_lost', requestDelayMilliseconds: settingsReadTimeoutMilliseconds }
  }

  /** The settings repository of one daemon; it fails while the daemon can't reach the store. */
  #createRepository (identity: LinkIdentity): TableSettingsRepository {
    const table = new FaultyTableService(this.clock, this.table.memoryTable)
    table.script = call => {
      if (this.withoutStoreAccess.has(identity.place.dataCentre) || this.withoutStoreAccess.has(identity.name)) return { fault: 'down' }
      if (this.#silentStoreConnections.has(identity.name)) return this.#timeOut(identity.name)
      return this.table.script(call)
    }
    return new TableSettingsRepository({ table, clock: this.clock, randomness: new SeededRandomness(this.#seed) })
  }
}

function identityOf (dataCentre: string, index: number): LinkIdentity {
  const name = `${dataCentre}-${index}`
  return { name, address: `${name}:7000`, place: { region: `region-${dataCentre}`, dataCentre }, rack: `rack-${index % 3}`, incarnation: 1 }
}
