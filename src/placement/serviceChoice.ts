/** Which service of a split route takes a request. */
import { hashOf } from '../contract/index.ts'
import type { Route } from '../routing/index.ts'

/**
 * Draws a service by the route's weights. The draw follows from the key, so a session stays with
 * its service while the weights stand.
 *
 * @param key a session or, without one, the request
 * @returns undefined where no service has a weight
 * @example
 * const service = chooseService(route, head.session ?? head.identity)
 */
export function chooseService (route: Route, key: string): string | undefined {
  const [only, ...others] = route.services
  if (only !== undefined && others.length === 0) return only.weight > 0 ? only.service : undefined
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let position = hashOf(`${route.name}\n${key}`) * total
  for (const { service, weight } of route.services) {
    position -= weight
    if (position < 0) return service
  }
  return undefined
}
