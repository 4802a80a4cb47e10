/**
 * Exchanges state between data centres. Two daemons of each data centre, selected by rendezvous hashing,
 * request a digest from one daemon of every other: leaving or failing members and endpoints every second,
 * everything at longer intervals, so that the narrow link between regions carries it once or twice instead
 * of once per daemon. They broadcast what is new in their own data centre. The same request initialises a
 * daemon that starts up, and at times repairs updates that were lost within a data centre.
 */
import { type Clock, type Randomness, rendezvousOrder } from '../contract/index.ts'
import type { Link, LinkIdentity, Peer } from '../link/index.ts'
import { decodeEndpointRow, encodeEndpointRow, type VersionListCache } from './endpointRow.ts'
import type { EndpointTable } from './endpointTable.ts'
import { aliveRecord, decodeMemberRow, encodeMemberRow } from './memberRecord.ts'
import type { MemberTable } from './memberTable.ts'
import { type Digest, digestRequest } from './messages.ts'
import type { BroadcastTree } from './broadcastTree.ts'
import { shuffled } from './shuffled.ts'

const digestIntervalMilliseconds = 1_000
const requestersPerDataCentre = 2
const roundsPerFullDigest = 20
const roundsPerLocalDigest = 60
const digestTimeoutMilliseconds = 900
/** How long digests include a daemon after its death, in milliseconds. */
const recentlyDeadMilliseconds = 60_000

export interface DigestExchangeOptions {
  readonly link: Link
  readonly clock: Clock
  readonly randomness: Randomness
  readonly members: MemberTable
  readonly endpoints: EndpointTable
  readonly versionLists: VersionListCache
  readonly broadcastTree: BroadcastTree
  /** The data centre of an endpoint; undefined if the settings don't name it. */
  readonly dataCentreOf: (endpoint: string) => string | undefined
}

export class DigestExchange {
  readonly #options: DigestExchangeOptions
  #cachedRole: { readonly ring: readonly LinkIdentity[], readonly isRequester: boolean } | undefined

  constructor (options: DigestExchangeOptions) {
    this.#options = options
    options.link.handle(digestRequest, async ({ whole }, from) => this.#handleRequest(whole, from))
  }

  async run (stopping: AbortSignal): Promise<void> {
    const { clock, randomness } = this.#options
    // A random first round keeps daemons that start together from requesting full digests together.
    let round = randomness.integerBelow(roundsPerLocalDigest)
    while (!stopping.aborted) {
      await clock.sleep(digestIntervalMilliseconds * (0.9 + 0.2 * randomness.fraction()), stopping)
      round += 1
      if (this.#isRequester()) await this.#requestFromOtherDataCentres(round % roundsPerFullDigest === 0)
      if (round % roundsPerLocalDigest === 0) await this.#requestFromLocalMember()
    }
  }

  /**
   * Requests a daemon's full state.
   *
   * @returns false if it does not answer
   */
  async synchronizeWith (peer: Peer): Promise<boolean> {
    return this.#requestFrom(peer, true, false)
  }

  async #requestFromOtherDataCentres (isFull: boolean): Promise<void> {
    const peers = [...this.#remoteMembersByDataCentre().values()].flatMap(group => shuffled(group, this.#options.randomness).slice(0, 1))
    await Promise.all(peers.map(contact => this.#requestFrom(contact, isFull, true)))
  }

  async #requestFromLocalMember (): Promise<void> {
    const others = this.#options.members.ring().filter(member => member.name !== this.#options.link.self.name)
    const [peer] = shuffled(others, this.#options.randomness)
    if (peer !== undefined) await this.#requestFrom(peer, true, false)
  }

  async #requestFrom (peer: Peer, isFull: boolean, shouldBroadcast: boolean): Promise<boolean> {
    const { endpoints, link, versionLists, members, broadcastTree } = this.#options
    const digest = await link.request(peer, digestRequest, { whole: isFull }, digestTimeoutMilliseconds)
    if (digest.err) return false
    for (const row of digest.val.members) members.merge(decodeMemberRow(row))
    for (const row of digest.val.endpoints) {
      const incoming = decodeEndpointRow(row, versionLists)
      const previousVersions = endpoints.record(incoming.name)?.report?.versions
      // The other daemons already have any version list that this daemon had.
      if (endpoints.merge(incoming) && shouldBroadcast) broadcastTree.broadcast(incoming.name, incoming.report?.versions !== previousVersions)
    }
    return true
  }

  #handleRequest (isFull: boolean, requester: LinkIdentity): Digest {
    const { endpoints, versionLists, members } = this.#options
    members.merge(aliveRecord(requester))
    if (!isFull) {
      return {
        members: members.leavingOrRecentlyDead(recentlyDeadMilliseconds).filter(record => this.#isLocal(record.identity)).map(encodeMemberRow),
        endpoints: endpoints.leavingOrUnhealthy().map(record => encodeEndpointRow(record, versionLists, true))
      }
    }
    const isLocalRequester = this.#isLocal(requester)
    return {
      members: members.records().filter(record => isLocalRequester || this.#isLocal(record.identity)).map(encodeMemberRow),
      endpoints: endpoints.records().filter(record => isLocalRequester || this.#isLocalEndpoint(record.name)).map(record => encodeEndpointRow(record, versionLists, true))
    }
  }

  /** Cached until the members change. */
  #isRequester (): boolean {
    const { link, members } = this.#options
    const ring = members.ring()
    if (this.#cachedRole?.ring === ring) return this.#cachedRole.isRequester
    const order = rendezvousOrder('digest reporter', ring.map(member => member.name))
    this.#cachedRole = { ring, isRequester: order.slice(0, requestersPerDataCentre).includes(link.self.name) }
    return this.#cachedRole.isRequester
  }

  #remoteMembersByDataCentre (): Map<string, Peer[]> {
    const groups = new Map<string, Peer[]>()
    for (const view of this.#options.members.views()) {
      if (this.#isLocal(view)) continue
      const group = groups.get(view.place.dataCentre) ?? []
      group.push(view)
      groups.set(view.place.dataCentre, group)
    }
    return groups
  }

  #isLocal (identity: Pick<LinkIdentity, 'place'>): boolean {
    return identity.place.dataCentre === this.#options.link.self.place.dataCentre
  }

  #isLocalEndpoint (name: string): boolean {
    return this.#options.dataCentreOf(name) === this.#options.link.self.place.dataCentre
  }
}
