/**
 * The processes of a soak: gateways in three zones, a store, endpoints, proxies before all of them, and processes that keep processors
 * busy. It ends what it has started, by id, when it is closed and when this process ends in whatever way it can still notice.
 */
import { spawnSync } from 'node:child_process'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ConfigurationHistory, type StandInConfiguration, type StoreFault } from '../../platform/standin/index.ts'
import { Table, configurationKey } from '../../platform/index.ts'
import { buildProgram, removeProgram } from '../../test/fakes/gatewayProcess.ts'
import { randomnessOf } from './faultPlan.ts'
import { assertMemory, processorBinding } from './machine.ts'
import { callerLink, endpointLink, storeLink } from './faultTargets.ts'
import type { LinkFault } from './faults.ts'
import { type GuardOrder, type LoadOrder, OrderedProcess, type ProxyOrder, Role, type StoreOrder } from './orders.ts'
import type { EndRecord, SoakRecord } from './records.ts'
import { SoakEndpoint } from './soakEndpoint.ts'
import { SoakGateway, graceSeconds } from './soakGateway.ts'

export interface SoakWorldOptions {
  readonly seed: number
  readonly gateways: number
  /** To which all processes are bound, if the machine can bind processes; all of the machine's unless given. */
  readonly processors?: number
  /** Processes that keep a processor busy when a fault tells them to. */
  readonly busyProcesses?: number
  /** A folder with the built gateway program, as of another landing; it is built here unless given. */
  readonly programFolder?: string
}

const loopback = '127.0.0.1'
const zones = { 'coast-1': 'coast', 'coast-2': 'coast', 'hills-1': 'hills' }
const zoneNames = Object.keys(zones)
/** The service of each endpoint that is there from the start. */
const endpointServices = ['engines', 'engines', 'engines', 'engines', 'ledger', 'ledger', 'ledger', 'archive', 'archive']
const seedGateways = 3
const heartbeatMilliseconds = 1_200
const expiryMilliseconds = 3 * heartbeatMilliseconds
const applyMilliseconds = 2_500
const initialVersion = 'v1'
const interruptedExitCode = 130

/** The boot file's members that all gateways share. */
const sharedBoot = {
  region: 'coast',
  zones,
  heartbeat_ms: heartbeatMilliseconds,
  bounds: { grace_s: graceSeconds, reuse_after_s: 20, session_s: 5, retry_ratio: 6, config_apply_ms: applyMilliseconds }
}

/** What checks need to know of the world's bounds. */
export const worldBounds = { graceMilliseconds: graceSeconds * 1_000, applyMilliseconds }

export class SoakWorld {
  readonly gateways: readonly SoakGateway[]
  readonly endpoints: SoakEndpoint[] = []
  readonly logFolder: string
  readonly records: SoakRecord[] = []
  /** Processes that ended by themselves. */
  readonly unexpectedEnds: EndRecord[] = []
  /** Called with each record as it is made. */
  onRecord: (record: SoakRecord) => void = () => undefined
  readonly #directory: string
  readonly #commandPrefix: readonly string[]
  readonly #history: ConfigurationHistory
  readonly #store: OrderedProcess<StoreOrder>
  readonly #proxies: OrderedProcess<ProxyOrder>
  readonly #guard: OrderedProcess<GuardOrder>
  readonly #loads: readonly OrderedProcess<LoadOrder>[]
  readonly #openProxies = new Map<string, string>()
  readonly #endAll = () => {
    this.#killAll()
    removeProgram(this.#directory)
  }

  readonly #interrupt = () => process.exit(interruptedExitCode)
  #storeAddress = ''
  #isClosing = false

