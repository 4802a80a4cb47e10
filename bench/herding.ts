/**
 * Measures herding, in which many routers choose the same endpoint at once: 70 routers in front of 120
 * runners of one data centre at 90 % load, all with the same delayed load reports. Herding shows in the
 * ratio of the busiest engine's load to the mean and in the time to first token.
 */
import { EndpointPolicyName, PolicyFactory, VersionPolicyName } from './policies.ts'
import { percentile } from './runMetrics.ts'
import { runScenario } from './scenarioRun.ts'
import type { World, WorldUser } from './world.ts'
import { fullLoad } from './worldLoad.ts'

/** Results of one endpoint policy for one seed. */
export interface HerdingResult {
  readonly seed: number
  readonly policy: EndpointPolicyName
  readonly first_token_ms: { readonly p50: number, readonly p95: number, readonly p99: number }
  /** Maximum engine load divided by the mean load of the same version's engines, averaged over samples. */
  readonly fullest_over_mean: number
  readonly goodput: number
  readonly refused: number
}

const crowdedRouterCount = 70
const crowdedRunnerCount = 120
const load = 0.9

/** Runs every endpoint policy with one seed. */
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

/** A user with one data centre and only the kind with the longest answers, so that few requests fill the engines. */
function crowdedUser (world: World): WorldUser {
  const user = [...world.users.values()][0]!
  const longest = [...user.mix.keys()].sort((left, right) => world.kinds.get(right)!.outputTokens - world.kinds.get(left)!.outputTokens)[0]!
  return { ...user, mix: new Map([[longest, 1]]), dataCentres: new Map([['crowded', 1]]), runners: crowdedRunnerCount }
}

/** Prints the medians over the seeds. */
export function printHerding (results: readonly HerdingResult[]): void {
  if (results.length === 0) return
  console.log(`${crowdedRouterCount} routers in front of ${crowdedRunnerCount} runners at ${load * 100} % load:`)
  for (const policy of Object.values(EndpointPolicyName)) {
    const policyResults = results.filter(entry => entry.policy === policy)
    const median = (valueOf: (entry: HerdingResult) => number) => percentile(policyResults.map(valueOf), 0.5)
    console.log(`  ${policy.padEnd(12)} first token p50 ${median(entry => entry.first_token_ms.p50).toFixed(0)} p95 ${median(entry => entry.first_token_ms.p95).toFixed(0)} ms, fullest engine ${median(entry => entry.fullest_over_mean).toFixed(2)} × the mean, ${median(entry => entry.goodput).toFixed(1)} good/s`)
  }
}
