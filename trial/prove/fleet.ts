/**
 * The fleet of a run: daemons made of the production parts, engines, a service and the store in three
 * data centres of two regions, all in one process and in virtual time.
 */
import { createHash } from 'node:crypto'
import { TableClaims } from '../../src/claim/index.ts'
import { type Clock, Err, Ok, type Place, type Randomness, SeededRandomness, type VersionName } from '../../src/contract/index.ts'
import { composeDaemonDependencies, type DaemonDependencies, type DependencyOverrides } from '../../src/daemon/index.ts'
import { TableSettingsRepository } from '../../src/distribution/index.ts'
import { Drain } from '../../src/entry/index.ts'
import { Log, Metrics } from '../../src/observe/index.ts'
import { type ListedVirtualMachine, PlatformUnavailable, type TableService } from '../../src/store/index.ts'
import { checkText, localSchema, type Subtree, subtreeSchema } from '../../src/settings/index.ts'
import { MemoryTableService } from '../../src/standin/index.ts'
import { FakeLinkNetwork } from '../../test/fakes/fakeLink.ts'
import { FaultyTableService, TableFault } from '../../test/fakes/faultyTableService.ts'
import { SimulatedEngines } from './simulatedEngines.ts'
import { DisabledClaims, NonWaitingDrain, PermanentLeaseFollower, type Mechanism, UnconditionalWatermarkTable } from './mechanisms.ts'
import { GatedClock, GatedLink, GatedTable, ProcessGate } from './processGate.ts'
import { SimulatedServices } from './simulatedServices.ts'
import type { VirtualClock } from './virtualClock.ts'

/** The data centres; the first one holds the store. */
export const places: readonly Place[] = [
  { region: 'lower-mainland', dataCentre: 'lower-mainland-a' },
  { region: 'lower-mainland', dataCentre: 'lower-mainland-b' },
  { region: 'interior', dataCentre: 'interior-a' }
]

const storePlace = places[0]
const daemonsPerDataCentre = 2
const enginesPerDataCentre = 2
const versions: readonly VersionName[] = ['small@1', 'small@2', 'large@1']

/** The organisations and the models that each may use. */
export const organisations: Readonly<Record<string, readonly string[]>> = { harbour: ['small', 'large'], guides: ['large'] }

/** The injected faults of the store. */
export interface StoreConditions {
  isDown: boolean
  /** Share of calls whose request or reply is lost, 0 to 1. */
  lossShare: number
  /** Maximum delay in each direction. */
  maximumDelayMilliseconds: number
}

export interface FleetDaemon {
  readonly name: string
  readonly place: Place
  readonly address: string
  readonly gate: ProcessGate
  readonly parts: DaemonDependencies
  readonly startedAt: number
  /** Time until which the daemon counts as disturbed, after a freeze or during a planned stop. */
  disturbedUntil: number
  isStopping: boolean
}

const drainTimeoutMilliseconds = 30_000

/** All simulated processes of a run. */
export class Fleet {
  readonly clock: VirtualClock
  readonly memoryTable = new MemoryTableService()
  readonly storeConditions: StoreConditions = { isDown: false, lossShare: 0, maximumDelayMilliseconds: 5 }
  readonly network: FakeLinkNetwork
  readonly engines: SimulatedEngines
  readonly services: SimulatedServices
  readonly daemons: FleetDaemon[] = []
  readonly randomness: Randomness
  readonly settingsRepository: TableSettingsRepository
  readonly engineNames: string[] = []
  readonly #disabledMechanism: Mechanism | undefined
  readonly #partitions = new Set<string>()
  #startedCount = 0

