/** A fleet of members and engines in several data centres on a fake network. */
import { EndpointKind, type EndpointDescription, Err, type LoadReport, Ok, type Result, SeededRandomness } from '../../src/contract/index.ts'
import type { LinkIdentity } from '../../src/link/index.ts'
import { type LoadReportClient, GossipMembership } from '../../src/membership/index.ts'
import { type ListedVirtualMachine, PlatformUnavailable, type VirtualMachineList } from '../../src/store/index.ts'
import { FakeLinkNetwork } from './fakeLink.ts'
import { ManualClock } from './manualClock.ts'

/** The state of an engine, as a test sets it. */
export interface FakeEngineState {
  incarnation: number
  running: number
  leaving: boolean
  reachable: boolean
}

export class MemberFleet {
  readonly clock = new ManualClock()
  readonly network: FakeLinkNetwork
  readonly identities: readonly LinkIdentity[]
  readonly endpoints: readonly EndpointDescription[]
  readonly engines = new Map<string, FakeEngineState>()
  readonly members = new Map<string, GossipMembership>()
  /** The platform's list of VMs; undefined while the platform is down. */
  listedVirtualMachines: ListedVirtualMachine[] | undefined
  /** Pairs that can't reach each other, each written as `daemon engine`. */
  readonly unreachablePairs = new Set<string>()
  readonly #seed: number

  /** @param sizes the numbers of daemons and of engines in each data centre */
  constructor (seed: number, sizes: Readonly<Record<string, readonly [number, number]>>) {
    this.#seed = seed
    this.network = new FakeLinkNetwork(this.clock, new SeededRandomness(seed))
    this.identities = Object.entries(sizes).flatMap(([dataCentre, [count]]) => Array.from({ length: count }, (_, index) => identityOf(dataCentre, index)))
    this.endpoints = Object.entries(sizes).flatMap(([dataCentre, [, count]]) => Array.from({ length: count }, (_, index) => createEngine(dataCentre, index)))
    for (const endpoint of this.endpoints) this.engines.set(endpoint.name, { incarnation: 100, running: 1, leaving: false, reachable: true })
    this.listedVirtualMachines = this.identities.map(identity => ({ name: identity.name, address: identity.address, ...identity.place, leaving: false }))
  }

  startAll (): void {
    for (const identity of this.identities) this.start(identity)
  }

  start (identity: LinkIdentity): GossipMembership {
    const member = new GossipMembership({
      link: this.network.linkFor(identity),
      clock: this.network.clockFor(identity.name),
      randomness: new SeededRandomness(this.#seed + 100 + this.identities.findIndex(candidate => candidate.name === identity.name)),
      virtualMachines: this.#createVirtualMachineList(),
      engines: this.#createLoadReportClient(identity.name),
      endpoints: () => this.endpoints
    })
    this.members.set(identity.name, member)
    member.start()
    return member
  }

  member (name: string): GossipMembership {
    const member = this.members.get(name)
    if (member === undefined) throw new Error(`no running member is named ${name}`)
    return member
  }

  engine (name: string): FakeEngineState {
    const engine = this.engines.get(name)
    if (engine === undefined) throw new Error(`no engine is named ${name}`)
    return engine
  }

  identity (name: string): LinkIdentity {
    const identity = this.identities.find(candidate => candidate.name === name)
    if (identity === undefined) throw new Error(`no daemon is named ${name}`)
    return identity
  }

  /** Removes a daemon abruptly: it sends no message that it leaves. */
  async kill (name: string): Promise<void> {
    this.network.remove(this.identity(name).address)
    const member = this.member(name)
    this.members.delete(name)
    const stopped = member.stop()
    await this.clock.advance(10)
    stopped.catch(() => undefined)
  }

  /** The state of a daemon as each of the other members sees it; undefined where it is unknown. */
  observedStates (name: string): Array<string | undefined> {
    const others = [...this.members].filter(([other]) => other !== name)
    return others.map(([, member]) => member.members().find(view => view.name === name)?.state)
  }

  async stopAll (): Promise<void> {
    const stopped = Promise.all([...this.members.values()].map(member => member.stop()))
    await this.clock.advance(10_000)
    await stopped
  }

  #createVirtualMachineList (): VirtualMachineList {
    return {
      read: async (): Promise<Result<readonly ListedVirtualMachine[], PlatformUnavailable>> => {
        return this.listedVirtualMachines === undefined ? Err(new PlatformUnavailable('down', false)) : Ok(this.listedVirtualMachines)
      }
    }
  }

  #createLoadReportClient (daemon: string): LoadReportClient {
    return {
      report: async (endpoint: EndpointDescription): Promise<Result<LoadReport, string>> => {
        const engine = this.engine(endpoint.name)
        if (!engine.reachable || this.unreachablePairs.has(`${daemon} ${endpoint.name}`)) return Err('the engine can\'t be reached')
        return Ok(this.#loadReportOf(engine, endpoint))
      }
    }
  }

  #loadReportOf ({ incarnation, leaving, running }: FakeEngineState, endpoint: EndpointDescription): LoadReport {
    return {
      at: this.clock.now(),
      incarnation,
      versions: endpoint.versions,
      running,
      queued: 2,
      queuedPromptTokens: 300,
      streamLimit: 32,
      prefillTokensPerSecond: 8_000,
      betweenTokensMilliseconds: 12.5,
      leaving
    }
  }
}

function identityOf (dataCentre: string, index: number): LinkIdentity {
  const name = `${dataCentre}-${String(index).padStart(2, '0')}`
  return { name, address: `${name}:7000`, place: { region: `region-${dataCentre}`, dataCentre }, rack: `rack-${index % 3}`, incarnation: 1 }
}

function createEngine (dataCentre: string, index: number): EndpointDescription {
  const name = `engine-${dataCentre}-${String(index).padStart(3, '0')}`
  return {
    name,
    kind: EndpointKind.Engine,
    address: `${name}:9000`,
    place: { region: `region-${dataCentre}`, dataCentre },
    versions: ['small@1', 'large@1'],
    service: undefined,
    checksFencing: true
  }
}
