/**
 * Brings entries to the store. The entries of a data centre go through one collector for each lane,
 * chosen by rendezvous hashing over the members, so the store gets a few transactions a second from a
 * data centre whatever its traffic. A collector is no one's master: when it can't be reached, a daemon
 * writes the lane itself, and the watermark keeps two writers from writing an entry twice.
 */
import { type Clock, rendezvousOrder } from '../contract/index.ts'
import type { Link } from '../link/index.ts'
import type { TableService } from '../store/index.ts'
import type { LedgerMember } from './contract.ts'
import { lanesPerDataCentre } from './lane.ts'
import { LaneWriter } from './laneWriter.ts'
import { billHandIn } from './messages.ts'
import { type NumberedEntry, packEntries, unpackEntries } from './packedEntries.ts'

/** Transactions a second that all lanes of all data centres may send together. */
const maximumTransactionsPerSecond = 100

/** Longer than a collector waits for the store. */
const handInTimeoutMilliseconds = 1_500

/** How long a collector that did not reply is passed over. */
const collectorBackoffMilliseconds = 5_000

/** What collectors work with. */
export interface CollectorsOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly link: Link
  /** The daemons known now, without the dead; asked at each use. */
  readonly members: () => readonly LedgerMember[]
}

/** The ways from one daemon to the store. */
export class Collectors {
  readonly #options: CollectorsOptions
  readonly #writers = new Map<string, LaneWriter>()
  readonly #backoffUntil = new Map<string, number>()
  readonly #cachedChoices = new Map<string, { readonly candidateNames: string, readonly name: string | undefined }>()

  constructor (options: CollectorsOptions) {
    this.#options = options
    options.link.handle(billHandIn, async body => ({ isDurable: await this.#writerOf(body.lane).append(unpackEntries(body.entries), body.isProbe) }))
  }

  /** Transactions that this daemon sent. */
  get transactions (): number {
    return [...this.#writers.values()].reduce((sum, writer) => sum + writer.transactions, 0)
  }

  /**
   * Writes entries of a lane.
   *
   * @returns whether they are known to be in the store; false leaves it open
   * @example
   * const durable = await collectors.deliver(lane, items, false)
   */
  async write (lane: string, items: readonly NumberedEntry[], isProbe: boolean): Promise<boolean> {
    const collector = this.#collectorOf(lane)
    if (collector === undefined) return this.#writerOf(lane).append(items, isProbe)
    const reply = await this.#options.link.request(collector, billHandIn, { lane, entries: packEntries(items), isProbe }, handInTimeoutMilliseconds)
    if (reply.ok) return reply.val.isDurable
    this.#backoffUntil.set(collector.name, this.#options.clock.now() + collectorBackoffMilliseconds)
    return this.#writerOf(lane).append(items, isProbe)
  }

  /** Undefined where this daemon writes the lane itself. */
  #collectorOf (lane: string): LedgerMember | undefined {
    const self = this.#options.link.self
    if (!lane.startsWith(`${self.place.dataCentre}/`)) return undefined
    const candidates = this.#options.members().filter(member => this.#isCandidate(member))
    const preferred = this.#preferredCollector(lane, [self.name, ...candidates.map(member => member.name)])
    return candidates.find(member => member.name === preferred)
  }

  /** Hashing every member for every message would cost more than the message: the choice is kept while it lasts. */
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

  /** All lanes of all data centres share the writes that billing may send to the store. */
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
