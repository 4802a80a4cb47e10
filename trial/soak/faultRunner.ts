/** Causes the faults of a plan in a world, each at its time beside the others, and records what it did. */
import type { StoreFault } from '../../platform/standin/index.ts'
import { sleep } from '../demo/processes.ts'
import { type PlannedFault, FaultPlace } from './faultPlan.ts'
import { type EndpointFault, EndpointProcessFault, GatewayFault, type LinkFault, OperatorFault, PlatformFault } from './faults.ts'
import { callerLink, endpointLink, machineTarget, storeLink, storeTarget } from './faultTargets.ts'
import { RollOuts, drainMilliseconds } from './rollOuts.ts'
import type { SoakEndpoint } from './soakEndpoint.ts'
import type { SoakGateway } from './soakGateway.ts'
import type { SoakWorld } from './soakWorld.ts'

/** What a fault is done to, and how it ended if there is more than one way. */
interface CausedFault {
  readonly target: string
  readonly done: Promise<string | void>
}

/** The outcome of a fault for which there was no room. */
const notDone = 'not_done'

const storeFaults: Readonly<Partial<Record<string, StoreFault>>> = {
  [PlatformFault.StoreBusy]: 'busy',
  [PlatformFault.StoreSilent]: 'silent',
  [PlatformFault.StoreLosesAnswers]: 'answers_lost'
}

export class FaultRunner {
  readonly #world: SoakWorld
  readonly #rollOuts: RollOuts
  /** Store faults that last, of which the last to end puts the store right. */
  #storeFaults = 0

  private constructor (world: SoakWorld) {
    this.#world = world
    this.#rollOuts = new RollOuts(world)
  }

  /**
   * Causes all faults of a plan and waits until they are over. What could not be done, such as a gateway that did not start, is recorded.
   *
   * @example
   * await FaultRunner.run(planFaults({ seed: 7, seconds: 60 }), world)
   */
  static async run (plan: readonly PlannedFault[], world: SoakWorld): Promise<void> {
    const runner = new FaultRunner(world)
    await Promise.all(plan.map(planned => runner.#causeInTime(planned)))
  }

  async #causeInTime (planned: PlannedFault): Promise<void> {
    await sleep(planned.atMilliseconds)
    const { fault } = planned
    const at = Date.now()
    const { target, done } = this.#cause(planned)
    try {
      const outcome = await done
      if (outcome === notDone) return
      this.#world.record({ type: 'fault', at, until: Date.now(), target, fault, outcome: outcome ?? undefined })
    } catch (error) {
      this.#world.record({ type: 'fault', at, until: Date.now(), target, fault })
      this.#world.record({ type: 'failure', at: Date.now(), target, fault, reason: String(error) })
    }
  }

  #cause ({ place, fault, target, milliseconds }: PlannedFault): CausedFault {
    const gateway = this.#world.gateways[target % this.#world.gateways.length]!
    const endpoints = this.#world.endpoints.filter(each => each.isInService)
    const endpoint = endpoints[target % endpoints.length]!
    switch (place) {
      case FaultPlace.Gateway: return { target: gateway.name, done: this.#harmGateway(gateway, fault as GatewayFault, milliseconds) }
      case FaultPlace.Endpoint: return { target: endpoint.name, done: this.#harmEndpoint(endpoint, fault as EndpointFault, milliseconds) }
      case FaultPlace.EndpointProcess: return { target: endpoint.name, done: harmEndpointProcess(endpoint, fault as EndpointProcessFault, milliseconds) }
      case FaultPlace.CallerLink: return this.#harmLink(callerLink(gateway.name), fault as LinkFault, milliseconds)
      case FaultPlace.StoreLink: return this.#harmLink(storeLink(gateway.name), fault as LinkFault, milliseconds)
      case FaultPlace.EndpointLink: return this.#harmLink(endpointLink(endpoint.name), fault as LinkFault, milliseconds)
      case FaultPlace.Operator: return this.#operate(fault as OperatorFault, endpoint.service)
      case FaultPlace.Platform: return this.#harmPlatform(fault as PlatformFault, milliseconds)
    }
  }

  async #harmGateway (gateway: SoakGateway, fault: GatewayFault, milliseconds: number): Promise<void> {
    if (fault === GatewayFault.Reload) return gateway.reload()
    if (fault === GatewayFault.Freeze) return await gateway.freeze(milliseconds)
    if (fault === GatewayFault.Kill) await gateway.kill()
    else await this.#stop(gateway)
    if (fault === GatewayFault.Move) gateway.changeHost()
    await this.#world.retargetCallers(gateway)
    await gateway.start()
  }

  async #stop (gateway: SoakGateway): Promise<void> {
    const startedAt = Date.now()
    if (!gateway.isRunning) return
    const isInTime = await gateway.stop()
    this.#world.record({ type: 'stop', gateway: gateway.name, startedAt, endedAt: Date.now(), isInTime })
  }

  async #harmEndpoint (endpoint: SoakEndpoint, fault: EndpointFault, milliseconds: number): Promise<void> {
    await endpoint.cause(fault, milliseconds)
    await sleep(milliseconds)
  }

  #harmLink (target: string, fault: LinkFault, milliseconds: number): CausedFault {
    const done = this.#world.causeLinkFault(target, fault, milliseconds).then(() => sleep(milliseconds))
    return { target, done }
  }

  #operate (fault: OperatorFault, service: string): CausedFault {
    if (fault === OperatorFault.Configure) return { target: storeTarget, done: this.#world.configure() }
    return { target: service, done: this.#rollOut(service, fault === OperatorFault.RollOutBad) }
  }

  async #rollOut (service: string, isBad: boolean): Promise<string> {
    return await this.#rollOuts.run(service, isBad) ?? notDone
  }

  #harmPlatform (fault: PlatformFault, milliseconds: number): CausedFault {
    if (fault === PlatformFault.Load) return { target: machineTarget, done: this.#world.keepBusy(milliseconds) }
    return { target: storeTarget, done: this.#harmStore(fault, milliseconds) }
  }

  async #harmStore (fault: PlatformFault, milliseconds: number): Promise<void> {
    const storeFault = storeFaults[fault]
    if (storeFault === undefined) return await this.#world.dropStoreHistory()
    this.#storeFaults++
    await this.#world.causeStoreFault(storeFault)
    await sleep(milliseconds)
    this.#storeFaults--
    if (this.#storeFaults === 0) await this.#world.causeStoreFault('none')
  }
}

async function harmEndpointProcess (endpoint: SoakEndpoint, fault: EndpointProcessFault, milliseconds: number): Promise<void> {
  if (fault === EndpointProcessFault.Freeze) return await endpoint.freeze(milliseconds)
  if (fault === EndpointProcessFault.Leave) {
    await endpoint.drain()
    await sleep(drainMilliseconds)
  }
  await endpoint.kill()
  await sleep(milliseconds)
  if (!endpoint.isRetired) await endpoint.start()
}
