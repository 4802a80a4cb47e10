/** Membership: daemons and endpoints, their health, leaving marks and load. */
export * from './contract.ts'
