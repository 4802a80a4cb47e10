/**
 * Decides which endpoints of a service a request may reach: those that take new work, are at their address, in a
 * region that its route and its organisation allow, in a data centre that is not evacuated. Every choice of an endpoint begins here,
 * and the endpoint is checked again in the event-loop turn that sends the request. If nothing is left, it says
 * what stands in the way.
 */
import type { MisdirectedEndpoints } from '../misdirection/index.ts'
import type { AllowedRegions, RoutedEndpoint } from '../routing/index.ts'
import type { EndpointRegistry } from './endpointRegistry.ts'
import type { Evacuations } from './evacuations.ts'

/** What decides on a request's endpoints. */
export interface EligibilityRequest {
  readonly service: string
  readonly allowedRegions: AllowedRegions
}

/** Why no endpoint of a service may be reached. */
export const Ineligibility = {
  /** No endpoint of the service takes new work at its address. */
  NoEndpoint: 'no_endpoint',
  /** None is in a region that the request may be served in. */
  NoAllowedRegion: 'no_allowed_region',
  /** Those that are left are in data centres that are evacuated. */
  Evacuated: 'evacuated'
} as const
export type Ineligibility = typeof Ineligibility[keyof typeof Ineligibility]

/**
 * @example
 * const candidates = eligibility.endpointsFor({ service: 'engines', allowedRegions: new Set(['coast']) }, now)
 */
export class EndpointEligibility {
  readonly #registry: Pick<EndpointRegistry, 'servingEndpoints' | 'isServing'>
  readonly #evacuations: Evacuations
  readonly #misdirected: Pick<MisdirectedEndpoints, 'isMisdirected'>

  constructor (registry: Pick<EndpointRegistry, 'servingEndpoints' | 'isServing'>, evacuations: Evacuations, misdirected: Pick<MisdirectedEndpoints, 'isMisdirected'>) {
    this.#registry = registry
    this.#evacuations = evacuations
    this.#misdirected = misdirected
  }

  /** The endpoints that a request may reach. */
  endpointsFor ({ service, allowedRegions }: EligibilityRequest, now: number): readonly RoutedEndpoint[] {
    return this.#servingEndpoints(service, now).filter(endpoint => this.#isOpenTo(endpoint, allowedRegions))
  }

  /** Whether a request may be sent to an endpoint that was chosen earlier. */
  isEligible (endpoint: RoutedEndpoint, allowedRegions: AllowedRegions, now: number): boolean {
    return this.#isOpenTo(endpoint, allowedRegions) && this.#registry.isServing(endpoint, now) && !this.#misdirected.isMisdirected(endpoint, now)
  }

  /** What leaves a request without an endpoint; undefined if it has one. */
  ineligibilityOf (request: EligibilityRequest, now: number): Ineligibility | undefined {
    if (request.allowedRegions?.size === 0) return Ineligibility.NoAllowedRegion
    const serving = this.#servingEndpoints(request.service, now)
    if (serving.length === 0) return Ineligibility.NoEndpoint
    const allowed = serving.filter(({ place }) => isAllowed(place.region, request.allowedRegions))
    if (allowed.length === 0) return Ineligibility.NoAllowedRegion
    const isReachable = allowed.some(({ place }) => !this.#evacuations.isEvacuated(place.dataCentre))
    return isReachable ? undefined : Ineligibility.Evacuated
  }

  #servingEndpoints (service: string, now: number): readonly RoutedEndpoint[] {
    return this.#registry.servingEndpoints(service, now).filter(endpoint => !this.#misdirected.isMisdirected(endpoint, now))
  }

  #isOpenTo ({ place }: RoutedEndpoint, allowedRegions: AllowedRegions): boolean {
    return isAllowed(place.region, allowedRegions) && !this.#evacuations.isEvacuated(place.dataCentre)
  }
}

/**
 * The regions that both of two settings allow.
 *
 * @returns undefined if all regions are allowed; an empty set if the two have none in common
 * @example
 * allowedByBoth(new Set(['coast', 'hills']), new Set(['hills'])) // Set { 'hills' }
 */
export function allowedByBoth (left: AllowedRegions, right: AllowedRegions): AllowedRegions {
  if (left === undefined || right === undefined) return left ?? right
  return new Set([...left].filter(region => right.has(region)))
}

function isAllowed (region: string, allowedRegions: AllowedRegions): boolean {
  return allowedRegions === undefined || allowedRegions.has(region)
}
