/** Rate limits of endpoints, each for all gateways together: announced ones, and those of endpoints that warm up. */
export type { Fleet, FleetMember, KnownLimit, LimitChange, LimitFact, RateAnnouncement, RatedEndpoint, SharedLimit } from './contract.ts'
export { readRateAnnouncement, type ReadRateAnnouncement } from './rateAnnouncement.ts'
export { AnnouncedLimits, type LimitObservation } from './announcedLimits.ts'
export { WarmUps, type WarmUpStatement, type WarmUpTolerance, type WarmUpsOptions } from './warmUps.ts'
export { partOfLimit, type DivisionInput, type LimitPart } from './limitDivision.ts'
export { PlaceQueue, PlaceQueues, latestTurn, type NoPlaceInTime, type PlaceForecast, type WaitingRequest } from './placeQueue.ts'
export { EndpointLimits, type EndpointLimitsOptions, type SendPermit } from './endpointLimits.ts'
export { decodeLimitFacts, encodeLimitFacts, limitFactsSchema, type EncodedLimitFacts } from './limitMessages.ts'
