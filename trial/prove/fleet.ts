/**
 * The fleet of a run: two regions, three data centres, daemons made of the program's own parts, engines,
 * a service, and the store, all in one process and in virtual time.
 */
import { createHash } from 'node:crypto'
import { TableClaims } from '../../src/claim/index.ts'
import { type Clock, Err, Ok, type Place, type Randomness, SeededRandomness, type VersionName } from '../../src/contract/index.ts'
import { composeParts, type DaemonParts, type PartOverrides } from '../../src/daemon/index.ts'
import { TableSettingsRepository } from '../../src/distribution/index.ts'
import { Drain } from '../../src/entry/index.ts'
import { Log, Metrics } from '../../src/observe/index.ts'
import { type ListedVirtualMachine, PlatformUnavailable, type TableService } from '../../src/store/index.ts'
import { checkText, localSchema, type Subtree, subtreeSchema } from '../../src/settings/index.ts'
import { MemoryTableService } from '../../src/standin/index.ts'
import { FakeNetwork } from '../../test/fakes/fakeLink.ts'
import { FaultyTableService, TableFault } from '../../test/fakes/faultyTableService.ts'
import { EngineFarm } from './engineFarm.ts'
import { AbsentClaims, ImpatientDrain, LeaselessFollower, type Mechanism, UnconditionalWatermarks } from './mechanisms.ts'
import { GatedClock, GatedLink, GatedTable, ProcessGate } from './processGate.ts'
import { ServiceFarm } from './serviceFarm.ts'
import type { VirtualClock } from './virtualClock.ts'

/** The data centres, the store's first. */
export const places: readonly Place[] = [
  { region: 'lower-mainland', dataCentre: 'lower-mainland-a' },
  { region: 'lower-mainland', dataCentre: 'lower-mainland-b' },
  { region: 'interior', dataCentre: 'interior-a' }
]

const storePlace = places[0]
const daemonsPerDataCentre = 2
const enginesPerDataCentre = 2
const versions: readonly VersionName[] = ['small@1', 'small@2', 'large@1']

/** Organisations and what each may use. */
export const organisations: Readonly<Record<string, readonly string[]>> = { harbour: ['small', 'large'], guides: ['large'] }

/** How the store is doing. */
export interface StoreWeather {
  isDown: boolean
  /** The share of calls whose request or reply is lost. */
  lostShare: number
  /** Milliseconds each way, at most. */
  slowness: number
}

/** One daemon. */
export interface FleetDaemon {
  readonly name: string
  readonly place: Place
  readonly address: string
  readonly gate: ProcessGate
  readonly parts: DaemonParts
  readonly startedAt: number
  /** Disturbed until this moment: frozen lately or stopping. */
  disturbedUntil: number
  isStopping: boolean
}

const drainMilliseconds = 30_000

/** Everything that a run drives. */
export class Fleet {
  readonly clock: VirtualClock
  readonly memory = new MemoryTableService()
  readonly weather: StoreWeather = { isDown: false, lostShare: 0, slowness: 5 }
  readonly network: FakeNetwork
  readonly engines: EngineFarm
  readonly services: ServiceFarm
  readonly daemons: FleetDaemon[] = []
  readonly randomness: Randomness
  readonly operators: TableSettingsRepository
  readonly engineNames: string[] = []
  readonly #without: Mechanism | undefined
  readonly #cuts = new Set<string>()
  #started = 0

