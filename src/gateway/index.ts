/** Request forwarding: the server for callers, attempts at endpoints, and roll-out coordination. */
export { GatewayServer, type GatewayServerOptions } from './gatewayServer.ts'
export { Forwarding, type ForwardingDependencies } from './forwarding.ts'
export { RoutingView } from './routingView.ts'
export { RollOutView, type VersionedStatus } from './rollOutView.ts'
export { PinnedSessions, type PinnedRollOut } from './pinnedSessions.ts'
export { RollOutCoordinator, type RollOutStore, type RollOutCoordinatorOptions } from './rollOutCoordinator.ts'
export { OperationsServer } from './operationsServer.ts'
export { GatewayMetrics } from './gatewayMetrics.ts'
