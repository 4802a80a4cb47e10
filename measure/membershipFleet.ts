/** Runs links, memberships and settings followers of many daemons in one process over loopback, for measurements. */
import { EndpointKind, type EndpointDescription, type LoadReport, Ok, SystemClock, SystemRandomness } from '../src/contract/index.ts'
import { SettingsFollower, TableSettingsRepository } from '../src/distribution/index.ts'
import { type Link, type LinkIdentity, type MessageType, type Peer, TcpLink } from '../src/link/index.ts'
import { GossipMembership } from '../src/membership/index.ts'
import type { ListedVirtualMachine } from '../src/store/index.ts'
import { MemoryTableService } from '../src/standin/index.ts'

/** The size of a data centre. */
export interface DataCentreSize {
  readonly name: string
  readonly members: number
  readonly runners: number
}

/** Counts the requests that a daemon sends. */
class CountingLink implements Link {
  readonly self: LinkIdentity
  requestCount = 0
  readonly #link: TcpLink

  constructor (link: TcpLink) {
    this.self = link.self
    this.#link = link
  }

  connect (peer: Peer, timeoutMilliseconds: number): Promise<void> {
    return this.#link.connect(peer, timeoutMilliseconds)
  }

  async request<Body, Reply> (peer: Peer, type: MessageType<Body, Reply>, body: Body, timeoutMilliseconds: number) {
    this.requestCount += 1
    return this.#link.request(peer, type, body, timeoutMilliseconds)
  }

  handle<Body, Reply> (type: MessageType<Body, Reply>, handler: (body: Body, from: LinkIdentity) => Promise<Reply>): void {
    this.#link.handle(type, handler)
  }
}

/** The control components of one daemon. */
export interface MeasuredDaemon {
  readonly dataCentre: string
  readonly link: TcpLink
  readonly countingLink: CountingLink
  readonly membership: GossipMembership
  readonly follower: SettingsFollower
}

const secret = 'a secret for measurements'
/** Each daemon has a loopback address of its own, so that ports in use by other programs do not conflict. */
const loopbackNetwork = '127.77.0'
const port = 7_300
const startedAtMilliseconds = 1_790_000_000_000

export class MeasuredFleet {
  readonly clock = new SystemClock()
  readonly table = new MemoryTableService()
  readonly repository: TableSettingsRepository
  readonly daemons: readonly MeasuredDaemon[]
  readonly #virtualMachines: readonly ListedVirtualMachine[]
  readonly #endpoints: readonly EndpointDescription[]

  /**
   * @param partition index of the partition of daemons to run here, and the number of partitions; the others run elsewhere
   */
  constructor (sizes: readonly DataCentreSize[], partition = { index: 0, count: 1 }) {
    this.repository = this.#newRepository()
    const identities = sizes.flatMap(size => Array.from({ length: size.members }, (_, index) => identityOf(size.name, index)))
      .map((identity, index) => ({ ...identity, address: `${loopbackNetwork}.${index + 1}:${port}` }))
    this.#virtualMachines = identities.map(identity => ({ name: identity.name, address: identity.address, ...identity.place, leaving: false }))
    this.#endpoints = sizes.flatMap(size => Array.from({ length: size.runners }, (_, index) => engineOf(size.name, index)))
    this.daemons = identities.filter((_, index) => index % partition.count === partition.index).map(identity => this.#createDaemon(identity))
  }

  async start (): Promise<void> {
    for (const { link, membership, follower } of this.daemons) {
      const bound = await link.listen(link.self.address)
      if (bound.err) throw new Error(bound.val.reason)
      membership.start()
      follower.start()
    }
  }

  async stop (): Promise<void> {
    await Promise.all(this.daemons.flatMap(daemon => [daemon.follower.stop(), daemon.membership.stop()]))
    await Promise.all(this.daemons.map(daemon => daemon.link.close()))
  }

  #createDaemon (identity: LinkIdentity): MeasuredDaemon {
    const randomness = new SystemRandomness()
    const link = new TcpLink({ identity, secret, clock: this.clock })
    const countingLink = new CountingLink(link)
    const membership = new GossipMembership({
      link: countingLink,
      clock: this.clock,
      randomness,
      virtualMachines: { read: async () => Ok(this.#virtualMachines) },
      engines: { report: async endpoint => Ok(this.#report(endpoint)) },
      endpoints: () => this.#endpoints
    })
    const follower = new SettingsFollower({ repository: this.#newRepository(), link: countingLink, clock: this.clock, randomness, members: () => membership.members() })
    return { dataCentre: identity.place.dataCentre, link, countingLink, membership, follower }
  }

  #newRepository (): TableSettingsRepository {
    return new TableSettingsRepository({ table: this.table, clock: this.clock, randomness: new SystemRandomness() })
  }

  #report (endpoint: EndpointDescription): LoadReport {
    return {
      at: this.clock.now(),
      incarnation: startedAtMilliseconds,
      versions: endpoint.versions,
      running: Math.floor(Math.random() * 128),
      queued: Math.floor(Math.random() * 20),
      queuedPromptTokens: Math.floor(Math.random() * 20_000),
      streamLimit: 128,
      prefillTokensPerSecond: 16_000,
      betweenTokensMilliseconds: 10 + Math.random() * 20,
      leaving: false
    }
  }
}

function identityOf (dataCentre: string, index: number): LinkIdentity {
  return { name: `entry-${dataCentre}-${index}`, address: '', place: { region: `region-${dataCentre}`, dataCentre }, rack: `rack-${index % 8}`, incarnation: startedAtMilliseconds }
}

function engineOf (dataCentre: string, index: number): EndpointDescription {
  return {
    name: `runner-${dataCentre}-${index}`,
    kind: EndpointKind.Engine,
    address: `127.0.0.1:${9_000 + index}`,
    place: { region: `region-${dataCentre}`, dataCentre },
    versions: ['small@1', 'medium@1', 'large@1'],
    service: undefined,
    checksFencing: true
  }
}
