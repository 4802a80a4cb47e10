/**
 * Values that determine forwarding: routes, services, organisations, limits, endpoints and roll-outs.
 * All are immutable; updates create new values.
 */
export {
  RouteType, isRepeatable, type Route, type WeightedService, type RoutedService, type RoutedModel, type RoutedOrganisation,
  type CallerLimits, type RoutingSettings, type AllowedRegions, type WarmUp
} from './routingSettings.ts'
export { RouteTable } from './routeTable.ts'
export { type RoutedEndpoint, instanceKey, ratedEndpoint } from './routedEndpoint.ts'
export { type RollOutOrder, RollOutState, type RollOutStatus, type RollOutPins, type RollOutEvidence, type SessionHandOver } from './rollOut.ts'
export { type PromptPart, type RequestHead, type ResponseHead, type AttemptHead, type HeaderCodec, type HeaderMap } from './headerCodec.ts'
