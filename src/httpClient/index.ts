/** HTTP connections to other processes, protected from bytes that never end. */
export { ProgressClient, createPool, type ProgressClientOptions } from './progressClient.ts'
export { type ConnectionGeneration, RenewablePool, isConnectError } from './renewablePool.ts'
export { readBoundedResponse } from './boundedResponse.ts'
export { ConnectionOutcome, connectionProbe, type ConnectionProbe } from './connectionProbe.ts'
