/** The steward: duties that one daemon of a data centre holds by a lease. */
export { StewardLease, type HeldLease } from './lease.ts'
export { Steward, type StewardParts } from './steward.ts'
export { advanceRollOut, haltRollOut, type RollOutWrite } from './rollOutDuty.ts'
export { missingOrders } from './orderDuty.ts'
