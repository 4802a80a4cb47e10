/**
 * A stand-in for the platform: an in-memory server with the HTTP interface that the platform clients
 * of the store module use. It runs on a single thread and applies each transaction within one turn of
 * the event loop, so it needs no locks.
 *
 * `POST /tables/read|scan|transact`, `GET|PUT /objects/{name}`, `GET /objects?prefix=`,
 * `GET /virtual-machines`, `PUT /virtual-machines/{name}`, `POST /ratings`, `GET /weights/{version}`,
 * `POST /faults`.
 */
import { type Randomness, SystemRandomness } from '../contract/index.ts'
import type { ListedVirtualMachine, RatingRequest, Transaction } from '../store/index.ts'
import { parseJsonBody, StandInServer, sleep, replyBytes, replyJson, type StandIn, type HttpExchange } from './standInServer.ts'
import { trueScore } from './textProtocol.ts'
import { MemoryTableService } from './memoryTable.ts'
import { PlatformFaults, PlatformTarget } from './platformFaults.ts'

export interface PlatformOptions {
  /** `IP:port`; port 0 selects a free port. */
  readonly listen: string
  readonly randomness?: Randomness
  /** Milliseconds until a change of the VM list becomes visible; 2,000 by default. */
  readonly listLagMilliseconds?: number
  /** Median latency of a rating in milliseconds; 80 by default. */
  readonly medianRatingMilliseconds?: number
  /** Standard deviation of a rating, in points; 8 by default. */
  readonly ratingNoise?: number
  /** Total download rate of the weight store in bytes per second; 200 MB by default. */
  readonly weightBytesPerSecond?: number
  /** Size of one version's weights in bytes; 1 MB by default. */
  readonly weightBytes?: number
}

interface PendingListChange {
  readonly visibleAt: number
  readonly machine: ListedVirtualMachine | undefined
  readonly name: string
}

const defaultListLagMilliseconds = 2_000
const defaultMedianRatingMilliseconds = 80
const ratingLatencyLogSigma = 0.7
const defaultRatingNoise = 8
const defaultWeightBytesPerSecond = 200_000_000
const defaultWeightBytes = 1_000_000
const maximumRating = 100
const binaryType = 'application/octet-stream'

/**
 * Starts a platform stand-in.
 *
 * @example
 * const platform = await startPlatform({ listen: '127.0.0.1:0' })
 * const table = new HttpTableService({ clock, address: platform.address, timeoutMilliseconds: 2_000 })
 */
export async function startPlatform (options: PlatformOptions): Promise<StandIn> {
  const platform = new Platform(options)
  const server = new StandInServer(exchange => platform.handle(exchange))
  await server.listen(options.listen)
  return server
}

class Platform {
  readonly #options: PlatformOptions
  readonly #randomness: Randomness
  readonly #tableService = new MemoryTableService()
  readonly #objects = new Map<string, Buffer>()
  readonly #faults = new PlatformFaults()
  #pendingChanges: PendingListChange[] = []
  readonly #machines = new Map<string, ListedVirtualMachine>()
  #weightBandwidthFreeAt = 0

  constructor (options: PlatformOptions) {
    this.#options = options
    this.#randomness = options.randomness ?? new SystemRandomness()
  }

  async handle (exchange: HttpExchange): Promise<void> {
    const [service, name] = exchange.path
    if (service === 'faults') {
      this.#faults.apply(parseJsonBody(exchange))
      return replyJson(exchange, 200, {})
    }
    if (service === PlatformTarget.VirtualMachines && exchange.method !== 'GET') return this.#changeMachine(exchange, name ?? '')
    await this.#faults.serveWithFault(service ?? '', exchange, delivered => this.#serve(delivered, service ?? '', name))
  }

