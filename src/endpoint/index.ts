/** Calls to model engines and plain services. */
export * from './contract.ts'
export { HttpEngineClient, type HttpEngineClientOptions } from './engineClient.ts'
export { HttpServiceClient, type HttpServiceClientOptions } from './serviceClient.ts'
export { type ConnectionPool, type ConnectionFactory } from './connections.ts'
export { Connections, type ConnectionOptions } from './connections.ts'
export { announcementIn, rateHeader } from './rateHeader.ts'
export { DeadlineReader } from './deadlineReader.ts'
export { type Exchange, type ExchangeEvent, type ExchangeOptions } from './exchange.ts'
