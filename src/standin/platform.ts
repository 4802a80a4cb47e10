/**
 * The platform's stand-in for trials: one process in memory that speaks the same HTTP as the
 * clients of the platform module. It is a single thread, so a transaction is applied within one
 * turn of the event loop and needs no locks.
 *
 * `POST /tables/read|scan|transact`, `GET|PUT /objects/{name}`, `GET /objects?prefix=`,
 * `GET /virtual-machines`, `PUT /virtual-machines/{name}`, `POST /ratings`, `GET /weights/{version}`,
 * `POST /faults`.
 */
import { type Randomness, SystemRandomness } from '../contract/index.ts'
import type { ListedVirtualMachine, RatingRequest, Transaction } from '../store/index.ts'
import { bodyJson, HttpFrame, pause, replyBytes, replyJson, type StandIn, type Visit } from './httpFrame.ts'
import { trueScore } from './marker.ts'
import { MemoryTableService } from './memoryTable.ts'
import { PlatformFaults, PlatformTarget } from './platformFaults.ts'

/** How the platform's stand-in behaves. */
export interface PlatformOptions {
  /** `IP:port`; port 0 takes a free one. */
  readonly listen: string
  readonly randomness?: Randomness
  /** Milliseconds by which the list of VMs lags; 2,000 where it is not given. */
  readonly listLagMilliseconds?: number
  /** Median milliseconds of a rating; 80 where it is not given. */
  readonly ratingMilliseconds?: number
  /** Standard deviation of a rating, in points; 8 where it is not given. */
  readonly ratingNoise?: number
  /** Bytes a second that the weight store hands out to all; 200 MB where it is not given. */
  readonly weightBytesPerSecond?: number
  /** Bytes of one version's weights; 1 MB where it is not given. */
  readonly weightBytes?: number
}

interface ListedChange {
  readonly visibleAt: number
  readonly machine: ListedVirtualMachine | undefined
  readonly name: string
}

const defaultListLagMilliseconds = 2_000
const defaultRatingMilliseconds = 80
const ratingSpread = 0.7
const defaultRatingNoise = 8
const defaultWeightBytesPerSecond = 200_000_000
const defaultWeightBytes = 1_000_000
const greatestRating = 100
const binaryType = 'application/octet-stream'

/**
 * Starts a platform.
 *
 * @example
 * const platform = await startPlatform({ listen: '127.0.0.1:0' })
 * const table = new HttpTableService({ address: platform.address, timeoutMilliseconds: 2_000 })
 */
export async function startPlatform (options: PlatformOptions): Promise<StandIn> {
  const platform = new Platform(options)
  const frame = new HttpFrame(visit => platform.answer(visit))
  await frame.listen(options.listen)
  return frame
}

class Platform {
  readonly #options: PlatformOptions
  readonly #randomness: Randomness
  readonly #table = new MemoryTableService()
  readonly #objects = new Map<string, Buffer>()
  readonly #faults = new PlatformFaults()
  #changes: ListedChange[] = []
  readonly #machines = new Map<string, ListedVirtualMachine>()
  #weightsFreeAt = 0

  constructor (options: PlatformOptions) {
    this.#options = options
    this.#randomness = options.randomness ?? new SystemRandomness()
  }

  async answer (visit: Visit): Promise<void> {
    const [service, name] = visit.path
    if (service === 'faults') {
      this.#faults.order(bodyJson(visit))
      return replyJson(visit, 200, {})
    }
    if (service === PlatformTarget.VirtualMachines && visit.method !== 'GET') return this.#listMachine(visit, name ?? '')
    await this.#faults.run(service ?? '', visit, reached => this.#serve(reached, service ?? '', name))
  }

  async #serve (visit: Visit, service: string, name: string | undefined): Promise<void> {
    if (service === PlatformTarget.Tables) return this.#tables(visit, name ?? '')
    if (service === PlatformTarget.Objects) return this.#objectsOf(visit, name)
    if (service === PlatformTarget.VirtualMachines) return replyJson(visit, 200, { machines: this.#visibleMachines() })
    if (service === PlatformTarget.Ratings) return this.#rate(visit)
    if (service === PlatformTarget.Weights) return this.#weights(visit)
    replyJson(visit, 404, { error: 'no such service' })
  }

  async #tables (visit: Visit, action: string): Promise<void> {
    const question = bodyJson(visit) as { table: string, key: string, range: { prefix: string } }
    if (action === 'read') {
      const row = (await this.#table.read(question.table, question.key)).unwrap()
      return replyJson(visit, 200, { row: row ?? null })
    }
    if (action === 'scan') {
      const page = (await this.#table.scan(question.table, question.range)).unwrap()
      return replyJson(visit, 200, page)
    }
    const commit = this.#table.apply(bodyJson(visit) as Transaction)
    replyJson(visit, 200, { commit })
  }

  #objectsOf (visit: Visit, name: string | undefined): void {
    if (name === undefined) {
      const prefix = visit.query.get('prefix') ?? ''
      const names = [...this.#objects.keys()].filter(key => key.startsWith(prefix)).sort()
      return replyJson(visit, 200, { names })
    }
    if (visit.method === 'PUT') {
      this.#objects.set(name, visit.body)
      return replyJson(visit, 200, {})
    }
    const content = this.#objects.get(name)
    if (content === undefined) return replyJson(visit, 404, {})
    replyBytes(visit, 200, binaryType, content)
  }

  /** A trial sets an entry (PUT) or removes it (DELETE); readers see it after the lag. */
  #listMachine (visit: Visit, name: string): void {
    const lag = this.#options.listLagMilliseconds ?? defaultListLagMilliseconds
    const entry = bodyJson(visit) as Omit<ListedVirtualMachine, 'name'>
    const machine = visit.method === 'DELETE' ? undefined : { ...entry, name, leaving: entry.leaving ?? false }
    this.#changes.push({ visibleAt: Date.now() + lag, machine, name })
    replyJson(visit, 200, {})
  }

  #visibleMachines (): ListedVirtualMachine[] {
    const now = Date.now()
    const visible = this.#changes.filter(change => change.visibleAt <= now)
    this.#changes = this.#changes.filter(change => change.visibleAt > now)
    for (const { name, machine } of visible) {
      if (machine === undefined) this.#machines.delete(name)
      else this.#machines.set(name, machine)
    }
    return [...this.#machines.values()]
  }

  async #rate (visit: Visit): Promise<void> {
    const request = bodyJson(visit) as RatingRequest
    const median = this.#options.ratingMilliseconds ?? defaultRatingMilliseconds
    await pause(median * Math.exp(ratingSpread * this.#randomness.normal()))
    const noise = (this.#options.ratingNoise ?? defaultRatingNoise) * this.#randomness.normal()
    const rating = trueScore(request.prompt, request.answer) + noise
    replyJson(visit, 200, { rating: Math.min(greatestRating, Math.max(0, rating)) })
  }

  /** All downloads share one rate; each waits for those that were asked for before it. */
  async #weights (visit: Visit): Promise<void> {
    const bytes = this.#options.weightBytes ?? defaultWeightBytes
    const rate = this.#options.weightBytesPerSecond ?? defaultWeightBytesPerSecond
    const startsAt = Math.max(Date.now(), this.#weightsFreeAt)
    this.#weightsFreeAt = startsAt + bytes / rate * 1_000
    await pause(this.#weightsFreeAt - Date.now())
    replyBytes(visit, 200, binaryType, Buffer.alloc(bytes))
  }
}
