/**
 * What data centres tell each other. Two daemons of each data centre, by rendezvous order, ask one
 * daemon of every other for a digest: what is leaving or failing each second, everything now and
 * then, so that the narrow link between regions carries it once or twice rather than once a daemon.
 * What is new they tell in their own data centre. The same question brings a daemon that starts up
 * to date, and now and then makes up for news that was lost within a data centre.
 */
import { type Clock, type Randomness, rendezvousOrder } from '../contract/index.ts'
import type { Link, LinkIdentity, Peer } from '../link/index.ts'
import { endpointRecordOf, endpointRowOf, type VersionLists } from './endpointRow.ts'
import type { EndpointTable } from './endpointTable.ts'
import { aliveRecord, memberRecordOf, memberRowOf } from './memberRecord.ts'
import type { MemberTable } from './memberTable.ts'
import { type Digest, digestQuestion } from './messages.ts'
import type { NewsTree } from './newsTree.ts'
import { shuffled } from './shuffled.ts'

const periodMilliseconds = 1_000
const reporterCount = 2
const roundsPerWholeDigest = 20
const roundsPerOwnDigest = 60
const digestTimeoutMilliseconds = 900
/** How long the dead are told of, milliseconds. */
const tellOfDeadMilliseconds = 60_000

/** What `Digests` are made of. */
export interface DigestParts {
  readonly link: Link
  readonly clock: Clock
  readonly randomness: Randomness
  readonly members: MemberTable
  readonly endpoints: EndpointTable
  readonly lists: VersionLists
  readonly news: NewsTree
  /** The data centre of an endpoint; undefined where the settings don't name it. */
  readonly dataCentreOf: (endpoint: string) => string | undefined
}

export class Digests {
  readonly #parts: DigestParts
  #duty: { readonly ring: readonly LinkIdentity[], readonly isReporter: boolean } | undefined

  constructor (parts: DigestParts) {
    this.#parts = parts
    parts.link.handle(digestQuestion, async ({ whole }, from) => this.#answer(whole, from))
  }

  async run (stopping: AbortSignal): Promise<void> {
    const { clock, randomness } = this.#parts
    // Daemons that start together do not ask for everything together.
    let round = randomness.below(roundsPerOwnDigest)
    while (!stopping.aborted) {
      await clock.sleep(periodMilliseconds * (0.9 + 0.2 * randomness.fraction()), stopping)
      round += 1
      if (this.#isReporter()) await this.#askOthers(round % roundsPerWholeDigest === 0)
      if (round % roundsPerOwnDigest === 0) await this.#askNeighbour()
    }
  }

  /**
   * Asks a daemon for everything it knows.
   *
   * @returns false where it does not answer
   */
  async introduce (peer: Peer): Promise<boolean> {
    return this.#ask(peer, true, false)
  }

  async #askOthers (whole: boolean): Promise<void> {
    const contacts = [...this.#otherDataCentres().values()].flatMap(group => shuffled(group, this.#parts.randomness).slice(0, 1))
    await Promise.all(contacts.map(contact => this.#ask(contact, whole, true)))
  }

  async #askNeighbour (): Promise<void> {
    const others = this.#parts.members.ring().filter(member => member.name !== this.#parts.link.self.name)
    const [neighbour] = shuffled(others, this.#parts.randomness)
    if (neighbour !== undefined) await this.#ask(neighbour, true, false)
  }

  async #ask (peer: Peer, whole: boolean, tellsOn: boolean): Promise<boolean> {
    const { endpoints, link, lists, members, news } = this.#parts
    const digest = await link.request(peer, digestQuestion, { whole }, digestTimeoutMilliseconds)
    if (digest.err) return false
    for (const row of digest.val.members) members.merge(memberRecordOf(row))
    for (const row of digest.val.endpoints) {
      const told = endpointRecordOf(row, lists)
      const earlier = endpoints.record(told.name)?.report?.versions
      // The others have met a list of versions that this daemon had already.
      if (endpoints.merge(told) && tellsOn) news.tell(told.name, told.report?.versions !== earlier)
    }
    return true
  }

  #answer (whole: boolean, from: LinkIdentity): Digest {
    const { endpoints, lists, members } = this.#parts
    members.merge(aliveRecord(from))
    if (!whole) {
      return {
        members: members.departing(tellOfDeadMilliseconds).filter(record => this.#isOwn(record.identity)).map(memberRowOf),
        endpoints: endpoints.troubled().map(record => endpointRowOf(record, lists, true))
      }
    }
    const isNeighbour = this.#isOwn(from)
    return {
      members: members.records().filter(record => isNeighbour || this.#isOwn(record.identity)).map(memberRowOf),
      endpoints: endpoints.records().filter(record => isNeighbour || this.#isOwnEndpoint(record.name)).map(record => endpointRowOf(record, lists, true))
    }
  }

  /** Worked out anew when the members change. */
  #isReporter (): boolean {
    const { link, members } = this.#parts
    const ring = members.ring()
    if (this.#duty?.ring === ring) return this.#duty.isReporter
    const order = rendezvousOrder('digest reporter', ring.map(member => member.name))
    this.#duty = { ring, isReporter: order.slice(0, reporterCount).includes(link.self.name) }
    return this.#duty.isReporter
  }

  #otherDataCentres (): Map<string, Peer[]> {
    const groups = new Map<string, Peer[]>()
    for (const view of this.#parts.members.views()) {
      if (this.#isOwn(view)) continue
      const group = groups.get(view.place.dataCentre) ?? []
      group.push(view)
      groups.set(view.place.dataCentre, group)
    }
    return groups
  }

  #isOwn (identity: Pick<LinkIdentity, 'place'>): boolean {
    return identity.place.dataCentre === this.#parts.link.self.place.dataCentre
  }

  #isOwnEndpoint (name: string): boolean {
    return this.#parts.dataCentreOf(name) === this.#parts.link.self.place.dataCentre
  }
}
