/** Endpoints whose address answers for another endpoint, and what gateways tell each other of them. Performs no I/O. */
export { MisdirectedEndpoints, type MisdirectedEndpointsOptions } from './misdirectedEndpoints.ts'
export { type MisdirectionChange, type MisdirectionFact, MisdirectionChangeType, MisdirectionSource } from './contract.ts'
export { encodeMisdirectionFacts, misdirectionFactsSchema } from './misdirectionMessages.ts'
