/** Runs complete daemons in the test process over real sockets, with stand-in endpoints and a stand-in platform. */
import { createHash } from 'node:crypto'
import { createServer } from 'node:net'
import { stringify } from 'smol-toml'
import { Daemon } from '../../src/daemon/index.ts'
import { SystemClock, SystemRandomness } from '../../src/contract/index.ts'
import { TableSettingsRepository } from '../../src/distribution/index.ts'
import { HttpTableService } from '../../src/store/index.ts'
import { checkText, localSchema, type Subtree, subtreeSchema } from '../../src/settings/index.ts'
import { type EngineRun, type ServiceRun, startEngine, startPlatform, startService } from '../../src/standin/index.ts'

/** API key of the organisation `harbour`, the only one in the default settings. */
export const apiKey = 'key-of-harbour'

/** A started daemon with its listening addresses. */
export interface RunningDaemon {
  readonly name: string
  readonly daemon: Daemon
  readonly callerAddress: string
  readonly operatorAddress: string
}

/** The parts of a daemon's local settings that a test can override. */
export interface DaemonTestOptions {
  readonly traces?: string
  readonly callersTls?: { readonly key: string, readonly certificate: string }
  readonly linkTls?: { readonly key: string, readonly certificate: string, readonly authority: string }
}

/** A platform, engines, a ledger service and the daemons that a test starts. */
export class DaemonHarness {
  readonly daemons: RunningDaemon[] = []
  readonly #cleanups: Array<() => Promise<void>> = []
  #platformAddress = ''
  #engineAddresses: string[] = []
  #serviceAddresses: string[] = []

  /** Starts the platform and the endpoints, and stores the default settings. */
  static async start (engineCount = 2): Promise<DaemonHarness> {
    const harness = new DaemonHarness()
    const platform = await startPlatform({ listen: '127.0.0.1:0', medianRatingMilliseconds: 5, listLagMilliseconds: 100 })
    harness.#platformAddress = platform.address
    harness.#cleanups.push(() => platform.close())
    for (let number = 1; number <= engineCount; number++) {
      const engine = await startEngine({ listen: '127.0.0.1:0', name: `engine-${number}`, versions: ['small@1', 'small@2'] })
      harness.#engineAddresses.push(engine.address)
      harness.#cleanups.push(() => engine.close())
    }
    const service = await startService({ listen: '127.0.0.1:0', name: 'ledger-1' })
    harness.#serviceAddresses.push(service.address)
    harness.#cleanups.push(() => service.close())
    await harness.updateSettings(subtree => subtree)
    return harness
  }

