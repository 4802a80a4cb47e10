/**
 * Whether many deciders rush at one endpoint: seventy of them before 120 runners of one data centre,
 * at 90 % load, all reading the same late reports. Herding shows in how far the busiest engine is
 * above the mean, and in the first token.
 */
import { EndpointPolicyName, PolicyFactory, VersionPolicyName } from './policies.ts'
import { percentile } from './runMetrics.ts'
import { runScenario } from './scenarioRun.ts'
import type { World, WorldUser } from './world.ts'
import { fullLoad } from './worldLoad.ts'

/** One choice of endpoint on one seed. */
export interface HerdingResult {
  readonly seed: number
  readonly policy: EndpointPolicyName
  readonly first_token_ms: { readonly p50: number, readonly p95: number, readonly p99: number }
  /** Mean over moments of the fullest engine's streams over the mean of its pool's. */
  readonly fullest_over_mean: number
  readonly goodput: number
  readonly refused: number
}

const crowdedRouterCount = 70
const crowdedRunnerCount = 120
const load = 0.9

/** Runs every choice of endpoint on one seed. */
export function measureHerding (world: World, seed: number): HerdingResult[] {
  return Object.values(EndpointPolicyName).map(policy => {
    const user = crowdedUser(world)
    const factory = new PolicyFactory(world, user, crowdedRouterCount)
    const full = fullLoad(world, user)
    const { metrics, maximumToMeanLoad } = runScenario({
      world,
      user,
      scenario: { name: 'herding', load },
      seed,
      fullLoadRequestsPerSecond: full.requestsPerSecond,
      acceleratorShares: full.acceleratorShares,
      routerCount: crowdedRouterCount,
      createPolicies: (here, randomness) => factory.create({ version: VersionPolicyName.CheapestFixed, endpoint: policy }, seed, here, randomness)
    })
    return { seed, policy, first_token_ms: metrics.first_token_ms, fullest_over_mean: maximumToMeanLoad, goodput: metrics.goodput, refused: metrics.refused }
  })
}

/** The kind with the longest answers only, which keeps the requests few and the engines full. */
function crowdedUser (world: World): WorldUser {
  const user = [...world.users.values()][0]!
  const longest = [...user.mix.keys()].sort((left, right) => world.kinds.get(right)!.outputTokens - world.kinds.get(left)!.outputTokens)[0]!
  return { ...user, mix: new Map([[longest, 1]]), dataCentres: new Map([['crowded', 1]]), runners: crowdedRunnerCount }
}

/** Prints medians over the seeds. */
export function printHerding (results: readonly HerdingResult[]): void {
  if (results.length === 0) return
  console.log(`${crowdedRouterCount} deciders before ${crowdedRunnerCount} runners at ${load * 100} % load:`)
  for (const policy of Object.values(EndpointPolicyName)) {
    const policyResults = results.filter(entry => entry.policy === policy)
    const median = (valueOf: (entry: HerdingResult) => number) => percentile(policyResults.map(valueOf), 0.5)
    console.log(`  ${policy.padEnd(12)} first token p50 ${median(entry => entry.first_token_ms.p50).toFixed(0)} p95 ${median(entry => entry.first_token_ms.p95).toFixed(0)} ms, fullest engine ${median(entry => entry.fullest_over_mean).toFixed(2)} × the mean, ${median(entry => entry.goodput).toFixed(1)} good/s`)
  }
}
