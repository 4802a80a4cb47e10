/** Whole daemons in this process, with real sockets, before stand-in endpoints and a stand-in platform. */
import { createHash } from 'node:crypto'
import { createServer } from 'node:net'
import { stringify } from 'smol-toml'
import { Daemon } from '../../src/daemon/index.ts'
import { SystemClock, SystemRandomness } from '../../src/contract/index.ts'
import { TableSettingsRepository } from '../../src/distribution/index.ts'
import { HttpTableService } from '../../src/store/index.ts'
import { checkText, localSchema, type Subtree, subtreeSchema } from '../../src/settings/index.ts'
import { type EngineRun, type ServiceRun, startEngine, startPlatform, startService } from '../../src/standin/index.ts'

/** The API key of the world's organisation. */
export const apiKey = 'key-of-harbour'

/** A daemon and where it is reached. */
export interface RunningDaemon {
  readonly name: string
  readonly daemon: Daemon
  readonly callers: string
  readonly operators: string
}

/** What of a daemon's local settings a test sets. */
export interface DaemonWish {
  readonly traces?: string
  readonly callersTls?: { readonly key: string, readonly certificate: string }
  readonly linkTls?: { readonly key: string, readonly certificate: string, readonly authority: string }
}

/** Daemons and what they reach. */
export class DaemonWorld {
  readonly daemons: RunningDaemon[] = []
  readonly #closers: Array<() => Promise<void>> = []
  #platform = ''
  #engines: string[] = []
  #services: string[] = []

  /** Starts the platform, the endpoints and the settings. */
  static async start (engines = 2): Promise<DaemonWorld> {
    const world = new DaemonWorld()
    const platform = await startPlatform({ listen: '127.0.0.1:0', medianRatingMilliseconds: 5, listLagMilliseconds: 100 })
    world.#platform = platform.address
    world.#closers.push(() => platform.close())
    for (let number = 1; number <= engines; number++) {
      const engine = await startEngine({ listen: '127.0.0.1:0', name: `engine-${number}`, versions: ['small@1', 'small@2'] })
      world.#engines.push(engine.address)
      world.#closers.push(() => engine.close())
    }
    const service = await startService({ listen: '127.0.0.1:0', name: 'ledger-1' })
    world.#services.push(service.address)
    world.#closers.push(() => service.close())
    await world.put(subtree => subtree)
    return world
  }

  /** The table service as an operator reaches it. */
  table (): HttpTableService {
    return new HttpTableService({ address: this.#platform, timeoutMilliseconds: 2_000 })
  }

  /** Accepts changed settings and returns their revision. */
  async put (change: (subtree: Subtree) => Subtree): Promise<number> {
    const table = this.table()
    const repository = new TableSettingsRepository({ table, clock: new SystemClock(), randomness: new SystemRandomness() })
    const { revision, subtree } = (await repository.read('fleet')).unwrap()
    const accepted = await repository.put('fleet', change(subtree ?? this.#settings()), { expected: revision, author: 'test' })
    await table.close()
    return accepted.unwrap()
  }

  /** Starts a daemon and waits until it has the settings. */
  async startDaemon (name: string, wish: DaemonWish = {}): Promise<RunningDaemon> {
    const [callers = '', link = '', operators = ''] = await freeAddresses(3)
    const text = stringify({
      name,
      region: 'lower-mainland',
      data_centre: 'lower-mainland-a',
      rack: `rack-${name}`,
      listen: { callers, link, operators },
      platform: { table_service: this.#platform, object_store: this.#platform, virtual_machines: this.#platform, rating_service: this.#platform },
      link: { secret: 'the shared secret of a test', ...(wish.linkTls === undefined ? {} : { tls: wish.linkTls }) },
      callers: wish.callersTls === undefined ? {} : { tls: wish.callersTls },
      telemetry: { level: 'error', ...(wish.traces === undefined ? {} : { traces: wish.traces }) }
    })
    const local = checkText(text, name, localSchema).unwrap()
    const { readTlsFiles } = await import('../../src/daemon/index.ts')
    const daemon = await Daemon.compose(local, (await readTlsFiles(local)).unwrap())
    await this.#list(name, { address: link, region: 'lower-mainland', dataCentre: 'lower-mainland-a', leaving: false })
    ;(await daemon.start()).unwrap()
    const running = { name, daemon, callers, operators }
    this.daemons.push(running)
    return running
  }

  /** Stops a daemon as an operator would. */
  async stopDaemon (running: RunningDaemon): Promise<void> {
    this.daemons.splice(this.daemons.indexOf(running), 1)
    await running.daemon.stop()
    await fetch(`http://${this.#platform}/virtual-machines/${running.name}`, { method: 'DELETE' })
  }

  async engineRuns (): Promise<EngineRun[]> {
    return (await Promise.all(this.#engines.map(address => recordsOf<EngineRun>(address)))).flat()
  }

  async serviceRuns (): Promise<ServiceRun[]> {
    return (await Promise.all(this.#services.map(address => recordsOf<ServiceRun>(address)))).flat()
  }

  /** Makes the platform, an engine or the ledger fail. */
  async fault (target: 'platform' | 'ledger' | number, fault: Record<string, unknown>): Promise<void> {
    const address = target === 'platform' ? this.#platform : target === 'ledger' ? this.#services[0] : this.#engines[target]
    await fetch(`http://${address}/faults`, { method: 'POST', body: JSON.stringify(fault), headers: { 'content-type': 'application/json' } })
  }

  async close (): Promise<void> {
    for (const { daemon } of this.daemons) await daemon.stop()
    for (const close of this.#closers.reverse()) await close()
  }

  async #list (name: string, entry: Record<string, unknown>): Promise<void> {
    await fetch(`http://${this.#platform}/virtual-machines/${name}`, { method: 'PUT', body: JSON.stringify(entry), headers: { 'content-type': 'application/json' } })
  }

  #settings (): Subtree {
    const engines = this.#engines.map((address, index) => [`engine-${index + 1}`, { address, data_centre: 'lower-mainland-a', versions: ['small@1', 'small@2'] }])
    const services = this.#services.map((address, index) => [`ledger-${index + 1}`, { address, data_centre: 'lower-mainland-a', service: 'ledger' }])
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

async function recordsOf<Run> (address: string): Promise<Run[]> {
  return await (await fetch(`http://${address}/records`)).json() as Run[]
}

/** Addresses on loopback that were free just now. */
async function freeAddresses (count: number): Promise<string[]> {
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