  /** Creates a client of the platform's table service, as the operators' commands use. */
  createTableClient (): HttpTableService {
    return new HttpTableService({ clock: new SystemClock(), address: this.#platformAddress, timeoutMilliseconds: 2_000 })
  }

  /**
   * Applies a change to the stored settings.
   *
   * @returns the new revision
   */
  async updateSettings (change: (subtree: Subtree) => Subtree): Promise<number> {
    const table = this.createTableClient()
    const repository = new TableSettingsRepository({ table, clock: new SystemClock(), randomness: new SystemRandomness() })
    const { revision, subtree } = (await repository.read('fleet')).unwrap()
    const result = await repository.put('fleet', change(subtree ?? this.#defaultSettings()), { expected: revision, author: 'test' })
    await table.close()
    return result.unwrap()
  }

  /** Starts a daemon and waits until it has loaded the settings. */
  async startDaemon (name: string, options: DaemonTestOptions = {}): Promise<RunningDaemon> {
    const [callerAddress = '', linkAddress = '', operatorAddress = ''] = await findFreeAddresses(3)
    const text = stringify({
      name,
      region: 'lower-mainland',
      data_centre: 'lower-mainland-a',
      rack: `rack-${name}`,
      listen: { callers: callerAddress, link: linkAddress, operators: operatorAddress },
      platform: { table_service: this.#platformAddress, object_store: this.#platformAddress, virtual_machines: this.#platformAddress, rating_service: this.#platformAddress },
      link: { secret: 'the shared secret of a test', ...(options.linkTls === undefined ? {} : { tls: options.linkTls }) },
      callers: options.callersTls === undefined ? {} : { tls: options.callersTls },
      telemetry: { level: 'error', ...(options.traces === undefined ? {} : { traces: options.traces }) }
    })
    const local = checkText(text, name, localSchema).unwrap()
    const { readTlsFiles } = await import('../../src/daemon/index.ts')
    const daemon = await Daemon.compose(local, (await readTlsFiles(local)).unwrap())
    await this.#registerVirtualMachine(name, { address: linkAddress, region: 'lower-mainland', dataCentre: 'lower-mainland-a', leaving: false })
    ;(await daemon.start()).unwrap()
    const runningDaemon = { name, daemon, callerAddress, operatorAddress }
    this.daemons.push(runningDaemon)
    return runningDaemon
  }

  /** Stops a daemon gracefully and removes its VM from the platform's list. */
  async stopDaemon (runningDaemon: RunningDaemon): Promise<void> {
    this.daemons.splice(this.daemons.indexOf(runningDaemon), 1)
    await runningDaemon.daemon.stop()
    await fetch(`http://${this.#platformAddress}/virtual-machines/${runningDaemon.name}`, { method: 'DELETE' })
  }

  async engineRuns (): Promise<EngineRun[]> {
    return (await Promise.all(this.#engineAddresses.map(address => fetchRecords<EngineRun>(address)))).flat()
  }

  async serviceRuns (): Promise<ServiceRun[]> {
    return (await Promise.all(this.#serviceAddresses.map(address => fetchRecords<ServiceRun>(address)))).flat()
  }

  /** Injects a fault into the platform, the ledger or an engine, given by its index. */
  async injectFault (target: 'platform' | 'ledger' | number, faultBody: Record<string, unknown>): Promise<void> {
    const address = target === 'platform' ? this.#platformAddress : target === 'ledger' ? this.#serviceAddresses[0] : this.#engineAddresses[target]
    await fetch(`http://${address}/faults`, { method: 'POST', body: JSON.stringify(faultBody), headers: { 'content-type': 'application/json' } })
  }

  async close (): Promise<void> {
    for (const { daemon } of this.daemons) await daemon.stop()
    for (const close of this.#cleanups.reverse()) await close()
  }

  async #registerVirtualMachine (name: string, entry: Record<string, unknown>): Promise<void> {
    await fetch(`http://${this.#platformAddress}/virtual-machines/${name}`, { method: 'PUT', body: JSON.stringify(entry), headers: { 'content-type': 'application/json' } })
  }

  #defaultSettings (): Subtree {
    const engines = this.#engineAddresses.map((address, index) => [`engine-${index + 1}`, { address, data_centre: 'lower-mainland-a', versions: ['small@1', 'small@2'] }])
    const services = this.#serviceAddresses.map((address, index) => [`ledger-${index + 1}`, { address, data_centre: 'lower-mainland-a', service: 'ledger' }])
    return subtreeSchema.parse({
      kinds: ['lookup'],
      session_keys: [{ name: 'first', secret: 'a session secret of the tests, long enough' }],
      data_centres: { 'lower-mainland-a': { region: 'lower-mainland' } },
      models: { small: { price: 1, versions: { 1: {}, 2: { state: 'candidate' } } } },
      services: { ledger: { operations: [{ method: 'POST', path: '/refunds', idempotent: false }] } },
      endpoints: Object.fromEntries([...engines, ...services]),
      organisations: { harbour: { key_hashes: [createHash('sha256').update(apiKey).digest('hex')], models: ['small'], services: ['ledger'] } }
    })
  }
}

async function fetchRecords<Run> (address: string): Promise<Run[]> {
  return await (await fetch(`http://${address}/records`)).json() as Run[]
}

/** Finds free loopback addresses; another process may still take one before it is used. */
async function findFreeAddresses (count: number): Promise<string[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise<ReturnType<typeof createServer>>(resolve => {
    const server = createServer()
    server.listen(0, '127.0.0.1', () => resolve(server))
  })))
  const addresses = servers.map(server => {
    const address = server.address()
    return typeof address === 'object' && address !== null ? `127.0.0.1:${address.port}` : ''
  })
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return addresses
}