  async #serve (exchange: HttpExchange, service: string, name: string | undefined): Promise<void> {
    if (service === PlatformTarget.Tables) return this.#handleTables(exchange, name ?? '')
    if (service === PlatformTarget.Objects) return this.#handleObjects(exchange, name)
    if (service === PlatformTarget.VirtualMachines) return replyJson(exchange, 200, { machines: this.#visibleMachines() })
    if (service === PlatformTarget.Ratings) return this.#handleRating(exchange)
    if (service === PlatformTarget.Weights) return this.#handleWeights(exchange)
    replyJson(exchange, 404, { error: 'no such service' })
  }

  async #handleTables (exchange: HttpExchange, action: string): Promise<void> {
    const request = parseJsonBody(exchange) as { table: string, key: string, range: { prefix: string } }
    if (action === 'read') {
      const row = (await this.#tableService.read(request.table, request.key)).unwrap()
      return replyJson(exchange, 200, { row: row ?? null })
    }
    if (action === 'scan') {
      const page = (await this.#tableService.scan(request.table, request.range)).unwrap()
      return replyJson(exchange, 200, page)
    }
    const commit = this.#tableService.apply(parseJsonBody(exchange) as Transaction)
    replyJson(exchange, 200, { commit })
  }

  #handleObjects (exchange: HttpExchange, name: string | undefined): void {
    if (name === undefined) {
      const prefix = exchange.query.get('prefix') ?? ''
      const names = [...this.#objects.keys()].filter(key => key.startsWith(prefix)).sort()
      return replyJson(exchange, 200, { names })
    }
    if (exchange.method === 'PUT') {
      this.#objects.set(name, exchange.body)
      return replyJson(exchange, 200, {})
    }
    const content = this.#objects.get(name)
    if (content === undefined) return replyJson(exchange, 404, {})
    replyBytes(exchange, 200, binaryType, content)
  }

  /** Sets (PUT) or removes (DELETE) an entry of the VM list; readers see the change after the list's lag. */
  #changeMachine (exchange: HttpExchange, name: string): void {
    const lagMilliseconds = this.#options.listLagMilliseconds ?? defaultListLagMilliseconds
    const entry = parseJsonBody(exchange) as Omit<ListedVirtualMachine, 'name'>
    const machine = exchange.method === 'DELETE' ? undefined : { ...entry, name, leaving: entry.leaving ?? false }
    this.#pendingChanges.push({ visibleAt: Date.now() + lagMilliseconds, machine, name })
    replyJson(exchange, 200, {})
  }

  #visibleMachines (): ListedVirtualMachine[] {
    const now = Date.now()
    const visible = this.#pendingChanges.filter(change => change.visibleAt <= now)
    this.#pendingChanges = this.#pendingChanges.filter(change => change.visibleAt > now)
    for (const { name, machine } of visible) {
      if (machine === undefined) this.#machines.delete(name)
      else this.#machines.set(name, machine)
    }
    return [...this.#machines.values()]
  }

  async #handleRating (exchange: HttpExchange): Promise<void> {
    const request = parseJsonBody(exchange) as RatingRequest
    const medianMilliseconds = this.#options.medianRatingMilliseconds ?? defaultMedianRatingMilliseconds
    await sleep(medianMilliseconds * Math.exp(ratingLatencyLogSigma * this.#randomness.standardNormal()))
    const noise = (this.#options.ratingNoise ?? defaultRatingNoise) * this.#randomness.standardNormal()
    const rating = trueScore(request.prompt, request.answer) + noise
    replyJson(exchange, 200, { rating: Math.min(maximumRating, Math.max(0, rating)) })
  }

  /** All downloads share one rate and are served in the order of the requests. */
  async #handleWeights (exchange: HttpExchange): Promise<void> {
    const bytes = this.#options.weightBytes ?? defaultWeightBytes
    const bytesPerSecond = this.#options.weightBytesPerSecond ?? defaultWeightBytesPerSecond
    const startsAt = Math.max(Date.now(), this.#weightBandwidthFreeAt)
    this.#weightBandwidthFreeAt = startsAt + bytes / bytesPerSecond * 1_000
    await sleep(this.#weightBandwidthFreeAt - Date.now())
    replyBytes(exchange, 200, binaryType, Buffer.alloc(bytes))
  }
}
