/** The components of a forwarder, as those that are made from others read them. */
import type { BootFile, RowStore } from '../../platform/index.ts'
import type { EndpointRuns, PromptBreaker } from '../breaker/index.ts'
import type { Randomness, SystemClock } from '../contract/index.ts'
import type { Connections } from '../endpoint/index.ts'
import type { EndpointLiveness, Forwarding, GatewayMetrics, GatewayServer, OperationsServer, PlannedStop, RollOutCoordinator, RollOutView, RoutingView } from '../gateway/index.ts'
import type { FleetDirectory, FleetReports } from '../fleet/index.ts'
import type { LoadReports, WorkNews } from '../fleetLoad/index.ts'
import type { TcpLink } from '../link/index.ts'
import type { MisdirectedEndpoints } from '../misdirection/index.ts'
import type { NewsExchange } from '../news/index.ts'
import type { EventLoopStalls, LineQueue, Log } from '../observe/index.ts'
import type { EndpointEligibility, EndpointLoads, EndpointRegistry, Evacuations, VersionSelector } from '../placement/index.ts'
import type { AnnouncedLimits, EndpointLimits, PlaceQueues, WarmUps } from '../rateLimit/index.ts'
import type { ConfirmationMonitor, PeerReplicaExchange, RelayFollower, ReplicaFollower, ReplicaRelay } from '../replica/index.ts'
import type { CallerListener, HeldBytes } from '../server/index.ts'
import type { EvacuationLoader } from './evacuationLoader.ts'
import type { RowRollOutStore } from './rollOutStore.ts'
import type { TableLoader } from './tableLoader.ts'

/** Holds the boot file in force; a reload replaces it. */
export interface BootFileHolder {
  current: BootFile
}

/** All components of a forwarder. */
export interface ForwarderDependencies {
  readonly boot: BootFileHolder
  readonly secret: string
  readonly listener: CallerListener
  readonly clock: SystemClock
  readonly eventLoopStalls: EventLoopStalls
  readonly randomness: Randomness
  readonly logLines: LineQueue
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly store: RowStore
  readonly link: TcpLink
  readonly follower: ReplicaFollower
  readonly peers: PeerReplicaExchange
  readonly relay: ReplicaRelay
  readonly relayFollower: RelayFollower
  readonly confirmationMonitor: ConfirmationMonitor
  readonly routing: RoutingView
  readonly registry: EndpointRegistry
  readonly evacuations: Evacuations
  readonly misdirected: MisdirectedEndpoints
  readonly eligibility: EndpointEligibility
  readonly loads: EndpointLoads
  readonly liveness: EndpointLiveness
  readonly rollOuts: RollOutView
  readonly versionSelector: VersionSelector
  readonly rollOutStore: RowRollOutStore
  readonly rollOutCoordinator: RollOutCoordinator
  readonly evacuationLoader: EvacuationLoader
  readonly tableLoader: TableLoader
  readonly breaker: PromptBreaker
  readonly runs: EndpointRuns
  readonly announcedLimits: AnnouncedLimits
  readonly warmUps: WarmUps
  readonly limits: EndpointLimits
  readonly placeQueues: PlaceQueues
  readonly fleet: FleetDirectory
  readonly fleetReports: FleetReports
  readonly news: NewsExchange
  readonly loadNews: WorkNews
  readonly loadReports: LoadReports
  readonly connections: Connections
  readonly plannedStop: PlannedStop
  readonly heldBytes: HeldBytes
  readonly heldAnswers: HeldBytes
  readonly forwarding: Forwarding
  readonly gateway: GatewayServer
  readonly operations: OperationsServer
}
