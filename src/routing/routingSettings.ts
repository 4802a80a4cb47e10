/** What operators say of forwarding: one complete, versioned value. */

/** What may be repeated of a request. */
export const RouteType = {
  /** It may run more than once. */
  Idempotent: 'idempotent',
  /** It runs at most once. */
  AtMostOnce: 'at_most_once',
  /** Its answer is a stream of numbered events. */
  Stream: 'stream'
} as const
export type RouteType = typeof RouteType[keyof typeof RouteType]

/** A service and the share of a route's requests that it takes. */
export interface WeightedService {
  readonly service: string
  /** Relative to the other weights of the route; not negative. */
  readonly weight: number
}

/** Where requests of a host and path prefix go, and what they ask for. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly type: RouteType
  /** A stream that may be carried on by another run after its last event. */
  readonly isResumable: boolean
  readonly services: readonly WeightedService[]
  /** The longest that a caller is kept waiting, in milliseconds. */
  readonly timeoutMilliseconds: number
  /** The answer (of a stream: the first event) is due within this, in milliseconds. */
  readonly latencyTargetMilliseconds: number
  /** The longest pause between two events of a stream that is on time, in milliseconds. */
  readonly maximumEventGapMilliseconds: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Endpoints that one request may be sent to. */
  readonly maximumAttempts: number
  /** Whether it is served without a key. */
  readonly isPublic: boolean
  /** Models that the system chooses among, smallest first; empty where the caller names the model. */
  readonly modelSizes: readonly string[]
}

/** A model that a service's endpoints run. */
export interface RoutedModel {
  readonly name: string
  /** Cost units for each thousand generated tokens; a token read counts as a quarter. */
  readonly cost: number
}

/** A group of endpoints that answer the same requests. */
export interface RoutedService {
  readonly name: string
  readonly models: readonly RoutedModel[]
}

/** Who calls, as far as forwarding needs it. */
export interface RoutedOrganisation {
  readonly name: string
  /** Goes before the route's priority where it is given. */
  readonly priority: number | undefined
}

/** Bounds on what a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  readonly headerTimeoutMilliseconds: number
  readonly idleTimeoutMilliseconds: number
}

/** Everything that is in force at one moment. */
export interface RoutingSettings {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, RoutedService>
  /** Whether routes that are not public need a key. */
  readonly requiresApiKey: boolean
  readonly organisationsByApiKey: ReadonlyMap<string, RoutedOrganisation>
  readonly limits: CallerLimits
}
