/** Matches requests to routes: of the routes of a request's host, the one with the longest matching path prefix. */
import type { Route } from './routingSettings.ts'

/**
 * The routes of one version of the settings, by host and prefix.
 *
 * A match tries each slash-terminated prefix of the path, so its cost depends on the number of path
 * segments and not on the number of routes.
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
   * Returns the route of a request.
   *
   * @param host as the caller wrote it; a port and the case of letters are ignored
   * @param target the request target, with or without a query
   * @returns undefined if no route matches
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
