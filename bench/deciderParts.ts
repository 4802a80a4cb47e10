/** What a decider of a run is made of, and what it holds of a request on its way. */
import type { Place, Priority, Randomness, VersionName } from '../src/contract/index.ts'
import type { AdmissionPolicy, AttemptBudget, EndpointPolicy, EndpointView, PlanStep, VersionCandidate, VersionPolicy } from '../src/choice/index.ts'
import type { Arrival } from './arrivals.ts'
import type { FakeEngine } from './engine.ts'
import type { Measure } from './measure.ts'
import type { NewsFeed } from './news.ts'
import type { Ratings } from './ratings.ts'
import type { VirtualTime } from './virtualTime.ts'
import type { World, WorldUser } from './world.ts'

/** Admission to the pool of a version. */
export interface Limits {
  policyOf (version: VersionName): AdmissionPolicy
  pressure (version: VersionName, views: readonly EndpointView[]): number
}

/** The policies of one decider. */
export interface DeciderPolicies {
  readonly version: VersionPolicy
  readonly endpoint: EndpointPolicy
  readonly budget: AttemptBudget
  /** Undefined where nothing is limited. */
  readonly limits: Limits | undefined
}

/** What a decider stands in. */
export interface DeciderParts {
  readonly world: World
  readonly user: WorldUser
  readonly here: Place
  readonly time: VirtualTime
  readonly news: NewsFeed
  readonly engines: ReadonlyMap<string, FakeEngine>
  readonly candidates: () => readonly VersionCandidate[]
  readonly policies: DeciderPolicies
  readonly ratings: Ratings
  readonly measure: Measure
  readonly randomness: Randomness
  /** Sessions' versions, which their tokens carry from daemon to daemon. */
  readonly pins: Map<string, VersionName>
  deadlineOf (kind: string): number
  measured (arrival: Arrival): boolean
}

/** One request on its way. */
export interface Serving {
  readonly arrival: Arrival
  readonly arrivedAt: number
  readonly deadline: number
  readonly priority: Priority
  readonly measured: boolean
}

/** A request's present step. */
export interface Attempt {
  readonly serving: Serving
  readonly steps: readonly PlanStep[]
  readonly position: number
  readonly excluded: ReadonlySet<string>
  readonly earlier: readonly { readonly version: VersionName, readonly rating: number }[]
}
