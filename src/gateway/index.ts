/** The path of a forwarded request: the callers' server, attempts at endpoints, and what roll-outs need. */
export { GatewayServer, type GatewayServerOptions } from './gatewayServer.ts'
export { Forwarding, type ForwardingParts } from './forwarding.ts'
export { RoutingView } from './routingView.ts'
export { RollOutView, type VersionedStatus } from './rollOutView.ts'
export { RollOutDuty, type RollOutStore, type RollOutDutyOptions } from './rollOutDuty.ts'
export { OperationsServer } from './operationsServer.ts'
export { GatewayMetrics } from './gatewayMetrics.ts'
