/** The policy pairs of a default run, each of a version policy and an endpoint policy. */
import { type Place, type Randomness, SeededRandomness, type VersionName } from '../src/contract/index.ts'
import {
  AffinityEndpointPolicy, type EndpointPolicy, LearnedVersionPolicy, RegionLinkBudget, RatioAttemptBudget, ShareAdmissionPolicy,
  type VersionDigest, type VersionPolicy
} from '../src/choice/index.ts'
import type { RouterPolicies, VersionAdmission } from './simulatedRouterTypes.ts'
import { LeastLoadedPolicy, RoundRobinPolicy } from './endpointBaselines.ts'
import { drawWorkload, runVersionPolicy, SessionRule } from './qualityRun.ts'
import { AlwaysCheapPolicy, AlwaysStrongPolicy, CheapestFixedPolicy, FixedThresholdCascadePolicy } from './versionBaselines.ts'
import type { World, WorldUser } from './world.ts'
import { fullLoad } from './worldLoad.ts'

/** The version policies that are compared. */
export const VersionPolicyName = {
  AlwaysStrong: 'always strong',
  AlwaysCheap: 'always cheap',
  CheapestFixed: 'cheapest fixed',
  ThresholdCascade: 'threshold cascade',
  Learned: 'learned'
} as const
export type VersionPolicyName = typeof VersionPolicyName[keyof typeof VersionPolicyName]

/** The endpoint policies that are compared; only the project's own, affinity, has admission control. */
export const EndpointPolicyName = {
  RoundRobin: 'round robin',
  LeastLoaded: 'least loaded',
  Affinity: 'affinity'
} as const
export type EndpointPolicyName = typeof EndpointPolicyName[keyof typeof EndpointPolicyName]

/** A version policy with an endpoint policy. */
export interface PolicyPair {
  readonly version: VersionPolicyName
  readonly endpoint: EndpointPolicyName
}

/** Number of requests on which learned policies are pretrained. They all go to one daemon, whose digest the others merge. */
const pretrainingRequests = 4_000
const pretrainingDaemons = 1
const pretrainingExchangeRequests = Number.POSITIVE_INFINITY
const pretrainingLoad = 0.7
const cascadeMarginPoints = 5
/** Maximum share of the regional link's bandwidth for requests. */
const maximumLinkShare = 0.5
const bytesPerMegabit = 125_000

/** Creates the policies of a user's routers. */
export class PolicyFactory {
  readonly #world: World
  readonly #user: WorldUser
  readonly #routerCount: number
  readonly #pretraining = new Map<number, readonly VersionDigest[]>()

  constructor (world: World, user: WorldUser, routerCount: number) {
    this.#world = world
    this.#user = user
    this.#routerCount = routerCount
  }

  /** Creates the policies of one router; the link's bandwidth is divided equally among the routers. */
  create (pair: PolicyPair, seed: number, here: Place, randomness: Randomness): RouterPolicies {
    const version = this.createVersionPolicy(pair.version, seed, randomness)
    const budget = new RatioAttemptBudget()
    if (pair.endpoint !== EndpointPolicyName.Affinity) {
      return { version, endpoint: baselineEndpoint(pair.endpoint, here, randomness), budget, admission: undefined }
    }
    const bytesPerSecond = this.#user.regionalLinkMegabits * bytesPerMegabit * maximumLinkShare / this.#routerCount
    const endpoint = new AffinityEndpointPolicy({ here, randomness, link: new RegionLinkBudget(bytesPerSecond) })
    return { version, endpoint, budget, admission: versionAdmissionBy(endpoint) }
  }

  /** Creates a version policy; a learned one is pretrained on requests of the same seed. */
  createVersionPolicy (name: VersionPolicyName, seed: number, randomness: Randomness): VersionPolicy {
    if (name === VersionPolicyName.AlwaysStrong) return new AlwaysStrongPolicy()
    if (name === VersionPolicyName.AlwaysCheap) return new AlwaysCheapPolicy()
    if (name === VersionPolicyName.CheapestFixed) return new CheapestFixedPolicy(this.#world)
    if (name === VersionPolicyName.ThresholdCascade) return new FixedThresholdCascadePolicy(this.#world, this.#world.goodScoreThreshold + cascadeMarginPoints)
    const policy = this.#createUntrained(randomness)
    for (const digest of this.pretrain(seed)) policy.mergeDigest(digest)
    return policy
  }

  #createUntrained (randomness: Randomness): LearnedVersionPolicy {
    return new LearnedVersionPolicy({ randomness, goodRating: this.#world.goodScoreThreshold, ratingCost: this.#world.ratingCost })
  }

  /** Sets the pretraining of a seed if it was already computed elsewhere. */
  setPretraining (seed: number, digests: readonly VersionDigest[]): void {
    this.#pretraining.set(seed, digests)
  }

  /** Pretrains learned policies on requests drawn from the seed, once for each seed, and returns their digests. */
  pretrain (seed: number): readonly VersionDigest[] {
    const known = this.#pretraining.get(seed)
    if (known !== undefined) return known
    const learners: LearnedVersionPolicy[] = []
    const rate = pretrainingLoad * fullLoad(this.#world, this.#user).requestsPerSecond
    const workload = drawWorkload(this.#world, this.#user, pretrainingRequests, rate, seed + 50_000, SessionRule.Pinned)
    const options = { seed: seed + 50_000, daemons: pretrainingDaemons, exchangeIntervalRequests: pretrainingExchangeRequests, sessions: SessionRule.Pinned }
    runVersionPolicy(this.#world, workload, options, randomness => {
      const learner = this.#createUntrained(randomness)
      learners.push(learner)
      return learner
    })
    const digests = learners.map((learner, index) => learner.digest(`practice-${index}`, 1))
    this.#pretraining.set(seed, digests)
    return digests
  }
}

/** An independent random source for each pair of seed and purpose. */
export function randomnessOf (seed: number, purpose: number): Randomness {
  return new SeededRandomness(seed * 7_001 + purpose)
}

function baselineEndpoint (name: EndpointPolicyName, here: Place, randomness: Randomness): EndpointPolicy {
  if (name === EndpointPolicyName.RoundRobin) return new RoundRobinPolicy(here, randomness)
  return new LeastLoadedPolicy(here, randomness)
}

function versionAdmissionBy (endpoint: AffinityEndpointPolicy): VersionAdmission {
  const policies = new Map<VersionName, ShareAdmissionPolicy>()
  return {
    pressure: (version, views) => endpoint.pressure(version, views),
    policyOf: version => {
      const known = policies.get(version)
      if (known !== undefined) return known
      const policy = new ShareAdmissionPolicy()
      policies.set(version, policy)
      return policy
    }
  }
}
