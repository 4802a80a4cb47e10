/**
 * Routes entries to the store. Each lane of a data centre has one collector, chosen by rendezvous hashing
 * over the members, so the store receives a few transactions per second from a data centre regardless of
 * its traffic. A collector holds no exclusive right: when it is unreachable, a daemon writes the lane
 * itself, and the watermark prevents two writers from writing an entry twice.
 */
import { type Clock, rendezvousOrder } from '../contract/index.ts'
import type { Link } from '../link/index.ts'
import type { TableService } from '../store/index.ts'
import type { LedgerMember } from './contract.ts'
import { lanesPerDataCentre } from './lane.ts'
import { LaneWriter } from './laneWriter.ts'
import { billHandIn } from './messages.ts'
import { type NumberedEntry, packEntries, unpackEntries } from './packedEntries.ts'

/** Transactions per second shared by all lanes of all data centres. */
const maximumTransactionsPerSecond = 100

/** Longer than the time a collector waits for the store. */
const handInTimeoutMilliseconds = 1_500

/** How long a collector that did not reply is skipped. */
const collectorBackoffMilliseconds = 5_000

export interface CollectorsOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly link: Link
  /** Returns the current members, excluding dead ones; called for each use. */
  readonly members: () => readonly LedgerMember[]
}

/** Writes entries through their lane's collector, or directly if it is unreachable. */
export class Collectors {
  readonly #options: CollectorsOptions
  readonly #writers = new Map<string, LaneWriter>()
  readonly #backoffUntil = new Map<string, number>()
  readonly #cachedChoices = new Map<string, { readonly candidateNames: string, readonly name: string | undefined }>()

  constructor (options: CollectorsOptions) {
    this.#options = options
    options.link.handle(billHandIn, async body => ({ isDurable: await this.#writerOf(body.lane).append(unpackEntries(body.entries), body.isProbe) }))
  }

  /** Number of transactions sent by this daemon. */
  get transactions (): number {
    return [...this.#writers.values()].reduce((sum, writer) => sum + writer.transactions, 0)
  }

  /**
   * Writes entries of a lane.
   *
   * @returns true if the entries are known to be in the store; false means unknown
   * @example
   * const durable = await collectors.write(lane, items, false)
   */
  async write (lane: string, items: readonly NumberedEntry[], isProbe: boolean): Promise<boolean> {
    const collector = this.#collectorOf(lane)
    if (collector === undefined) return this.#writerOf(lane).append(items, isProbe)
    const reply = await this.#options.link.request(collector, billHandIn, { lane, entries: packEntries(items), isProbe }, handInTimeoutMilliseconds)
    if (reply.ok) return reply.val.isDurable
    this.#backoffUntil.set(collector.name, this.#options.clock.now() + collectorBackoffMilliseconds)
    return this.#writerOf(lane).append(items, isProbe)
  }

  /** Returns undefined if this daemon writes the lane itself. */
  #collectorOf (lane: string): LedgerMember | undefined {
    const self = this.#options.link.self
    if (!lane.startsWith(`${self.place.dataCentre}/`)) return undefined
    const candidates = this.#options.members().filter(member => this.#isCandidate(member))
    const preferred = this.#preferredCollector(lane, [self.name, ...candidates.map(member => member.name)])
    return candidates.find(member => member.name === preferred)
  }

  /** Caches the choice until the candidates change: hashing every member for every message would cost more than the message. */
  #preferredCollector (lane: string, names: readonly string[]): string | undefined {
    const joinedNames = names.join(' ')
    const cached = this.#cachedChoices.get(lane)
    if (cached?.candidateNames === joinedNames) return cached.name
    const [name] = rendezvousOrder(lane, names)
    this.#cachedChoices.set(lane, { candidateNames: joinedNames, name })
    return name
  }

  #isCandidate (member: LedgerMember): boolean {
    const self = this.#options.link.self
    if (member.name === self.name || member.state !== 'alive') return false
    if (member.place.dataCentre !== self.place.dataCentre) return false
    return this.#options.clock.now() >= (this.#backoffUntil.get(member.name) ?? 0)
  }

  /** Divides the store's transaction budget for billing among all lanes of all data centres. */
  #transactionIntervalMilliseconds (): number {
    const { link, members } = this.#options
    const dataCentres = new Set([link.self.place.dataCentre, ...members().map(member => member.place.dataCentre)])
    return dataCentres.size * lanesPerDataCentre * 1_000 / maximumTransactionsPerSecond
  }

  #writerOf (lane: string): LaneWriter {
    const writer = this.#writers.get(lane) ?? new LaneWriter(lane, this.#options.table, this.#options.clock, () => this.#transactionIntervalMilliseconds())
    this.#writers.set(lane, writer)
    return writer
  }
}
