/** The steward: duties of a data centre that are performed by the one daemon that holds a lease. */
export { StewardLease, type HeldLease } from './lease.ts'
export { Steward, type StewardOptions } from './steward.ts'
export { advanceRollOut, haltRollOut, type RollOutWriteOutcome } from './rollOutUpdates.ts'
export { missingEngineOrders } from './engineOrders.ts'
