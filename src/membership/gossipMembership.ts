/**
 * The members and endpoints as one daemon knows them. State at a daemon is its own data centre, kept
 * by probes and the news tree, and what digests bring of the others. All news is joined, so neither
 * order nor repetition matters.
 */
import type { Clock, EndpointDescription, Randomness } from '../contract/index.ts'
import type { Link, Peer } from '../link/index.ts'
import type { VirtualMachineList } from '../store/index.ts'
import type { EndpointNews, Membership, MemberView } from './contract.ts'
import { Digests } from './digests.ts'
import { EndpointPoller, type EndpointReporter } from './endpointPoller.ts'
import { VersionLists } from './endpointRow.ts'
import { EndpointTable } from './endpointTable.ts'
import { MachineWatch } from './machineWatch.ts'
import { MemberTable } from './memberTable.ts'
import { NewsTree } from './newsTree.ts'
import { Prober } from './prober.ts'

/** Members that are told at once when this daemon leaves. */
const toldOfLeaving = 6

/** What a `GossipMembership` is made of. */
export interface GossipMembershipOptions {
  readonly link: Link
  readonly clock: Clock
  readonly randomness: Randomness
  /** The platform's list of VMs, by which daemons find each other. */
  readonly machines: VirtualMachineList
  /** Reads the load of engines. */
  readonly engines: EndpointReporter
  /** All endpoints that the settings name now. */
  readonly endpoints: () => readonly EndpointDescription[]
  /** Daemons to ask besides those on the platform's list. */
  readonly seeds?: readonly Peer[]
}

/**
 * The membership of one daemon.
 *
 * @example
 * const membership = new GossipMembership({ link, clock, randomness, machines, engines, endpoints })
 * membership.start()
 */
export class GossipMembership implements Membership {
  readonly #members: MemberTable
  readonly #endpoints: EndpointTable
  readonly #news: NewsTree
  readonly #prober: Prober
  readonly #tasks: ReadonlyArray<{ run (stopping: AbortSignal): Promise<void> }>
  readonly #stopping = new AbortController()
  #running: Promise<unknown> = Promise.resolve()

  constructor (options: GossipMembershipOptions) {
    const { clock, endpoints, engines, link, machines, randomness } = options
    const lists = new VersionLists()
    this.#members = new MemberTable(link.self, clock)
    this.#endpoints = new EndpointTable(clock)
    const shared = { self: link.self, link, clock, randomness, members: this.#members, endpoints: this.#endpoints, lists }
    this.#news = new NewsTree(shared)
    this.#prober = new Prober(shared)
    const digests = new Digests({ ...shared, news: this.#news, dataCentreOf: name => endpoints().find(endpoint => endpoint.name === name)?.place.dataCentre })
    const poller = new EndpointPoller({ ...shared, engines, endpoints, table: this.#endpoints, news: this.#news })
    const watch = new MachineWatch({ ...shared, machines, seeds: options.seeds ?? [], digests, endpoints, markEndpoint: name => this.sawLeaving(name) })
    this.#tasks = [this.#news, this.#prober, digests, poller, watch]
  }

  /** Starts to find members and to keep their state. */
  start (): void {
    this.#running = Promise.all(this.#tasks.map(task => task.run(this.#stopping.signal)))
  }

  /** Tells the others that this daemon takes no new duties; it goes on taking part until `stop`. */
  async leave (): Promise<void> {
    this.#members.markLeaving(this.#members.own.identity.name)
    await this.#prober.tellNow(toldOfLeaving)
  }

  /** Tells the others that this daemon is gone, and stops. */
  async stop (): Promise<void> {
    this.#members.depart()
    await this.#prober.tellNow(toldOfLeaving)
    this.#stopping.abort()
    await this.#running
  }

  members (): readonly MemberView[] {
    return this.#members.views()
  }

  endpoint (name: string): EndpointNews | undefined {
    return this.#endpoints.news(name)
  }

  sawLeaving (endpoint: string): void {
    if (this.#endpoints.markLeaving(endpoint)) this.#news.tellNow(endpoint)
  }
}