  private constructor ({ seed, gateways, processors, busyProcesses = 2, programFolder }: SoakWorldOptions) {
    this.#directory = buildProgram(programFolder)
    this.logFolder = mkdtempSync(join(tmpdir(), 'lavenderdoor-soak-'))
    this.#commandPrefix = processors === undefined ? [] : processorBinding(processors)
    this.#history = new ConfigurationHistory(randomnessOf(seed, 'configurations'))
    bundle('trial/soak/role.ts', this.roleProgram)
    process.once('exit', this.#endAll).once('SIGINT', this.#interrupt).once('SIGTERM', this.#interrupt)
    this.#store = this.#startRole<StoreOrder>('store', Role.Store, { host: loopback, expiryMilliseconds })
    this.#proxies = this.#startRole<ProxyOrder>('proxies', Role.Proxies, { host: loopback })
    this.#guard = this.#startRole<GuardOrder>('guard', Role.Guard, {})
    this.#loads = numbers(busyProcesses).map(number => this.#startRole<LoadOrder>(`load-${number}`, Role.Load, {}))
    this.gateways = numbers(gateways).map(number => this.#createGateway(number))
  }

  /**
   * Starts all processes and waits until they are ready.
   *
   * @throws if they would take more than half of the machine's memory, or do not get ready
   * @example
   * const world = await SoakWorld.start({ seed: 7, gateways: 8 })
   */
  static async start (options: SoakWorldOptions): Promise<SoakWorld> {
    assertMemory(options.gateways, endpointServices.length)
    const world = new SoakWorld(options)
    try {
      await world.#begin()
      return world
    } catch (error) {
      await world.close()
      throw error
    }
  }

  /** The configuration in force. */
  get configuration (): StandInConfiguration {
    return this.#history.current
  }

  /** Memory of each gateway that runs, in bytes. */
  get memoryBytes (): ReadonlyMap<string, number> {
    return new Map(this.gateways.filter(gateway => gateway.isRunning).map(gateway => [gateway.name, gateway.memoryBytes]))
  }

  /** For how long the gateways and the proxies have been ready to run without a processor, in milliseconds since their starts. */
  get processorWaits (): ReadonlyMap<string, number> {
    const waits = [...this.gateways, this.#proxies].map(each => [each.name, each.processorWaitMilliseconds] as const)
    return new Map(waits)
  }

  /** The bundled program of the soak's own processes. */
  get roleProgram (): string {
    return join(this.#directory, 'role.cjs')
  }

  /** The command of a process of the soak, bound to the processors of this run. */
  command (program: string, ...programArguments: readonly string[]): readonly string[] {
    return [...this.#commandPrefix, process.execPath, program, ...programArguments]
  }

  record (record: SoakRecord): void {
    this.records.push(record)
    this.onRecord(record)
  }

  /** Puts a changed configuration into force. */
  async configure (): Promise<void> {
    await this.#putConfiguration(this.#history.change())
  }

  async putOrder (key: string, document: unknown): Promise<void> {
    await this.#store.order({ order: 'put', table: Table.Orders, key, document })
  }

  async readStatus (key: string): Promise<unknown> {
    return await this.#store.order({ order: 'read', table: Table.Status, key })
  }

  async causeStoreFault (fault: StoreFault): Promise<void> {
    await this.#store.order({ order: 'fault', fault })
  }

  async dropStoreHistory (): Promise<void> {
    await this.#store.order({ order: 'compact' })
  }

  /** Causes a fault at the proxy of that name: `callers/GATEWAY`, `store/GATEWAY` or `endpoint/ENDPOINT`; that of an endpoint that starts may not be open yet. */
  async causeLinkFault (name: string, fault: LinkFault, milliseconds: number): Promise<void> {
    if (!this.#openProxies.has(name)) return
    await this.#proxies.order({ order: 'fault', name, fault, milliseconds })
  }

  /** Sends new connections of callers to where the gateway is now. */
  async retargetCallers (gateway: SoakGateway): Promise<void> {
    await this.#proxies.order({ order: 'retarget', name: callerLink(gateway.name), target: gateway.ownAddress })
  }

  async keepBusy (milliseconds: number): Promise<void> {
    await Promise.all(this.#loads.map(load => load.order({ order: 'work', milliseconds })))
  }

  /** Starts one more endpoint. */
  async addEndpoint (service: string, softwareVersion: string, isBad: boolean): Promise<SoakEndpoint> {
    if (this.#isClosing) throw new Error('the world has been closed')
    const number = this.endpoints.filter(endpoint => endpoint.service === service).length + 1
    const endpoint = new SoakEndpoint({
      name: `${service}-${number}`,
      service,
      softwareVersion,
      isBad,
      isEngine: service === 'engines',
      host: loopback,
      dataCentre: zoneNames[number % zoneNames.length]!,
      storeAddress: this.#storeAddress,
      heartbeatMilliseconds,
      logFolder: this.logFolder,
      command: options => this.command(this.roleProgram, Role.Endpoint, JSON.stringify(options)),
      onRecord: record => this.record(record),
      openProxy: (name, target) => this.#openProxy(endpointLink(name), target),
      onUnexpectedEnd: end => this.#noteEnd(end)
    })
    this.endpoints.push(endpoint)
    await endpoint.start()
    return endpoint
  }

  /** Ends all processes. The logs stay. */
  async close (): Promise<void> {
    this.#isClosing = true
    await this.#killAll()
    process.off('exit', this.#endAll).off('SIGINT', this.#interrupt).off('SIGTERM', this.#interrupt)
    removeProgram(this.#directory)
  }

  get #ownProcesses (): readonly OrderedProcess<never>[] {
    return [this.#store, this.#proxies, this.#guard, ...this.#loads] as unknown as readonly OrderedProcess<never>[]
  }

  async #begin (): Promise<void> {
    this.#storeAddress = String(await this.#store.ready)
    await Promise.all(this.#ownProcesses.map(each => each.ready))
    await this.#putConfiguration(this.#history.current)
    await Promise.all(endpointServices.map(service => this.addEndpoint(service, initialVersion, false)))
    const seeds = this.gateways.slice(0, seedGateways).map(gateway => gateway.linkAddress)
    await Promise.all(this.gateways.map(gateway => this.#startGateway(gateway, seeds)))
  }

  async #startGateway (gateway: SoakGateway, seeds: readonly string[]): Promise<void> {
    gateway.seeds = seeds
    gateway.storeAddress = await this.#openProxy(storeLink(gateway.name), this.#storeAddress)
    gateway.callerAddress = await this.#openProxy(callerLink(gateway.name), gateway.ownAddress)
    await gateway.start()
  }

  async #openProxy (name: string, target: string): Promise<string> {
    const open = this.#openProxies.get(name)
    if (open !== undefined) {
      await this.#proxies.order({ order: 'retarget', name, target })
      return open
    }
    const address = String(await this.#proxies.order({ order: 'open', name, target }))
    this.#openProxies.set(name, address)
    return address
  }

  async #putConfiguration ({ version, document, routes, keys }: StandInConfiguration): Promise<void> {
    const sentAt = Date.now()
    await this.putOrder(configurationKey, document)
    this.record({ type: 'configuration', version, sentAt, acknowledgedAt: Date.now(), routes, keys })
  }

  #createGateway (number: number): SoakGateway {
    const zone = zoneNames[number % zoneNames.length]!
    return new SoakGateway({
      name: `gateway-${number}`,
      zone,
      boot: { ...sharedBoot, region: zones[zone as keyof typeof zones] },
      programDirectory: this.#directory,
      logFolder: this.logFolder,
      commandPrefix: this.#commandPrefix,
      onStart: processId => { this.#guard.order({ order: 'watch', processId }).catch(() => undefined) },
      onEnd: processId => { this.#guard.order({ order: 'forget', processId }).catch(() => undefined) },
      onUnexpectedEnd: end => this.#noteEnd(end)
    })
  }

  #startRole<Order extends { readonly order: string }> (name: string, role: Role, options: object): OrderedProcess<Order> {
    const started = new OrderedProcess<Order>({ name, command: this.command(this.roleProgram, role, JSON.stringify(options)), logFolder: this.logFolder })
    started.ended.then(end => this.#noteEnd({ type: 'end', process: name, at: Date.now(), ...end }))
    return started
  }

  #noteEnd (end: EndRecord): void {
    if (this.#isClosing) return
    this.unexpectedEnds.push(end)
    this.record(end)
  }

  /** The signals are sent before it returns. */
  async #killAll (): Promise<void> {
    this.#isClosing = true
    const retired = [...this.gateways, ...this.endpoints].map(each => each.retire())
    const killed = this.#ownProcesses.map(each => each.kill())
    await Promise.all([...retired, ...killed])
  }
}

/** Bundles a TypeScript entry into a file. */
export function bundle (entry: string, file: string): void {
  const { status } = spawnSync(process.execPath, ['scripts/bundle.mjs', entry, file], { stdio: 'inherit' })
  if (status !== 0) throw new Error(`${entry} was not bundled`)
}

function numbers (count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1)
}
