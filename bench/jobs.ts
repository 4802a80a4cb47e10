/** The jobs of a default run of the decision bench and their execution. */
import type { Randomness } from '../src/contract/index.ts'
import type { VersionDigest } from '../src/choice/index.ts'
import { EndpointPolicyName, type PolicyPair, PolicyFactory, randomnessOf, VersionPolicyName } from './policies.ts'
import { type RunResult, runScenario } from './scenarioRun.ts'
import { type ScenarioName, scenarios } from './scenario.ts'
import { workShares } from './workShares.ts'
import type { World } from './world.ts'
import { fullLoad } from './worldLoad.ts'

/** One run of a scenario. */
export interface Job {
  readonly user: string
  readonly scenario: ScenarioName
  readonly pair: PolicyPair
  readonly seed: number
}

/** The result of a job, with its duration. */
export interface JobResult extends RunResult {
  readonly job: Job
  readonly milliseconds: number
}

/** Number of entry VMs of a user. */
const defaultRouterCount = 8

/** The name of a policy pair in tables and JSON. */
export function pairName ({ version, endpoint }: PolicyPair): string {
  return `${version} + ${endpoint}`
}

const cheapestFixed = VersionPolicyName.CheapestFixed
const affinity = EndpointPolicyName.Affinity
/** All endpoint policies with the same version policy. */
const endpointPairs: readonly PolicyPair[] = Object.values(EndpointPolicyName).map(endpoint => ({ version: cheapestFixed, endpoint }))
/** The other version policies with the same endpoint policy. */
const versionPairs: readonly PolicyPair[] = Object.values(VersionPolicyName).filter(version => version !== cheapestFixed).map(version => ({ version, endpoint: affinity }))
const productPair: PolicyPair = { version: VersionPolicyName.Learned, endpoint: affinity }
/** Pairs that an operator could run without the project. */
const baselinePairs: readonly PolicyPair[] = [
  { version: VersionPolicyName.AlwaysStrong, endpoint: EndpointPolicyName.RoundRobin },
  { version: VersionPolicyName.ThresholdCascade, endpoint: EndpointPolicyName.LeastLoaded }
]

const pairsByScenario: Record<ScenarioName, readonly PolicyPair[]> = {
  calm: [...endpointPairs, ...versionPairs, ...baselinePairs],
  'load-90': [...endpointPairs, productPair, ...baselinePairs],
  'load-100': endpointPairs,
  'load-130': [...endpointPairs, productPair, ...baselinePairs],
  'pool-lost': [...endpointPairs, productPair],
  'stale-reports': endpointPairs,
  'turns-bad': [{ version: cheapestFixed, endpoint: affinity }, productPair],
  'flood-before': [{ version: cheapestFixed, endpoint: affinity }],
  flood: [{ version: cheapestFixed, endpoint: affinity }]
}

/** The key of a job's row in the report, which is the same for all seeds. */
export function jobGroupKey ({ user, scenario, pair }: Job): string {
  return `${user}/${scenario}/${pairName(pair)}`
}

/** The jobs of the given scenarios, in the order of the report. */
export function jobsOf (world: World, names: readonly ScenarioName[], seeds: readonly number[]): Job[] {
  return [...world.users.keys()].flatMap(user => names.flatMap(scenario =>
    pairsByScenario[scenario].flatMap(pair => seeds.map(seed => ({ user, scenario, pair, seed })))))
}

/** Runs jobs in one thread and caches pretraining and accelerator shares between them, as they are expensive to compute. */
export class JobRunner {
  readonly #world: World
  readonly #factories = new Map<string, PolicyFactory>()
  readonly #acceleratorShares = new Map<string, ReadonlyMap<string, number>>()

  constructor (world: World) {
    this.#world = world
  }

  /** Pretrains the learned policies for a user and seed; jobs of the same user and seed share the result. */
  pretrain (user: string, seed: number): readonly VersionDigest[] {
    return this.#factoryOf(user).pretrain(seed)
  }

  /** Adopts pretraining that another thread computed. */
  setPretraining (user: string, seed: number, digests: readonly VersionDigest[]): void {
    this.#factoryOf(user).setPretraining(seed, digests)
  }

  run (job: Job): JobResult {
    const startedAt = performance.now()
    const user = this.#world.users.get(job.user)!
    const factory = this.#factoryOf(job.user)
    const result = runScenario({
      world: this.#world,
      user,
      scenario: scenarios.find(scenario => scenario.name === job.scenario)!,
      seed: job.seed,
      fullLoadRequestsPerSecond: fullLoad(this.#world, user).requestsPerSecond,
      acceleratorShares: this.#acceleratorSharesOf(job, factory),
      routerCount: defaultRouterCount,
      createPolicies: (here, randomness: Randomness) => factory.create(job.pair, job.seed, here, randomness)
    })
    return { ...result, job, milliseconds: performance.now() - startedAt }
  }

  #factoryOf (name: string): PolicyFactory {
    const known = this.#factories.get(name)
    if (known !== undefined) return known
    const factory = new PolicyFactory(this.#world, this.#world.users.get(name)!, defaultRouterCount)
    this.#factories.set(name, factory)
    return factory
  }

  /** Accelerators are divided among versions by the work that the version policy gives them. */
  #acceleratorSharesOf ({ user, pair, seed }: Job, factory: PolicyFactory): ReadonlyMap<string, number> {
    const key = `${user}/${pair.version}/${pair.version === VersionPolicyName.Learned ? seed : ''}`
    const known = this.#acceleratorShares.get(key)
    if (known !== undefined) return known
    const policy = factory.createVersionPolicy(pair.version, seed, randomnessOf(seed, 1))
    const shares = workShares(this.#world, this.#world.users.get(user)!, policy, randomnessOf(1, 2))
    this.#acceleratorShares.set(key, shares)
    return shares
  }
}
