/**
 * Which endpoints may get new work, from the rows that endpoints keep of themselves.
 *
 * Within one incarnation leaving is final: a row that comes late and says otherwise changes nothing.
 * A row that vanishes while the store answers means that its endpoint has left. One that vanished
 * because the store was out and rows expired says nothing of the endpoint: it is kept until the
 * endpoint has had the time to register again, and only then taken for gone.
 */
import { instanceKey, type RoutedEndpoint } from '../routing/index.ts'

/** An endpoint that lives has registered again this long after the store is back. */
const registrationMilliseconds = 2_000
/** Departed incarnations remembered, so that a late row does not bring them back. */
const mostDeparted = 2_000

/** What the roster learns at once. */
export interface RosterNews {
  readonly endpoints: readonly RoutedEndpoint[]
  /** Whether the store was out within the time in which a row expires. */
  readonly storeWasOut: boolean
  /** Milliseconds of the process's clock. */
  readonly now: number
}

interface Kept {
  readonly endpoint: RoutedEndpoint
  /** When it counts as gone; undefined while it is registered. */
  readonly until: number | undefined
}

/**
 * The endpoints of all services.
 *
 * @example
 * roster.learn({ endpoints, storeWasOut: false, now })
 * const able = roster.serving('ledger', now)
 */
export class EndpointRoster {
  #byService = new Map<string, readonly Kept[]>()
  /** Incarnations that were leaving or gone. */
  readonly #departed = new Set<string>()

  /** Takes in all registrations as they stand now. */
  learn ({ endpoints, storeWasOut, now }: RosterNews): void {
    const registered = new Set(endpoints.map(endpoint => endpoint.identity))
    const kept: Kept[] = endpoints.map(endpoint => ({ endpoint, until: undefined }))
    for (const known of this.#all()) {
      if (registered.has(known.endpoint.identity)) continue
      const until = known.until ?? (storeWasOut ? now + registrationMilliseconds : now)
      if (until > now) kept.push({ endpoint: known.endpoint, until })
      else this.#depart(known.endpoint)
    }
    for (const { endpoint } of kept) {
      if (endpoint.leaving) this.#depart(endpoint)
    }
    this.#byService = groupByService(kept)
  }

  /**
   * Endpoints of a service that may get new work.
   *
   * @param now milliseconds of the process's clock
   */
  serving (service: string, now: number): readonly RoutedEndpoint[] {
    const known = this.#byService.get(service) ?? []
    const able = known.filter(({ endpoint, until }) => !this.#departed.has(instanceKey(endpoint)) && (until === undefined || until > now))
    return able.map(({ endpoint }) => endpoint)
  }

  /** Whether an incarnation may still get new work; looked at again in the turn of a send. */
  mayServe (endpoint: RoutedEndpoint, now: number): boolean {
    return this.serving(endpoint.service, now).some(able => instanceKey(able) === instanceKey(endpoint))
  }

  #all (): Kept[] {
    return [...this.#byService.values()].flat()
  }

  #depart (endpoint: RoutedEndpoint): void {
    // An incarnation that only vanished may register again; one that said it leaves may not.
    if (!endpoint.leaving) return
    this.#departed.add(instanceKey(endpoint))
    const [oldest] = this.#departed
    if (this.#departed.size > mostDeparted && oldest !== undefined) this.#departed.delete(oldest)
  }
}

function groupByService (kept: readonly Kept[]): Map<string, readonly Kept[]> {
  const groups = new Map<string, Kept[]>()
  for (const entry of kept) {
    const group = groups.get(entry.endpoint.service)
    if (group === undefined) groups.set(entry.endpoint.service, [entry])
    else group.push(entry)
  }
  return groups
}
