/**
 * Watches the platform's list of VMs, which may be out of date. The list only adds information: a listed
 * VM that is not known yet is asked for its state, and one that becomes listed as leaving is marked so,
 * whether it is a daemon or an endpoint. The list never marks anything as alive. Only the transition to
 * leaving counts, so that an outdated list does not repeatedly mark the next process of the same name.
 */
import type { Clock, EndpointDescription, Randomness } from '../contract/index.ts'
import type { LinkIdentity, Peer } from '../link/index.ts'
import type { ListedVirtualMachine, VirtualMachineList } from '../store/index.ts'
import type { DigestExchange } from './digestExchange.ts'
import type { MemberTable } from './memberTable.ts'
import { shuffled } from './shuffled.ts'

const readIntervalMilliseconds = 2_000
/** Daemons of a data centre that read the list once they know each other. */
const readersPerDataCentre = 3
const maximumSynchronizationsPerRound = 4

export interface VirtualMachineWatcherOptions {
  readonly self: LinkIdentity
  readonly clock: Clock
  readonly randomness: Randomness
  readonly virtualMachines: VirtualMachineList
  /** Daemons to contact in addition to those on the list. */
  readonly seeds: readonly Peer[]
  readonly members: MemberTable
  readonly digestExchange: DigestExchange
  readonly endpoints: () => readonly EndpointDescription[]
  /** Marks an endpoint as leaving and broadcasts it. */
  readonly markEndpointLeaving: (name: string) => void
}

export class VirtualMachineWatcher {
  readonly #options: VirtualMachineWatcherOptions
  /** Addresses of VMs that were listed as leaving at the last read and have been marked. */
  #leavingAddresses: ReadonlySet<string> = new Set()

  constructor (options: VirtualMachineWatcherOptions) {
    this.#options = options
  }

  async run (stopping: AbortSignal): Promise<void> {
    const { clock, randomness } = this.#options
    while (!stopping.aborted) {
      if (this.#isReader()) await this.#readList()
      await clock.sleep(readIntervalMilliseconds * (0.75 + 0.5 * randomness.fraction()), stopping)
    }
  }

  async #readList (): Promise<void> {
    const list = await this.#options.virtualMachines.read()
    const listed = list.ok ? list.val : []
    await this.#synchronizeWithUnknown(listed)
    if (list.ok) this.#markLeaving(listed)
  }

  /** Requests the state of unknown daemons, those of this data centre first; a single reply usually reveals many. */
  async #synchronizeWithUnknown (listed: readonly ListedVirtualMachine[]): Promise<void> {
    const { digestExchange, members, randomness, seeds, self } = this.#options
    const isLocal = (virtualMachine: ListedVirtualMachine) => virtualMachine.dataCentre === self.place.dataCentre
    const candidates = shuffled(listed, randomness).sort((left, right) => Number(isLocal(right)) - Number(isLocal(left)))
    const unknown = [...candidates, ...seeds].filter(peer => peer.address !== self.address && members.record(peer.name) === undefined)
    for (const peer of unknown.slice(0, maximumSynchronizationsPerRound)) {
      if (members.record(peer.name) === undefined) await digestExchange.synchronizeWith({ name: peer.name, address: peer.address })
    }
  }

  #markLeaving (listed: readonly ListedVirtualMachine[]): void {
    const leaving = listed.filter(virtualMachine => virtualMachine.leaving)
    const marked = leaving.filter(virtualMachine => this.#leavingAddresses.has(virtualMachine.address) || this.#markVirtualMachine(virtualMachine))
    this.#leavingAddresses = new Set(marked.map(virtualMachine => virtualMachine.address))
  }

  /** Marks everything that runs on a VM; returns false if nothing on it is known yet. */
  #markVirtualMachine (virtualMachine: ListedVirtualMachine): boolean {
    const { endpoints, markEndpointLeaving, members } = this.#options
    const isMember = members.record(virtualMachine.name)?.identity.address === virtualMachine.address
    if (isMember) members.markLeaving(virtualMachine.name)
    const matchingEndpoints = endpoints().filter(endpoint => endpoint.name === virtualMachine.name || endpoint.address === virtualMachine.address)
    for (const endpoint of matchingEndpoints) markEndpointLeaving(endpoint.name)
    return isMember || matchingEndpoints.length > 0
  }

  /** A few daemons read the list for all; a daemon that knows few others reads it itself. */
  #isReader (): boolean {
    const names = this.#options.members.ring().map(member => member.name)
    if (names.length <= readersPerDataCentre) return true
    return names.slice(0, readersPerDataCentre).includes(this.#options.self.name)
  }
}
