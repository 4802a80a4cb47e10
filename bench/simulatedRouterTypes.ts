/** The dependencies of a simulated router and the state of its requests in progress. */
import type { Place, Priority, Randomness, VersionName } from '../src/contract/index.ts'
import type { AdmissionPolicy, AttemptBudget, EndpointPolicy, EndpointView, PlanStep, VersionCandidate, VersionPolicy } from '../src/choice/index.ts'
import type { Arrival } from './arrivals.ts'
import type { SimulatedEngine } from './simulatedEngine.ts'
import type { MetricsCollector } from './runMetrics.ts'
import type { LoadReportFeed } from './loadReportFeed.ts'
import type { SimulatedRatingService } from './simulatedRatingService.ts'
import type { VirtualTime } from './virtualTime.ts'
import type { World, WorldUser } from './world.ts'

/** Admission control for the endpoints of each version. */
export interface VersionAdmission {
  policyOf (version: VersionName): AdmissionPolicy
  pressure (version: VersionName, views: readonly EndpointView[]): number
}

/** The policies of one router, which it shares with no other. */
export interface RouterPolicies {
  readonly version: VersionPolicy
  readonly endpoint: EndpointPolicy
  readonly budget: AttemptBudget
  /** Undefined if every request is admitted. */
  readonly admission: VersionAdmission | undefined
}

export interface SimulatedRouterDependencies {
  readonly world: World
  readonly user: WorldUser
  readonly here: Place
  readonly time: VirtualTime
  readonly loadReports: LoadReportFeed
  readonly engines: ReadonlyMap<string, SimulatedEngine>
  readonly candidates: () => readonly VersionCandidate[]
  readonly policies: RouterPolicies
  readonly ratings: SimulatedRatingService
  readonly metrics: MetricsCollector
  readonly randomness: Randomness
  /** The pinned version by session. All routers share the map, because session tokens carry the version from daemon to daemon. */
  readonly pinnedVersions: Map<string, VersionName>
  timeoutMillisecondsOf (kind: string): number
  isMeasured (arrival: Arrival): boolean
}

/** A request in progress, over all its attempts. */
export interface ActiveRequest {
  readonly arrival: Arrival
  readonly arrivedAt: number
  readonly deadline: number
  readonly priority: Priority
  readonly isMeasured: boolean
}

/** The current step of a request's version plan. */
export interface Attempt {
  readonly activeRequest: ActiveRequest
  readonly steps: readonly PlanStep[]
  readonly position: number
  readonly excludedEndpoints: ReadonlySet<string>
  readonly earlierRatings: readonly { readonly version: VersionName, readonly rating: number }[]
}
