/**
 * The members and endpoints known to one daemon: those of its own data centre, maintained by probes and
 * the broadcast tree, and those of the others from digests. All updates are merged, so neither order nor
 * repetition matters.
 */
import type { Clock, EndpointDescription, Randomness } from '../contract/index.ts'
import type { Link, Peer } from '../link/index.ts'
import type { VirtualMachineList } from '../store/index.ts'
import type { EndpointStatus, Membership, MemberView } from './contract.ts'
import { DigestExchange } from './digestExchange.ts'
import { EndpointPoller, type LoadReportClient } from './endpointPoller.ts'
import { VersionListCache } from './endpointRow.ts'
import { EndpointTable } from './endpointTable.ts'
import { VirtualMachineWatcher } from './virtualMachineWatcher.ts'
import { MemberTable } from './memberTable.ts'
import { BroadcastTree } from './broadcastTree.ts'
import { Prober } from './prober.ts'

/** Members that are notified at once when this daemon leaves. */
const leavingFanout = 6

export interface GossipMembershipOptions {
  readonly link: Link
  readonly clock: Clock
  readonly randomness: Randomness
  /** The platform's list of VMs, which daemons use to find each other. */
  readonly virtualMachines: VirtualMachineList
  /** Reads load reports from engines. */
  readonly engines: LoadReportClient
  /** All endpoints in the current settings. */
  readonly endpoints: () => readonly EndpointDescription[]
  /** Daemons to contact in addition to those on the platform's list. */
  readonly seeds?: readonly Peer[]
}

/**
 * The membership of one daemon.
 *
 * @example
 * const membership = new GossipMembership({ link, clock, randomness, virtualMachines, engines, endpoints })
 * membership.start()
 */
export class GossipMembership implements Membership {
  readonly #memberTable: MemberTable
  readonly #endpointTable: EndpointTable
  readonly #broadcastTree: BroadcastTree
  readonly #prober: Prober
  readonly #tasks: ReadonlyArray<{ run (stopping: AbortSignal): Promise<void> }>
  readonly #stopping = new AbortController()
  #completion: Promise<unknown> = Promise.resolve()

  constructor (options: GossipMembershipOptions) {
    const { clock, endpoints, engines, link, virtualMachines, randomness } = options
    const versionLists = new VersionListCache()
    this.#memberTable = new MemberTable(link.self, clock)
    this.#endpointTable = new EndpointTable(clock)
    const shared = { self: link.self, link, clock, randomness, members: this.#memberTable, endpoints: this.#endpointTable, versionLists }
    this.#broadcastTree = new BroadcastTree(shared)
    this.#prober = new Prober(shared)
    const digestExchange = new DigestExchange({ ...shared, broadcastTree: this.#broadcastTree, dataCentreOf: name => endpoints().find(endpoint => endpoint.name === name)?.place.dataCentre })
    const poller = new EndpointPoller({ ...shared, engines, endpoints, endpointTable: this.#endpointTable, broadcastTree: this.#broadcastTree })
    const watcher = new VirtualMachineWatcher({ ...shared, virtualMachines, seeds: options.seeds ?? [], digestExchange, endpoints, markEndpointLeaving: name => this.markEndpointLeaving(name) })
    this.#tasks = [this.#broadcastTree, this.#prober, digestExchange, poller, watcher]
  }

  /** Starts to discover members and to track their state. */
  start (): void {
    this.#completion = Promise.all(this.#tasks.map(task => task.run(this.#stopping.signal)))
  }

  /** Announces that this daemon takes no new duties; it keeps participating until `stop`. */
  async leave (): Promise<void> {
    this.#memberTable.markLeaving(this.#memberTable.selfRecord.identity.name)
    await this.#prober.gossipNow(leavingFanout)
  }

  /** Announces that this daemon is gone, and stops. */
  async stop (): Promise<void> {
    this.#memberTable.markSelfDead()
    await this.#prober.gossipNow(leavingFanout)
    this.#stopping.abort()
    await this.#completion
  }

  members (): readonly MemberView[] {
    return this.#memberTable.views()
  }

  endpointStatus (name: string): EndpointStatus | undefined {
    return this.#endpointTable.status(name)
  }

  markEndpointLeaving (endpoint: string): void {
    if (this.#endpointTable.markLeaving(endpoint)) this.#broadcastTree.broadcastNow(endpoint)
  }
}
