/** Registered endpoints. */
import type { Place } from '../contract/index.ts'
import type { RatedEndpoint } from '../rateLimit/index.ts'

/** One incarnation of an endpoint. */
export interface RoutedEndpoint {
  /** The identity that the endpoint requires requests to name. */
  readonly identity: string
  /** Milliseconds since the epoch of its start; an identity may restart and then retains no earlier state. */
  readonly bornAt: number
  readonly service: string
  /** `IP:port`. */
  readonly address: string
  readonly place: Place
  /** The version of its software. */
  readonly version: string
  readonly isDraining: boolean
  /** Number of the latest heartbeat in its registration; it only rises within an incarnation. Undefined if it does not say. */
  readonly heartbeat?: number
  /** Models it has loaded; empty for a plain service. */
  readonly models: readonly string[]
  /** Requests that it executes at once, others wait; undefined if it does not say. */
  readonly slots?: number
  /** How much longer it warms up, in milliseconds from when its registration was written; undefined if it does not. */
  readonly warmUpMilliseconds?: number
}

/**
 * Returns a key for one incarnation, so that state of an earlier incarnation is not reused.
 *
 * @example
 * const load = loads.get(instanceKey(endpoint))
 */
export function instanceKey (endpoint: Pick<RoutedEndpoint, 'identity' | 'bornAt'>): string {
  return `${endpoint.identity}@${endpoint.bornAt}`
}

/**
 * Returns what a decision on the rate limit of an endpoint depends on.
 *
 * @example
 * const mayBeChosen = limits.hasPlace(ratedEndpoint(endpoint), now)
 */
export function ratedEndpoint (endpoint: RoutedEndpoint): RatedEndpoint {
  return { instance: instanceKey(endpoint), service: endpoint.service, region: endpoint.place.region }
}
