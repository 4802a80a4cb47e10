/** The arrival rate of 100 % load, computed from a world's parameters. */
import { goodShare, type World, type WorldUser, type WorldVersion } from './world.ts'

export const acceleratorsPerRunner = 4

/** The cheapest version whose share of good answers meets the quality target, or the version with the highest share if none does. */
export function cheapestFixedVersion (world: World, kind: string): WorldVersion {
  const sufficient = world.versions.find(version => goodShare(world, version, kind) >= world.qualityTarget)
  if (sufficient) return sufficient
  return [...world.versions].sort((left, right) => goodShare(world, right, kind) - goodShare(world, left, kind))[0]!
}

export interface FullLoad {
  /** Model requests per second that exactly use up the fleet's decode time. */
  readonly requestsPerSecond: number
  /** Share of the accelerators by version name, in proportion to the version's work; sums to 1. */
  readonly acceleratorShares: ReadonlyMap<string, number>
}

/**
 * Computes 100 % load: the rate that exactly uses up the fleet's decode time if each kind is sent to its
 * cheapest sufficient version, accelerators (equally many of each hardware) are assigned to versions in
 * proportion to this work, and batches are full.
 *
 * @example
 * const { requestsPerSecond } = fullLoad(world, world.users.get('archive')!)
 */
export function fullLoad (world: World, user: WorldUser): FullLoad {
  const work = new Map<string, number>()
  for (const [kindName, share] of user.mix) {
    const version = cheapestFixedVersion(world, kindName)
    const milliseconds = share * world.kinds.get(kindName)!.outputTokens / tokensPerMillisecond(world, version)
    work.set(version.name, (work.get(version.name) ?? 0) + milliseconds)
  }
  const millisecondsPerRequest = [...work.values()].reduce((sum, milliseconds) => sum + milliseconds, 0)
  const accelerators = user.runners * acceleratorsPerRunner
  const acceleratorShares = new Map([...work].map(([name, milliseconds]) => [name, milliseconds / millisecondsPerRequest]))
  return { requestsPerSecond: 1_000 * accelerators / millisecondsPerRequest, acceleratorShares }
}

/** Decoding throughput of one accelerator with a full batch, averaged over the kinds of hardware. */
function tokensPerMillisecond (world: World, version: WorldVersion): number {
  const { base, perStream } = version.decodeMilliseconds
  const rates = world.hardware.map(({ speed, streams }) => speed * streams / (base + perStream * streams))
  return rates.reduce((sum, rate) => sum + rate, 0) / rates.length
}
