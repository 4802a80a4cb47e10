/** What forwarding a request depends on. A module that needs a part of it asks for that part alone. */
import type { EndpointRuns, PromptBreaker } from '../breaker/index.ts'
import type { Clock } from '../contract/index.ts'
import type { Connections } from '../endpoint/index.ts'
import type { MisdirectedEndpoints } from '../misdirection/index.ts'
import type { Log } from '../observe/index.ts'
import type { EndpointEligibility, EndpointRegistry, EndpointLoads, EndpointPlacement, ModelCascade, RetryBudget, RunDurations, VersionSelector } from '../placement/index.ts'
import type { EndpointLimits, PlaceQueues } from '../rateLimit/index.ts'
import type { HeaderCodec } from '../routing/index.ts'
import type { HeldBytes } from '../server/index.ts'
import type { EndpointAnnouncements } from './endpointAnnouncements.ts'
import type { EndpointLiveness } from './endpointLiveness.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'
import type { PlannedStop } from './plannedStop.ts'
import type { RollOutView } from './rollOutView.ts'
import type { RoutingView } from './routingView.ts'

export interface ForwardingDependencies {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly codec: HeaderCodec
  readonly routing: RoutingView
  readonly registry: EndpointRegistry
  readonly eligibility: EndpointEligibility
  readonly misdirected: MisdirectedEndpoints
  readonly loads: EndpointLoads
  readonly liveness: EndpointLiveness
  readonly placement: EndpointPlacement
  readonly limits: EndpointLimits
  readonly placeQueues: PlaceQueues
  readonly modelCascade: ModelCascade
  readonly retryBudget: RetryBudget
  readonly breaker: PromptBreaker
  readonly runs: EndpointRuns
  readonly announcements: EndpointAnnouncements
  readonly versionSelector: VersionSelector
  readonly rollOuts: RollOutView
  readonly connections: Connections
  readonly plannedStop: PlannedStop
  readonly runDurations: RunDurations
  readonly heldBytes: HeldBytes
  readonly heldAnswers: HeldBytes
  /** Resolves when the settings and endpoints are known, or when a process that has just started should wait no longer for them. */
  readonly untilTablesAreRead: () => Promise<void>
}
