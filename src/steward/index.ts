/** The steward: duties that one daemon of a data centre holds by a lease. */
export { StewardLease, type HeldLease } from './lease.ts'
export { Steward, type StewardOptions } from './steward.ts'
export { advanceRollOut, haltRollOut, type RollOutWriteOutcome } from './rollOutUpdates.ts'
export { missingEngineOrders } from './engineOrders.ts'
