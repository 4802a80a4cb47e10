/** The rate of 100 % load, which a world's own figures define. */
import { goodShare, type World, type WorldUser, type WorldVersion } from './world.ts'

/** Accelerators of a runner. */
export const acceleratorsPerRunner = 4

/** The cheapest version whose share of good answers meets the target, or else the best. */
export function cheapestFixedVersion (world: World, kind: string): WorldVersion {
  const sufficient = world.versions.find(version => goodShare(world, version, kind) >= world.qualityTarget)
  if (sufficient) return sufficient
  return [...world.versions].sort((left, right) => goodShare(world, right, kind) - goodShare(world, left, kind))[0]!
}

/** What the rate of 100 % load is made of. */
export interface FullLoad {
  /** Model requests a second at which the fleet's decode time is just used up. */
  readonly requestsPerSecond: number
  /** The share of the accelerators each version gets, in proportion to its work; sums to 1. */
  readonly acceleratorShares: ReadonlyMap<string, number>
}

/**
 * 100 % load: the rate at which the fleet's decode time is just used up when each kind goes to its
 * cheapest fixed version, accelerators (an equal count of each hardware) are given to versions in
 * proportion to that work, and batches are full.
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

/** Tokens a millisecond of one accelerator with a full batch, the mean over the kinds of hardware. */
function tokensPerMillisecond (world: World, version: WorldVersion): number {
  const { base, perStream } = version.decodeMilliseconds
  const rates = world.hardware.map(({ speed, streams }) => speed * streams / (base + perStream * streams))
  return rates.reduce((sum, rate) => sum + rate, 0) / rates.length
}