  constructor (clock: VirtualClock, seed: number, disabledMechanism: Mechanism | undefined) {
    this.clock = clock
    this.#disabledMechanism = disabledMechanism
    this.randomness = new SeededRandomness(seed)
    this.network = new FakeLinkNetwork(clock, new SeededRandomness(seed + 1))
    this.network.conditions.delayMilliseconds = (from, to) => from.place.region === to.place.region ? 0.5 : 20
    this.engines = new SimulatedEngines(clock, new SeededRandomness(seed + 2), disabledMechanism)
    this.services = new SimulatedServices(clock, new SeededRandomness(seed + 3))
    this.settingsRepository = new TableSettingsRepository({ table: this.#storeClientFrom(storePlace, clock), clock, randomness: new SeededRandomness(seed + 4) })
  }

  /** Stores the initial settings and starts all engines and daemons. */
  async start (): Promise<void> {
    for (const [index, place] of places.entries()) {
      for (let number = 0; number < enginesPerDataCentre; number++) {
        const name = `engine-${place.dataCentre}-${number}`
        this.engineNames.push(name)
        this.engines.add(name, addressOf(index, number), versions)
      }
    }
    const put = this.settingsRepository.put('fleet', fleetSubtree(), { expected: 0, author: 'ines' })
    await this.clock.advance(1_000)
    assertSettingsAccepted((await put).ok)
    for (const place of places) {
      for (let number = 0; number < daemonsPerDataCentre; number++) await this.startDaemon(place)
    }
    await this.clock.advance(5_000)
  }

  async startDaemon (place: Place): Promise<FleetDaemon> {
    this.#startedCount += 1
    const name = `entry-${this.#startedCount}`
    const address = `10.0.0.${this.#startedCount}:7000`
    const gate = new ProcessGate()
    const clock = new GatedClock(this.clock, gate)
    const parts = await this.#compose(name, place, address, gate, clock)
    const daemon: FleetDaemon = { name, place, address, gate, parts, startedAt: this.clock.now(), disturbedUntil: this.clock.now(), isStopping: false }
    this.daemons.push(daemon)
    parts.membership.start()
    parts.follower.start()
    parts.ratingExchange.start()
    parts.ledger.start()
    parts.steward.start()
    return daemon
  }

  kill (daemon: FleetDaemon): void {
    daemon.gate.kill()
    this.network.remove(daemon.address)
    this.daemons.splice(this.daemons.indexOf(daemon), 1)
  }

  /** Stops a daemon gracefully, as `Daemon.stop` does except for the servers. */
  async stop (daemon: FleetDaemon): Promise<void> {
    const { drain, follower, ledger, membership, ratingExchange, steward } = daemon.parts
    daemon.isStopping = true
    drain.begin()
    await Promise.race([drain.waitUntilEmpty(), this.clock.sleep(drainTimeoutMilliseconds)])
    await steward.stop()
    await ratingExchange.stop()
    await ledger.stop()
    await follower.stop()
    await membership.stop()
    if (this.daemons.includes(daemon)) this.kill(daemon)
  }

  /** Cuts a data centre off from all others and, unless it holds the store, from the store. */
  partition (dataCentre: string): void {
    for (const place of places) {
      if (place.dataCentre === dataCentre) continue
      this.#partitions.add(pairKey(dataCentre, place.dataCentre))
      this.network.partition(dataCentre, place.dataCentre)
    }
  }

  heal (): void {
    for (const left of places) {
      for (const right of places) this.network.heal(left.dataCentre, right.dataCentre)
    }
    this.#partitions.clear()
  }

  isPartitioned (left: string, right: string): boolean {
    return this.#partitions.has(pairKey(left, right))
  }

  async #compose (name: string, place: Place, address: string, gate: ProcessGate, clock: Clock): Promise<DaemonDependencies> {
    const randomness = new SeededRandomness(this.randomness.integerBelow(2 ** 31))
    const link = new GatedLink(this.network.linkFor({ name, address, place, rack: `rack-${this.#startedCount % 5}`, incarnation: Math.floor(this.clock.now()) }), gate)
    const store = new GatedTable(this.#storeClientFrom(place, clock), gate)
    const table = this.#disabledMechanism === 'watermark' ? new UnconditionalWatermarkTable(store) : store
    const repository = new TableSettingsRepository({ table, clock, randomness })
    const isReachable = (endpointAddress: string) => !this.isPartitioned(place.dataCentre, placeOf(endpointAddress).dataCentre)
    const composed: { parts?: DaemonDependencies } = {}
    const members = () => composed.parts?.membership.members() ?? []
    const overrides: DependencyOverrides = {
      clock,
      randomness,
      table,
      link,
      repository,
      settingsReader: repository,
      log: new Log('error', { virtual_machine: name }),
      metrics: new Metrics(false),
      machines: { read: async () => this.#isStoreUnreachable(place) ? Err(new PlatformUnavailable('cut off', false)) : Ok(this.#listedMachines()) },
      ratings: { rate: async () => Ok(90) },
      engines: this.engines.clientFor(name, clock, gate, isReachable),
      services: this.services.clientFor(name, clock, gate, endpoint => isReachable(endpoint.address)),
      claims: this.#disabledMechanism === 'claim' ? new DisabledClaims(randomness) : new TableClaims({ table, clock, randomness, holder: name }),
      drain: this.#disabledMechanism === 'drain' ? new NonWaitingDrain() : new Drain(),
      ...(this.#disabledMechanism === 'settings-lease' ? { follower: new PermanentLeaseFollower({ repository, link, clock, randomness, members }) } : {})
    }
    composed.parts = await composeDaemonDependencies(localSettings(name, place, address), undefined, overrides)
    return composed.parts
  }

  #storeClientFrom (place: Place | undefined, clock: Clock): TableService {
    const table = new FaultyTableService(clock, this.memoryTable)
    table.script = () => {
      if (this.storeConditions.isDown || this.#isStoreUnreachable(place)) return { fault: TableFault.Down }
      const delays = { requestDelayMilliseconds: this.randomness.integerBelow(this.storeConditions.maximumDelayMilliseconds + 1), replyDelayMilliseconds: this.randomness.integerBelow(this.storeConditions.maximumDelayMilliseconds + 1) }
      if (this.randomness.fraction() >= this.storeConditions.lossShare) return { fault: TableFault.None, ...delays }
      return { fault: this.randomness.integerBelow(2) === 0 ? TableFault.RequestLost : TableFault.ReplyLost, ...delays }
    }
    return table
  }

  #isStoreUnreachable (place: Place | undefined): boolean {
    return place !== undefined && storePlace !== undefined && this.isPartitioned(place.dataCentre, storePlace.dataCentre)
  }

  #listedMachines (): ListedVirtualMachine[] {
    return this.daemons.map(({ name, address, place, isStopping }) => ({ name, address, region: place.region, dataCentre: place.dataCentre, leaving: isStopping }))
  }
}

/** The settings of the fleet, with the given states of the candidate version and its roll-out. */
export function fleetSubtree (options: { readonly candidate?: 'candidate' | 'withdrawn', readonly rollOut?: 'running' | 'halted' } = {}): Subtree {
  const endpoints = places.flatMap((place, index) => [
    ...Array.from({ length: enginesPerDataCentre }, (_, number) => `[endpoints.engine-${place.dataCentre}-${number}]\naddress = "${addressOf(index, number)}"\ndata_centre = "${place.dataCentre}"\nversions = ${JSON.stringify(versions)}`),
    `[endpoints.ledger-${place.dataCentre}]\naddress = "${addressOf(index, enginesPerDataCentre)}"\ndata_centre = "${place.dataCentre}"\nservice = "ledger"`
  ])
  const organisationTables = Object.entries(organisations).map(([name, models]) => `[organisations.${name}]\nkey_hashes = ["${createHash('sha256').update(name).digest('hex')}"]\nmodels = ${JSON.stringify(models)}\nservices = ["ledger"]`)
  const text = [
    'kinds = ["tagging"]',
    'session_keys = [{ name = "first", secret = "a session secret of the trials, long enough" }]',
    ...places.map(place => `[data_centres.${place.dataCentre}]\nregion = "${place.region}"`),
    '[models.small]\nprice = 1\n[models.small.versions.1]\n[models.small.versions.2]',
    `state = "${options.candidate ?? 'candidate'}"`,
    `[models.small.roll_out]\nfrom = "1"\nto = "2"\nshare = 0.5\nstate = "${options.rollOut ?? 'running'}"\nsteps = [0.5]`,
    '[models.large]\nprice = 20\n[models.large.versions.1]',
    '[services.ledger]\noperations = [{ method = "POST", path = "/refunds", idempotent = false }]',
    ...endpoints,
    ...organisationTables
  ].join('\n')
  return checkText(text, 'fleet', subtreeSchema).unwrap()
}

function localSettings (name: string, place: Place, address: string) {
  const unusedAddress = '127.0.0.1:1'
  return localSchema.parse({
    name,
    region: place.region,
    data_centre: place.dataCentre,
    listen: { callers: unusedAddress, link: address, operators: unusedAddress },
    platform: { table_service: unusedAddress, object_store: unusedAddress, virtual_machines: unusedAddress, rating_service: unusedAddress },
    link: { secret: 'a secret of the trials' }
  })
}

function addressOf (dataCentre: number, number: number): string {
  return `10.1.${dataCentre}.${number}:8000`
}

function placeOf (address: string): Place {
  const place = places[Number(address.split('.')[2])]
  if (place === undefined) throw new Error(`no data centre belongs to the address ${address}`)
  return place
}

function pairKey (left: string, right: string): string {
  return [left, right].sort().join(' | ')
}

function assertSettingsAccepted (isAccepted: boolean): void {
  if (!isAccepted) throw new Error('the initial settings of the fleet were not accepted')
}
