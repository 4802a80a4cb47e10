/** Rolls out versions of services as the platform does: endpoints of the new version are started beside the old ones, and one side ends. */
import { decodeStatus, statusKey } from '../../platform/index.ts'
import { rollOutOrderDocument } from '../../platform/standin/index.ts'
import { RollOutState } from '../../src/routing/index.ts'
import { sleep } from '../demo/processes.ts'
import type { SoakEndpoint } from './soakEndpoint.ts'
import type { SoakWorld } from './soakWorld.ts'

const newEndpoints = 2
const durationSeconds = 8
/** After the end of its time the platform waits as long for the word on a roll-out. */
const patienceMilliseconds = 3_000
const pollMilliseconds = 200
/** From the report that an endpoint leaves to its end. */
export const drainMilliseconds = 5_000

export class RollOuts {
  readonly #world: SoakWorld
  readonly #services = new Set<string>()
  #nextVersion = 2

  constructor (world: SoakWorld) {
    this.#world = world
  }

  /**
   * Rolls out a version of a service, unless one of it is under way.
   *
   * @returns how it ended; undefined if there was nothing to do
   */
  async run (service: string, isBad: boolean): Promise<RollOutState | undefined> {
    if (this.#services.has(service)) return undefined
    this.#services.add(service)
    const old = this.#world.endpoints.filter(endpoint => endpoint.service === service && !endpoint.isRetired)
    const version = `v${this.#nextVersion++}`
    const added = await Promise.all(Array.from({ length: newEndpoints }, () => this.#world.addEndpoint(service, version, isBad)))
    await this.#world.putOrder(statusKey(service), rollOutOrderDocument(service, version, durationSeconds))
    const state = await this.#waitForEnd(service, version)
    if (state === RollOutState.Complete) await Promise.all(old.map(endpoint => endpoint.retire()))
    else await Promise.all(added.map(drainAndRetire))
    this.#services.delete(service)
    return state
  }

  async #waitForEnd (service: string, version: string): Promise<RollOutState> {
    const endsAt = Date.now() + durationSeconds * 1_000 + patienceMilliseconds
    while (Date.now() < endsAt) {
      const document = await this.#world.readStatus(statusKey(service))
      const status = decodeStatus(service, Buffer.from(JSON.stringify(document ?? {}))).unwrapOr(undefined)
      if (status?.toVersion === version && status.state !== RollOutState.Running) return status.state
      await sleep(pollMilliseconds)
    }
    return RollOutState.Running
  }
}

async function drainAndRetire (endpoint: SoakEndpoint): Promise<void> {
  await endpoint.drain()
  await sleep(drainMilliseconds)
  await endpoint.retire()
}
