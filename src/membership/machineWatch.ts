/**
 * Watches the platform's list of VMs, which lags. It only adds: a VM on it that is not known yet is
 * asked for what it knows, and one that it begins to show as leaving is marked so, a daemon as well
 * as an endpoint. It never says that anything is alive. Only the change to leaving counts, so that
 * an old list does not mark the next process of the same name again and again.
 */
import type { Clock, EndpointDescription, Randomness } from '../contract/index.ts'
import type { LinkIdentity, Peer } from '../link/index.ts'
import type { ListedVirtualMachine, VirtualMachineList } from '../store/index.ts'
import type { Digests } from './digests.ts'
import type { MemberTable } from './memberTable.ts'
import { shuffled } from './shuffled.ts'

const periodMilliseconds = 2_000
/** Daemons of a data centre that read the list once they know each other. */
const readerCount = 3
const introductionsPerRound = 4

/** What a `MachineWatch` is made of. */
export interface MachineWatchParts {
  readonly self: LinkIdentity
  readonly clock: Clock
  readonly randomness: Randomness
  readonly machines: VirtualMachineList
  /** Daemons to ask besides those on the list. */
  readonly seeds: readonly Peer[]
  readonly members: MemberTable
  readonly digests: Digests
  readonly endpoints: () => readonly EndpointDescription[]
  /** Marks an endpoint as leaving and tells of it. */
  readonly markEndpoint: (name: string) => void
}

export class MachineWatch {
  readonly #parts: MachineWatchParts
  /** Addresses of VMs that the list showed as leaving when it was last read, and that are marked. */
  #leaving: ReadonlySet<string> = new Set()

  constructor (parts: MachineWatchParts) {
    this.#parts = parts
  }

  async run (stopping: AbortSignal): Promise<void> {
    const { clock, randomness } = this.#parts
    while (!stopping.aborted) {
      if (this.#isReader()) await this.#read()
      await clock.sleep(periodMilliseconds * (0.75 + 0.5 * randomness.fraction()), stopping)
    }
  }

  async #read (): Promise<void> {
    const list = await this.#parts.machines.read()
    const listed = list.ok ? list.val : []
    await this.#introduce(listed)
    if (list.ok) this.#mark(listed)
  }

  /** Asks daemons that are not known yet for what they know, the nearest first: one answer brings many. */
  async #introduce (listed: readonly ListedVirtualMachine[]): Promise<void> {
    const { digests, members, randomness, seeds, self } = this.#parts
    const isNear = (machine: ListedVirtualMachine) => machine.dataCentre === self.place.dataCentre
    const candidates = shuffled(listed, randomness).sort((left, right) => Number(isNear(right)) - Number(isNear(left)))
    const unknown = [...candidates, ...seeds].filter(peer => peer.address !== self.address && members.record(peer.name) === undefined)
    for (const peer of unknown.slice(0, introductionsPerRound)) {
      if (members.record(peer.name) === undefined) await digests.introduce({ name: peer.name, address: peer.address })
    }
  }

  #mark (listed: readonly ListedVirtualMachine[]): void {
    const leaving = listed.filter(machine => machine.leaving)
    const marked = leaving.filter(machine => this.#leaving.has(machine.address) || this.#markMachine(machine))
    this.#leaving = new Set(marked.map(machine => machine.address))
  }

  /** Marks what runs on a VM; false where nothing of it is known yet. */
  #markMachine (machine: ListedVirtualMachine): boolean {
    const { endpoints, markEndpoint, members } = this.#parts
    const isMember = members.record(machine.name)?.identity.address === machine.address
    if (isMember) members.markLeaving(machine.name)
    const named = endpoints().filter(endpoint => endpoint.name === machine.name || endpoint.address === machine.address)
    for (const endpoint of named) markEndpoint(endpoint.name)
    return isMember || named.length > 0
  }

  /** A few daemons read the list for all; while a daemon knows few others, it reads the list itself. */
  #isReader (): boolean {
    const names = this.#parts.members.ring().map(member => member.name)
    if (names.length <= readerCount) return true
    return names.slice(0, readerCount).includes(this.#parts.self.name)
  }
}
