/**
 * Whether many deciders rush at one endpoint: seventy of them before 120 runners of one data centre,
 * at 90 % load, all reading the same late reports. Herding shows in how far the busiest engine is
 * above the mean, and in the first token.
 */
import { EndpointChoiceName, PolicyFactory, VersionChoice } from './policies.ts'
import { percentile } from './measure.ts'
import { runScenario } from './run.ts'
import type { World, WorldUser } from './world.ts'
import { fullLoad } from './worldLoad.ts'

/** One choice of endpoint on one seed. */
export interface HerdingFigures {
  readonly seed: number
  readonly policy: EndpointChoiceName
  readonly first_token_ms: { readonly p50: number, readonly p95: number, readonly p99: number }
  /** Mean over moments of the fullest engine's streams over the mean of its pool's. */
  readonly fullest_over_mean: number
  readonly goodput: number
  readonly refused: number
}

const deciders = 70
const runners = 120
const load = 0.9

/** Runs every choice of endpoint on one seed. */
export function measureHerding (world: World, seed: number): HerdingFigures[] {
  return Object.values(EndpointChoiceName).map(policy => {
    const user = crowdedUser(world)
    const factory = new PolicyFactory(world, user, deciders)
    const full = fullLoad(world, user)
    const { figures, fullestOverMean } = runScenario({
      world,
      user,
      scenario: { name: 'herding', load },
      seed,
      fullRequestsPerSecond: full.requestsPerSecond,
      acceleratorShares: full.acceleratorShares,
      deciders,
      policiesOf: (here, randomness) => factory.make({ version: VersionChoice.CheapestFixed, endpoint: policy }, seed, here, randomness)
    })
    return { seed, policy, first_token_ms: figures.first_token_ms, fullest_over_mean: fullestOverMean, goodput: figures.goodput, refused: figures.refused }
  })
}

/** The kind with the longest answers only, which keeps the requests few and the engines full. */
function crowdedUser (world: World): WorldUser {
  const user = [...world.users.values()][0]!
  const longest = [...user.mix.keys()].sort((left, right) => world.kinds.get(right)!.outputTokens - world.kinds.get(left)!.outputTokens)[0]!
  return { ...user, mix: new Map([[longest, 1]]), dataCentres: new Map([['crowded', 1]]), runners }
}

/** Prints medians over the seeds. */
export function printHerding (figures: readonly HerdingFigures[]): void {
  if (figures.length === 0) return
  console.log(`${deciders} deciders before ${runners} runners at ${load * 100} % load:`)
  for (const policy of Object.values(EndpointChoiceName)) {
    const own = figures.filter(entry => entry.policy === policy)
    const median = (of: (entry: HerdingFigures) => number) => percentile(own.map(of), 0.5)
    console.log(`  ${policy.padEnd(12)} first token p50 ${median(entry => entry.first_token_ms.p50).toFixed(0)} p95 ${median(entry => entry.first_token_ms.p95).toFixed(0)} ms, fullest engine ${median(entry => entry.fullest_over_mean).toFixed(2)} × the mean, ${median(entry => entry.goodput).toFixed(1)} good/s`)
  }
}
