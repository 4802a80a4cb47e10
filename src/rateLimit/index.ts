/** Rate limits that endpoints announce, each for all gateways together. */
export type { RateAnnouncement } from './contract.ts'
export { readRateAnnouncement, type ReadRateAnnouncement } from './rateAnnouncement.ts'
