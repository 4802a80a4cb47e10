/** Finds a request's route: of the routes of its host, the one with the longest prefix that begins its path. */
import type { Route } from './routingSettings.ts'

/**
 * The routes of one version of the settings, by host and prefix.
 *
 * A lookup cuts the path at its slashes, so it costs as many look-ups as the path has parts however
 * many routes there are.
 *
 * @example
 * const route = new RouteTable(settings.routes).match('desk.example', '/summaries/17')
 */
export class RouteTable {
  readonly #routes = new Map<string, Map<string, Route>>()

  constructor (routes: readonly Route[]) {
    for (const route of routes) this.#add(route)
  }

  /**
   * The route of a request.
   *
   * @param host as the caller wrote it; a port and the case of letters are ignored
   * @param target the request target, with or without a query
   * @returns undefined where no route matches
   */
  match (host: string, target: string): Route | undefined {
    const prefixes = this.#routes.get(hostName(host))
    if (prefixes === undefined) return undefined
    const path = target.split('?', 1)[0] ?? ''
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route !== undefined || end === 0) return route
    }
    return undefined
  }

  #add (route: Route): void {
    const host = hostName(route.host)
    const prefixes = this.#routes.get(host) ?? new Map<string, Route>()
    prefixes.set(route.prefix, route)
    this.#routes.set(host, prefixes)
  }
}

function hostName (host: string): string {
  const colon = host.lastIndexOf(':')
  const name = colon > host.lastIndexOf(']') ? host.slice(0, colon) : host
  return name.toLowerCase()
}