  constructor (clock: VirtualClock, seed: number, without: Mechanism | undefined) {
    this.clock = clock
    this.#without = without
    this.randomness = new SeededRandomness(seed)
    this.network = new FakeNetwork(clock, new SeededRandomness(seed + 1))
    this.network.conditions.delay = (from, to) => from.place.region === to.place.region ? 0.5 : 20
    this.engines = new EngineFarm(clock, new SeededRandomness(seed + 2), without)
    this.services = new ServiceFarm(clock, new SeededRandomness(seed + 3))
    this.operators = new TableSettingsRepository({ table: this.#storeFrom(storePlace, clock), clock, randomness: new SeededRandomness(seed + 4) })
  }

  /** Puts the first settings and starts every daemon and engine. */
  async start (): Promise<void> {
    for (const [index, place] of places.entries()) {
      for (let number = 0; number < enginesPerDataCentre; number++) {
        const name = `engine-${place.dataCentre}-${number}`
        this.engineNames.push(name)
        this.engines.add(name, addressOf(index, number), versions)
      }
    }
    const put = this.operators.put('fleet', fleetSubtree(), { expected: 0, author: 'ines' })
    await this.clock.advance(1_000)
    invariantOk((await put).ok)
    for (const place of places) {
      for (let number = 0; number < daemonsPerDataCentre; number++) await this.add(place)
    }
    await this.clock.advance(5_000)
  }

  /** Starts a daemon. */
  async add (place: Place): Promise<FleetDaemon> {
    this.#started += 1
    const name = `entry-${this.#started}`
    const address = `10.0.0.${this.#started}:7000`
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

  /** Kills a daemon. */
  kill (daemon: FleetDaemon): void {
    daemon.gate.kill()
    this.network.remove(daemon.address)
    this.daemons.splice(this.daemons.indexOf(daemon), 1)
  }

  /** Stops a daemon as planned, as `Daemon.stop` does without its servers. */
  async stop (daemon: FleetDaemon): Promise<void> {
    const { drain, follower, ledger, membership, ratingExchange, steward } = daemon.parts
    daemon.isStopping = true
    drain.begin()
    await Promise.race([drain.waitUntilEmpty(), this.clock.sleep(drainMilliseconds)])
    await steward.stop()
    await ratingExchange.stop()
    await ledger.stop()
    await follower.stop()
    await membership.stop()
    if (this.daemons.includes(daemon)) this.kill(daemon)
  }

  /** Separates a data centre from all others and, unless it is there, from the store. */
  cut (dataCentre: string): void {
    for (const place of places) {
      if (place.dataCentre === dataCentre) continue
      this.#cuts.add(cutKey(dataCentre, place.dataCentre))
      this.network.cut(dataCentre, place.dataCentre)
    }
  }

  heal (): void {
    for (const left of places) {
      for (const right of places) this.network.heal(left.dataCentre, right.dataCentre)
    }
    this.#cuts.clear()
  }

  isCut (left: string, right: string): boolean {
    return this.#cuts.has(cutKey(left, right))
  }

  async #compose (name: string, place: Place, address: string, gate: ProcessGate, clock: Clock): Promise<DaemonParts> {
    const randomness = new SeededRandomness(this.randomness.below(2 ** 31))
    const link = new GatedLink(this.network.linkFor({ name, address, place, rack: `rack-${this.#started % 5}`, incarnation: Math.floor(this.clock.now()) }), gate)
    const store = new GatedTable(this.#storeFrom(place, clock), gate)
    const table = this.#without === 'watermark' ? new UnconditionalWatermarks(store) : store
    const repository = new TableSettingsRepository({ table, clock, randomness })
    const reaches = (endpointAddress: string) => !this.isCut(place.dataCentre, placeOf(endpointAddress).dataCentre)
    const made: { parts?: DaemonParts } = {}
    const members = () => made.parts?.membership.members() ?? []
    const overrides: PartOverrides = {
      clock,
      randomness,
      table,
      link,
      repository,
      log: new Log('error', { virtual_machine: name }),
      metrics: new Metrics(false),
      machines: { read: async () => this.#isStoreAway(place) ? Err(new PlatformUnavailable('cut off', false)) : Ok(this.#listed()) },
      ratings: { rate: async () => Ok(90) },
      engines: this.engines.clientFor(name, clock, gate, reaches),
      services: this.services.clientFor(name, clock, gate, endpoint => reaches(endpoint.address)),
      claims: this.#without === 'claim' ? new AbsentClaims(randomness) : new TableClaims({ table, clock, randomness, holder: name }),
      drain: this.#without === 'drain' ? new ImpatientDrain() : new Drain(),
      ...(this.#without === 'settings-lease' ? { follower: new LeaselessFollower({ repository, link, clock, randomness, members }) } : {})
    }
    made.parts = await composeParts(localSettings(name, place, address), undefined, overrides)
    return made.parts
  }

  #storeFrom (place: Place | undefined, clock: Clock): TableService {
    const table = new FaultyTableService(clock, this.memory)
    table.script = () => {
      if (this.weather.isDown || this.#isStoreAway(place)) return { fault: TableFault.Down }
      const delays = { before: this.randomness.below(this.weather.slowness + 1), after: this.randomness.below(this.weather.slowness + 1) }
      if (this.randomness.fraction() >= this.weather.lostShare) return { fault: TableFault.None, ...delays }
      return { fault: this.randomness.below(2) === 0 ? TableFault.RequestLost : TableFault.ReplyLost, ...delays }
    }
    return table
  }

  #isStoreAway (place: Place | undefined): boolean {
    return place !== undefined && storePlace !== undefined && this.isCut(place.dataCentre, storePlace.dataCentre)
  }

  #listed (): ListedVirtualMachine[] {
    return this.daemons.map(({ name, address, place, isStopping }) => ({ name, address, region: place.region, dataCentre: place.dataCentre, leaving: isStopping }))
  }
}

/** The settings of the fleet, with a state for the candidate version and a roll-out. */
export function fleetSubtree (options: { readonly candidate?: 'candidate' | 'withdrawn', readonly rollOut?: 'running' | 'halted' } = {}): Subtree {
  const endpoints = places.flatMap((place, index) => [
    ...Array.from({ length: enginesPerDataCentre }, (_, number) => `[endpoints.engine-${place.dataCentre}-${number}]\naddress = "${addressOf(index, number)}"\ndata_centre = "${place.dataCentre}"\nversions = ${JSON.stringify(versions)}`),
    `[endpoints.ledger-${place.dataCentre}]\naddress = "${addressOf(index, enginesPerDataCentre)}"\ndata_centre = "${place.dataCentre}"\nservice = "ledger"`
  ])
  const owners = Object.entries(organisations).map(([name, models]) => `[organisations.${name}]\nkey_hashes = ["${createHash('sha256').update(name).digest('hex')}"]\nmodels = ${JSON.stringify(models)}\nservices = ["ledger"]`)
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
    ...owners
  ].join('\n')
  return checkText(text, 'fleet', subtreeSchema).unwrap()
}

function localSettings (name: string, place: Place, address: string) {
  const nowhere = '127.0.0.1:1'
  return localSchema.parse({
    name,
    region: place.region,
    data_centre: place.dataCentre,
    listen: { callers: nowhere, link: address, operators: nowhere },
    platform: { table_service: nowhere, object_store: nowhere, virtual_machines: nowhere, rating_service: nowhere },
    link: { secret: 'a secret of the trials' }
  })
}

function addressOf (dataCentre: number, number: number): string {
  return `10.1.${dataCentre}.${number}:8000`
}

function placeOf (address: string): Place {
  const place = places[Number(address.split('.')[2])]
  if (place === undefined) throw new Error(`no place has ${address}`)
  return place
}

function cutKey (left: string, right: string): string {
  return [left, right].sort().join(' | ')
}

function invariantOk (holds: boolean): void {
  if (!holds) throw new Error('the first settings were not accepted')
}
