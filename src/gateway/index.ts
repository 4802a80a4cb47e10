/** The path of a forwarded request: the callers' server, attempts at endpoints, and what roll-outs need. */
export { GatewayServer, type GatewayServerOptions } from './gatewayServer.ts'
export { Forwarding, type ForwardingDependencies } from './forwarding.ts'
export { RoutingView } from './routingView.ts'
export { RollOutView, type VersionedStatus } from './rollOutView.ts'
export { RollOutCoordinator, type RollOutStore, type RollOutCoordinatorOptions } from './rollOutCoordinator.ts'
export { OperationsServer } from './operationsServer.ts'
export { GatewayMetrics } from './gatewayMetrics.ts'
