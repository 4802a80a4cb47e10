/** HTTP connections to other processes, protected from bytes that never end. */
export { ProgressClient, createPool, type ProgressClientOptions } from './progressClient.ts'
export { createConnector } from './connector.ts'
export { PoolFailure, type PoolReply, type PoolRequest, RenewablePool } from './renewablePool.ts'
export { ConnectionOutcome, connectionProbe, type ConnectionProbe } from './connectionProbe.ts'
