/** Chooses the service for a request of a route with a traffic split. */
import { hashFraction } from '../contract/index.ts'
import type { Route } from '../routing/index.ts'

/**
 * Chooses a service by the route's weights. The choice is a function of the key's hash, so a session
 * stays with its service as long as the weights are unchanged.
 *
 * @param key a session or, without one, the request
 * @returns undefined if no service has a weight
 * @example
 * const service = chooseService(route, head.session ?? head.identity)
 */
export function chooseService (route: Route, key: string): string | undefined {
  const [only, ...others] = route.services
  if (only !== undefined && others.length === 0) return only.weight > 0 ? only.service : undefined
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let position = hashFraction(`${route.name}\n${key}`) * total
  for (const { service, weight } of route.services) {
    position -= weight
    if (position < 0) return service
  }
  return undefined
}
