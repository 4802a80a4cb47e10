/** Gateways in front of sound endpoints. In series and overlapping, the configuration, boot files, endpoints, the store and the gateways themselves change. */
import { type EndpointStandIn, configurationDocument, endpointDocument } from '../../platform/standin/index.ts'
import type { Randomness } from '../../src/contract/index.ts'
import { ForwarderHarness, formatEvent } from './forwarderWorld.ts'
import { pause } from './rawCaller.ts'

const graceSeconds = 6
const gatewayCount = 2
const endpointCount = 3
/** A gateway that stops gets no new connections after this time, as the load balancer sees to. */
const balancerMilliseconds = 1_500
const eventCount = 4
/** Requests per second that some endpoints announce as their limit, so that requests wait for places. */
const announcedLimit = '15'
const longTimeoutMilliseconds = 6_000
/** The shortest timeout that a route may have; longer than any run at an endpoint. */
export const shortTimeoutMilliseconds = 4_000

type Document = ReturnType<typeof configurationDocument>
type ConfigurationChange = (document: Document) => Document

const changeLimits = (limits: Partial<Document['limits']>): ConfigurationChange => document => ({ ...document, limits: { ...document.limits, ...limits } })
const changeRoutes = (change: Record<string, unknown>): ConfigurationChange => document => ({ ...document, routes: document.routes.map(route => ({ ...route, ...change })) })
const dropRoute = (prefix: string): ConfigurationChange => document => ({ ...document, routes: document.routes.filter(route => route.prefix !== prefix) })

/** Each kind of change that an operator may make. */
const changes: Readonly<Record<string, ConfigurationChange>> = {
  idleTime: changeLimits({ idle_timeout_ms: 400 }),
  headTime: changeLimits({ header_timeout_ms: 400 }),
  bodies: changeLimits({ max_body_bytes: 200 }),
  heads: changeLimits({ max_header_bytes: 1_024 }),
  timeout: changeRoutes({ timeout_ms: shortTimeoutMilliseconds }),
  oneAttempt: changeRoutes({ max_attempts: 1 }),
  priority: changeRoutes({ priority: 3 }),
  oneConnection: document => ({ ...document, backends: document.backends.map(service => ({ ...service, max_conns: 1 })) }),
  organisation: document => ({ ...document, tenants: [] }),
  key: document => ({ ...document, tenants: document.tenants.map(tenant => ({ ...tenant, api_keys: ['other-key'] })) }),
  idempotentRoute: dropRoute('/balance/'),
  service: document => ({ ...dropRoute('/query/')(document), backends: document.backends.filter(({ name }) => name !== 'engines') }),
  split: document => ({ ...document, routes: document.routes.map(route => route.prefix === '/query/' ? route : { ...route, backend: undefined, traffic_split: [{ backend: 'ledger', weight: 1 }, { backend: 'engines', weight: 2 }] }) })
}

function pick<Item> (items: readonly Item[], randomness: Randomness): Item {
  return items[randomness.integerBelow(items.length)] as Item
}

export class ChangingWorld {
  readonly harness: ForwarderHarness
  readonly log: string[] = []
  readonly #randomness: Randomness
  readonly #endpoints: { readonly endpoint: EndpointStandIn, readonly service: 'ledger' | 'engines' }[] = []
  readonly #all: EndpointStandIn[] = []
  readonly #silentUntil = new Map<EndpointStandIn, number>()
  readonly #startedAt = performance.now()
  readonly #stopping = new Set<string>()
  #hosts: readonly string[] = []
  #version = 1
  #reloads = Promise.resolve()

  private constructor (harness: ForwarderHarness, randomness: Randomness) {
    this.harness = harness
    this.#randomness = randomness
  }

  static async start (randomness: Randomness): Promise<ChangingWorld> {
    const world = new ChangingWorld(await ForwarderHarness.start(), randomness)
    for (let index = 0; index < endpointCount; index++) {
      await world.#startEndpoint('ledger')
      await world.#startEndpoint('engines')
    }
    world.#putConfiguration([])
    for (let index = 0; index < gatewayCount; index++) await world.#startGateway()
    return world
  }

  /** The gateways that get new connections. */
  get hosts (): readonly string[] {
    return this.#hosts
  }

  /** Whether a gateway has been told to stop. */
  isStopping (host: string): boolean {
    return this.#stopping.has(host)
  }

  /** How often endpoints got the whole of a request. */
  runsOf (id: string): number {
    return this.#all.reduce((sum, { received }) => sum + received.filter(({ headers }) => headers['attempt-id'] === id).length, 0)
  }

