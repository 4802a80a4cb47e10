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
const reregistrationMilliseconds = 2_000
/** Departed incarnations remembered, so that a late row does not bring them back. */
const maximumDepartedInstances = 2_000

/** What the roster learns at once. */
export interface RegistrationSnapshot {
  readonly endpoints: readonly RoutedEndpoint[]
  /** Whether the store was out within the time in which a row expires. */
  readonly wasStoreUnavailable: boolean
  /** Milliseconds of the process's clock. */
  readonly now: number
}

interface KnownEndpoint {
  readonly endpoint: RoutedEndpoint
  /** When it counts as gone; undefined while it is registered. */
  readonly expiresAt: number | undefined
}

/**
 * The endpoints of all services.
 *
 * @example
 * roster.learn({ endpoints, wasStoreUnavailable: false, now })
 * const able = roster.serving('ledger', now)
 */
export class EndpointRegistry {
  #byService = new Map<string, readonly KnownEndpoint[]>()
  /** Incarnations that were leaving or gone. */
  readonly #departedInstances = new Set<string>()

  /** Takes in all registrations as they stand now. */
  update ({ endpoints, wasStoreUnavailable: storeWasOut, now }: RegistrationSnapshot): void {
    const registered = new Set(endpoints.map(endpoint => endpoint.identity))
    const kept: KnownEndpoint[] = endpoints.map(endpoint => ({ endpoint, expiresAt: undefined }))
    for (const known of this.#knownEndpoints()) {
      if (registered.has(known.endpoint.identity)) continue
      const until = known.expiresAt ?? (storeWasOut ? now + reregistrationMilliseconds : now)
      if (until > now) kept.push({ endpoint: known.endpoint, expiresAt: until })
      else this.#markDeparted(known.endpoint)
    }
    for (const { endpoint } of kept) {
      if (endpoint.isDraining) this.#markDeparted(endpoint)
    }
    this.#byService = groupByService(kept)
  }

  /**
   * Endpoints of a service that may get new work.
   *
   * @param now milliseconds of the process's clock
   */
  servingEndpoints (service: string, now: number): readonly RoutedEndpoint[] {
    const known = this.#byService.get(service) ?? []
    const serving = known.filter(({ endpoint, expiresAt: until }) => !this.#departedInstances.has(instanceKey(endpoint)) && (until === undefined || until > now))
    return serving.map(({ endpoint }) => endpoint)
  }

  /** Whether an incarnation may still get new work; looked at again in the turn of a send. */
  isServing (endpoint: RoutedEndpoint, now: number): boolean {
    return this.servingEndpoints(endpoint.service, now).some(serving => instanceKey(serving) === instanceKey(endpoint))
  }

  #knownEndpoints (): KnownEndpoint[] {
    return [...this.#byService.values()].flat()
  }

  #markDeparted (endpoint: RoutedEndpoint): void {
    // An incarnation that only vanished may register again; one that said it leaves may not.
    if (!endpoint.isDraining) return
    this.#departedInstances.add(instanceKey(endpoint))
    const [oldest] = this.#departedInstances
    if (this.#departedInstances.size > maximumDepartedInstances && oldest !== undefined) this.#departedInstances.delete(oldest)
  }
}

function groupByService (kept: readonly KnownEndpoint[]): Map<string, readonly KnownEndpoint[]> {
  const groups = new Map<string, KnownEndpoint[]>()
  for (const entry of kept) {
    const group = groups.get(entry.endpoint.service)
    if (group === undefined) groups.set(entry.endpoint.service, [entry])
    else group.push(entry)
  }
  return groups
}
