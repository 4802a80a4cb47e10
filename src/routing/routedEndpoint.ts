/** An endpoint as it registered itself. */
import type { Place } from '../contract/index.ts'

/** One incarnation of an endpoint. */
export interface RoutedEndpoint {
  /** The identity that it checks requests against. */
  readonly identity: string
  /** Milliseconds since the epoch of its start; an identity may start again and then holds nothing of before. */
  readonly bornAt: number
  readonly service: string
  /** `IP:port`. */
  readonly address: string
  readonly place: Place
  /** The version of its software. */
  readonly version: string
  readonly isDraining: boolean
  /** Models it has loaded; empty for a plain service. */
  readonly models: readonly string[]
}

/**
 * Names one incarnation, so that nothing learned of an earlier one is kept.
 *
 * @example
 * const load = loads.get(instanceKey(endpoint))
 */
export function instanceKey (endpoint: Pick<RoutedEndpoint, 'identity' | 'bornAt'>): string {
  return `${endpoint.identity}@${endpoint.bornAt}`
}