  /** Makes one change after another, or several at once, for a time. */
  async change (milliseconds: number): Promise<void> {
    const begun: Promise<unknown>[] = []
    const actions = [() => this.#reconfigure(), () => this.#reconfigure(), () => this.#reload(), () => this.#silence(), () => this.#replaceEndpoint(), () => this.#readAnew(), () => this.#replaceGateway()]
    for (const endsAt = performance.now() + milliseconds; performance.now() < endsAt;) {
      const count = 1 + this.#randomness.integerBelow(3)
      for (let index = 0; index < count; index++) begun.push(pick(actions, this.#randomness)())
      await pause(this.#randomness.integerBelow(500))
    }
    await Promise.all(begun)
  }

  async close (): Promise<void> {
    await this.harness.close()
  }

  #note (text: string): void {
    this.log.push(`${Math.round(performance.now() - this.#startedAt)} ${text}`)
  }

  async #reconfigure (): Promise<void> {
    const count = this.#randomness.integerBelow(3)
    this.#putConfiguration(Array.from({ length: count }, () => pick(Object.keys(changes), this.#randomness)))
  }

  #putConfiguration (kinds: readonly string[]): void {
    const version = this.#version++
    this.#note(`version ${version}: ${kinds.join(', ')}`)
    const relaxed = changeRoutes({ timeout_ms: longTimeoutMilliseconds, target_latency_ms: 3_000, target_gap_ms: 3_000 })(configurationDocument(version))
    this.harness.store.put('op', 'config', kinds.reduce((document, kind) => changes[kind]!(document), relaxed))
  }

  /** One after the other, since each writes a file. */
  #reload (): Promise<void> {
    this.#reloads = this.#reloads.then(() => this.#reloadNow())
    return this.#reloads
  }

  async #reloadNow (): Promise<void> {
    const host = pick(this.#hosts, this.#randomness)
    this.#note(`reload ${host}`)
    await this.harness.changeBootFile(host, { seeds: this.#randomness.fraction() < 0.5 ? [] : this.#hosts.map(seed => `${seed}:8229`) })
    await this.harness.forwarderAt(host).reload()
  }

  /** An endpoint answers nothing for about a second, and then goes on. */
  async #silence (): Promise<void> {
    const { endpoint } = pick(this.#endpoints, this.#randomness)
    this.#note(`silence ${endpoint.identity}`)
    this.#silentUntil.set(endpoint, performance.now() + 900 + this.#randomness.integerBelow(500))
  }

  /** Another endpoint comes; the leaving one goes on with what it runs. */
  async #replaceEndpoint (): Promise<void> {
    const [leaving] = this.#endpoints.splice(this.#randomness.integerBelow(this.#endpoints.length), 1)
    if (leaving === undefined) return
    const { endpoint, service } = leaving
    this.#note(`replace ${endpoint.identity}`)
    const hasNotice = this.#randomness.fraction() < 0.7
    await this.#startEndpoint(service)
    if (hasNotice) this.harness.store.put('servers', endpoint.identity, endpointDocument(service, endpoint.address, { state: 'draining' }))
    await pause(hasNotice ? 400 : 0)
    this.harness.store.delete('servers', endpoint.identity)
  }

  /** The feed's history is gone, or the store comes back from a copy, so that gateways read the tables anew. */
  async #readAnew (): Promise<void> {
    const { store } = this.harness
    const isRestored = this.#randomness.fraction() < 0.5
    this.#note(isRestored ? 'restore' : 'compact')
    store.copy()
    if (isRestored) store.restoreCopy()
    else store.compact()
  }

  async #replaceGateway (): Promise<void> {
    if (this.#hosts.length < gatewayCount) return
    const [leaving, ...staying] = this.#hosts
    this.#note(`stop ${leaving}`)
    this.#stopping.add(leaving!)
    const stopped = this.harness.stopForwarder(leaving!)
    await pause(this.#randomness.integerBelow(balancerMilliseconds))
    this.#hosts = staying
    await this.#startGateway()
    await stopped
  }

  async #startGateway (): Promise<void> {
    const host = await this.harness.startForwarder({ graceSeconds })
    await this.harness.waitUntilReady(host)
    this.#hosts = [...this.#hosts, host]
  }

  async #startEndpoint (service: 'ledger' | 'engines'): Promise<void> {
    const endpoint = await this.harness.startEndpoint(service, { slots: 100 })
    this.#all.push(endpoint)
    this.#endpoints.push({ endpoint, service })
    const isLimited = this.#randomness.fraction() < 0.5
    const untilHeard = () => pause(Math.max(0, (this.#silentUntil.get(endpoint) ?? 0) - performance.now()))
    endpoint.handleWith(async ({ path, headers }, response) => {
      await untilHeard()
      await pause(this.#randomness.integerBelow(150))
      if (isLimited) response.setHeader('server-limit', announcedLimit)
      if (!path.startsWith('/query/')) {
        response.end('done')
        return
      }
      response.writeHead(200, { 'content-type': 'text/event-stream', confidence: 90 })
      for (let id = Number(headers['last-event-id'] ?? 0) + 1; id <= eventCount; id++) {
        await untilHeard()
        response.write(formatEvent(id))
        await pause(40)
      }
      response.end()
    })
  }
}
