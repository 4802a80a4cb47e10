/** The policies of a default run, each a choice of version and a choice of endpoint. */
import { type Place, type Randomness, SeededRandomness, type VersionName } from '../src/contract/index.ts'
import {
  AffinityEndpointPolicy, type EndpointPolicy, LearnedVersionPolicy, RegionLinkBudget, RatioAttemptBudget, ShareAdmissionPolicy,
  type VersionDigest, type VersionPolicy
} from '../src/choice/index.ts'
import type { DeciderPolicies, Limits } from './deciderParts.ts'
import { LeastLoadedPolicy, RoundRobinPolicy } from './endpointBaselines.ts'
import { drawWorkload, runPolicy, SessionRule } from './qualityRun.ts'
import { AlwaysCheapPolicy, AlwaysStrongPolicy, CheapestFixedPolicy, FixedThresholdCascadePolicy } from './versionBaselines.ts'
import type { World, WorldUser } from './world.ts'
import { fullLoad } from './worldLoad.ts'

/** The choices of version that are compared. */
export const VersionChoice = {
  AlwaysStrong: 'always strong',
  AlwaysCheap: 'always cheap',
  CheapestFixed: 'cheapest fixed',
  ThresholdCascade: 'threshold cascade',
  Learned: 'learned'
} as const
export type VersionChoice = typeof VersionChoice[keyof typeof VersionChoice]

/** The choices of endpoint that are compared; the project's own comes with its limits. */
export const EndpointChoiceName = {
  RoundRobin: 'round robin',
  LeastLoaded: 'least loaded',
  Affinity: 'affinity'
} as const
export type EndpointChoiceName = typeof EndpointChoiceName[keyof typeof EndpointChoiceName]

/** One of each. */
export interface PolicyPair {
  readonly version: VersionChoice
  readonly endpoint: EndpointChoiceName
}

/** Requests that learned policies have met before a run begins, all at one daemon, whose digest the others read. */
const practiceRequests = 4_000
const practiceDaemons = 1
const practiceExchangeRequests = Number.POSITIVE_INFINITY
const practiceLoad = 0.7
const cascadeMarginPoints = 5
/** The part of the regional link that requests may fill. */
const linkShare = 0.5
const bytesPerMegabit = 125_000

/** Makes the policies of a user's deciders. */
export class PolicyFactory {
  readonly #world: World
  readonly #user: WorldUser
  readonly #deciders: number
  readonly #practice = new Map<number, readonly VersionDigest[]>()

  constructor (world: World, user: WorldUser, deciders: number) {
    this.#world = world
    this.#user = user
    this.#deciders = deciders
  }

  /** The policies of one decider. */
  make (pair: PolicyPair, seed: number, here: Place, randomness: Randomness): DeciderPolicies {
    const version = this.version(pair.version, seed, randomness)
    const budget = new RatioAttemptBudget()
    if (pair.endpoint !== EndpointChoiceName.Affinity) {
      return { version, endpoint: baselineEndpoint(pair.endpoint, here, randomness), budget, limits: undefined }
    }
    const bytesPerSecond = this.#user.regionalLinkMegabits * bytesPerMegabit * linkShare / this.#deciders
    const endpoint = new AffinityEndpointPolicy({ here, randomness, link: new RegionLinkBudget(bytesPerSecond) })
    return { version, endpoint, budget, limits: limitsBy(endpoint) }
  }

  /** A version policy; a learned one has practised on requests of the same seed. */
  version (choice: VersionChoice, seed: number, randomness: Randomness): VersionPolicy {
    if (choice === VersionChoice.AlwaysStrong) return new AlwaysStrongPolicy()
    if (choice === VersionChoice.AlwaysCheap) return new AlwaysCheapPolicy()
    if (choice === VersionChoice.CheapestFixed) return new CheapestFixedPolicy(this.#world)
    if (choice === VersionChoice.ThresholdCascade) return new FixedThresholdCascadePolicy(this.#world, this.#world.qualityGood + cascadeMarginPoints)
    const policy = this.#unpractised(randomness)
    for (const digest of this.practise(seed)) policy.mergeDigest(digest)
    return policy
  }

  #unpractised (randomness: Randomness): LearnedVersionPolicy {
    return new LearnedVersionPolicy({ randomness, goodRating: this.#world.qualityGood, ratingCost: this.#world.ratingCost })
  }

  /** Gives the factory what learned policies of a seed have practised, where that is known already. */
  know (seed: number, practice: readonly VersionDigest[]): void {
    this.#practice.set(seed, practice)
  }

  /** What learned policies of a seed have practised. */
  practise (seed: number): readonly VersionDigest[] {
    const known = this.#practice.get(seed)
    if (known !== undefined) return known
    const learners: LearnedVersionPolicy[] = []
    const rate = practiceLoad * fullLoad(this.#world, this.#user).requestsPerSecond
    const workload = drawWorkload(this.#world, this.#user, practiceRequests, rate, seed + 50_000, SessionRule.Pinned)
    const options = { seed: seed + 50_000, daemons: practiceDaemons, exchangeEvery: practiceExchangeRequests, sessions: SessionRule.Pinned }
    runPolicy(this.#world, workload, options, randomness => {
      const learner = this.#unpractised(randomness)
      learners.push(learner)
      return learner
    })
    const digests = learners.map((learner, index) => learner.digest(`practice-${index}`, 1))
    this.#practice.set(seed, digests)
    return digests
  }
}

/** Randomness of a seed and a purpose. */
export function randomnessOf (seed: number, purpose: number): Randomness {
  return new SeededRandomness(seed * 7_001 + purpose)
}

function baselineEndpoint (name: EndpointChoiceName, here: Place, randomness: Randomness): EndpointPolicy {
  if (name === EndpointChoiceName.RoundRobin) return new RoundRobinPolicy(here, randomness)
  return new LeastLoadedPolicy(here, randomness)
}

function limitsBy (endpoint: AffinityEndpointPolicy): Limits {
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
