/** Rate limits that endpoints announce, each for all gateways together. */
export type { Fleet, FleetMember, KnownLimit, LimitChange, LimitFact, RateAnnouncement, RatedEndpoint } from './contract.ts'
export { readRateAnnouncement, type ReadRateAnnouncement } from './rateAnnouncement.ts'
export { AnnouncedLimits, type LimitObservation } from './announcedLimits.ts'
export { partOfLimit, type DivisionInput, type LimitPart } from './limitDivision.ts'
export { PlaceQueue, PlaceQueues, latestTurn, type NoPlaceInTime, type PlaceForecast, type WaitingRequest } from './placeQueue.ts'
export { EndpointLimits, type EndpointLimitsOptions, type SendPermit } from './endpointLimits.ts'
export { decodeLimitFacts, encodeLimitFacts, limitFactsSchema, type EncodedLimitFacts } from './limitMessages.ts'
