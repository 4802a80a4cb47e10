/** The operators' routing settings: one complete, versioned value. */

/** How requests of a route may be retried. */
export const RouteType = {
  /** A request may be executed more than once. */
  Idempotent: 'idempotent',
  /** A request is executed at most once. */
  AtMostOnce: 'at_most_once',
  /** The response is a stream of numbered events. */
  Stream: 'stream'
} as const
export type RouteType = typeof RouteType[keyof typeof RouteType]

/** Names of the regions whose endpoints may serve a request; undefined if all may. */
export type AllowedRegions = ReadonlySet<string> | undefined

/** A service and its weight in a route's traffic split. */
export interface WeightedService {
  readonly service: string
  /** Relative to the other weights of the route; not negative. */
  readonly weight: number
}

/** Destination and requirements of requests for a host and path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly type: RouteType
  /** Whether another run may resume a stream after its last event. */
  readonly isResumable: boolean
  readonly services: readonly WeightedService[]
  /** Maximum total time of a request, in milliseconds. */
  readonly timeoutMilliseconds: number
  /** Target for the time to the response, or to the first event of a stream, in milliseconds. */
  readonly latencyTargetMilliseconds: number
  /** Maximum gap between two events of a stream that is on time, in milliseconds. */
  readonly maximumEventGapMilliseconds: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Maximum number of endpoints that one request may be sent to. */
  readonly maximumAttempts: number
  /** Whether requests are served without an API key. */
  readonly isPublic: boolean
  /** Models that the system chooses from, smallest first; empty if the caller names the model. */
  readonly modelSizes: readonly string[]
  /** Regions whose endpoints may serve its requests; undefined if all may. */
  readonly allowedRegions: AllowedRegions
}

/**
 * Whether a request of a route may be sent again once it may have run.
 *
 * @example
 * if (mayHaveRun && !isRepeatable(route)) return
 */
export function isRepeatable ({ type, isResumable }: Pick<Route, 'type' | 'isResumable'>): boolean {
  return type === RouteType.Idempotent || (type === RouteType.Stream && isResumable)
}

/** A model that a service's endpoints run. */
export interface RoutedModel {
  readonly name: string
  /** Cost units per thousand generated tokens; a prompt token counts as a quarter. */
  readonly cost: number
}

/** A group of endpoints that serve the same requests. */
export interface RoutedService {
  readonly name: string
  readonly models: readonly RoutedModel[]
  /** What its endpoints bear while they warm up; undefined if they need no care. */
  readonly warmUp: WarmUp | undefined
}

/** What the endpoints of a service bear while they warm up. */
export interface WarmUp {
  /** How long an endpoint warms up after its start. */
  readonly durationMilliseconds: number
  /** Requests a second that one endpoint bears meanwhile, from all gateways together. */
  readonly requestsPerSecond: number
}

/** An organisation, as far as forwarding needs it. */
export interface RoutedOrganisation {
  readonly name: string
  /** Overrides the route's priority if given. */
  readonly priority: number | undefined
  /** Regions whose endpoints may serve its requests; undefined if all may. */
  readonly allowedRegions: AllowedRegions
}

/** Size and time limits for callers' requests. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  readonly headerTimeoutMilliseconds: number
  readonly idleTimeoutMilliseconds: number
}

/** One version of all routing settings. */
export interface RoutingSettings {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, RoutedService>
  /** Whether routes that are not public require an API key. */
  readonly requiresApiKey: boolean
  readonly organisationsByApiKey: ReadonlyMap<string, RoutedOrganisation>
  readonly limits: CallerLimits
}
