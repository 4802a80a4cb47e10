/**
 * Tracks which endpoints may receive new work, from their registration rows in the store and from what
 * they announce themselves.
 *
 * Draining is final within one incarnation, whether its row, a response or a peer told of it: a late row
 * that reports the endpoint as ready is ignored.
 * A row that disappears while the store is available means that its endpoint has left. A row that
 * expired during a store outage says nothing about the endpoint, which is therefore kept until it has
 * had time to register again, and removed only then. Time for which this process was held up doesn't count, since the
 * registration is read only after it.
 *
 * A store that comes back from an older copy of itself may bring rows back that had been removed. Such an
 * endpoint gets no work until a row that nobody renews would have expired.
 */
import { dropOldest } from '../contract/index.ts'
import { instanceKey, type RoutedEndpoint } from '../routing/index.ts'

/** A live endpoint has registered again within this time after the store has recovered. */
const reregistrationMilliseconds = 2_000
/** Number of draining incarnations that are told to peers, the latest ones. */
const maximumToldInstances = 200
/** Number of draining incarnations that are remembered, so that a late row does not bring them back. */
const maximumDepartedInstances = 2_000
const noRegions: ReadonlySet<string> = new Set()

/** All registrations at one point in time. */
export interface RegistrationSnapshot {
  readonly endpoints: readonly RoutedEndpoint[]
  /** Whether the store was unavailable within the expiry time of a row. */
  readonly wasStoreUnavailable: boolean
  /**
   * Until when a registration may stem from an older copy that the store came back from, in milliseconds of
   * the process's clock; undefined if the store did not come back from one.
   */
  readonly copiedUntil?: number
  /** Milliseconds of the process's clock. */
  readonly now: number
}

interface KnownEndpoint {
  readonly endpoint: RoutedEndpoint
  /** When the endpoint is removed, without the time held up; undefined while it is registered. */
  readonly expiresAt: number | undefined
  /** Until when the endpoint gets no work, because its registration may be a copy of one that was removed. */
  readonly heldUntil: number
}

/**
 * @example
 * registry.update({ endpoints, wasStoreUnavailable: false, now })
 * const serving = registry.servingEndpoints('ledger', now)
 */
export class EndpointRegistry {
  #byService = new Map<string, readonly KnownEndpoint[]>()
  #regionsByService = new Map<string, ReadonlySet<string>>()
  /** Incarnations that have announced that they are draining. */
  readonly #departedInstances = new Set<string>()
  /** Incarnations whose rows were removed while the store was available. */
  readonly #removedInstances = new Set<string>()
  readonly #heldUpMilliseconds: () => number

  /** @param heldUpMilliseconds for how long the event loop was held up so far */
  constructor (heldUpMilliseconds: () => number = () => 0) {
    this.#heldUpMilliseconds = heldUpMilliseconds
  }

  /** Replaces the known registrations by the current ones. */
  update ({ endpoints, wasStoreUnavailable, copiedUntil, now }: RegistrationSnapshot): void {
    const registered = new Set(endpoints.map(endpoint => endpoint.identity))
    const kept: KnownEndpoint[] = endpoints.map(endpoint => ({ endpoint, expiresAt: undefined, heldUntil: this.#heldUntil(endpoint, copiedUntil) }))
    for (const known of this.#knownEndpoints()) {
      if (registered.has(known.endpoint.identity)) continue
      const runningNow = this.#runningTime(now)
      const expiresAt = known.expiresAt ?? (wasStoreUnavailable ? runningNow + reregistrationMilliseconds : runningNow)
      if (expiresAt > runningNow) kept.push({ ...known, expiresAt })
      else this.#recordRemoval(known.endpoint)
    }
    for (const { endpoint } of kept) {
      if (endpoint.isDraining) this.markDraining(instanceKey(endpoint))
    }
    this.#byService = groupByService(kept)
    this.#regionsByService = new Map([...this.#byService].map(([service, known]) => [service, regionsOf(known, this.regionsServing(service))]))
  }

  /** The regions in which a service has endpoints; the same set while they are unchanged. */
  regionsServing (service: string): ReadonlySet<string> {
    return this.#regionsByService.get(service) ?? noRegions
  }

  /**
   * Returns the endpoints of a service that may receive new work.
   *
   * @param now milliseconds of the process's clock
   */
  servingEndpoints (service: string, now: number): readonly RoutedEndpoint[] {
    const known = this.#byService.get(service) ?? []
    return known.filter(entry => this.#mayReceiveWork(entry, now)).map(({ endpoint }) => endpoint)
  }

  /** The endpoints of all services in a data centre, also those that receive no new work. */
  endpointsIn (dataCentre: string): readonly RoutedEndpoint[] {
    return this.#knownEndpoints().map(({ endpoint }) => endpoint).filter(({ place }) => place.dataCentre === dataCentre)
  }

  /** Whether an incarnation may still receive new work; checked again immediately before each send. */
  isServing (endpoint: RoutedEndpoint, now: number): boolean {
    const known = this.#byService.get(endpoint.service) ?? []
    return known.some(entry => entry.endpoint.identity === endpoint.identity && entry.endpoint.bornAt === endpoint.bornAt && this.#mayReceiveWork(entry, now))
  }

  /**
   * Records that an incarnation is draining, as it said itself or as a peer has heard from it.
   *
   * @param instance the incarnation's `instanceKey`
   * @returns whether that was not known yet
   */
  markDraining (instance: string): boolean {
    if (this.#departedInstances.has(instance)) return false
    this.#departedInstances.add(instance)
    dropOldest(this.#departedInstances, maximumDepartedInstances)
    return true
  }

  /** The incarnations that were last known to begin draining, for peers that can't read the store. */
  get drainingInstances (): readonly string[] {
    return [...this.#departedInstances].slice(-maximumToldInstances)
  }

  #mayReceiveWork ({ endpoint, expiresAt, heldUntil }: KnownEndpoint, now: number): boolean {
    return !this.#departedInstances.has(instanceKey(endpoint)) && (expiresAt === undefined || expiresAt > this.#runningTime(now)) && heldUntil <= now
  }

  /** A time that stands still while this process is held up. */
  #runningTime (now: number): number {
    return now - this.#heldUpMilliseconds()
  }

  #knownEndpoints (): KnownEndpoint[] {
    return [...this.#byService.values()].flat()
  }

  /** An incarnation whose row only disappeared may register again; one that announced its drain may not. */
  #recordRemoval (endpoint: RoutedEndpoint): void {
    if (endpoint.isDraining) this.markDraining(instanceKey(endpoint))
    this.#removedInstances.add(instanceKey(endpoint))
    dropOldest(this.#removedInstances, maximumDepartedInstances)
  }

  #heldUntil (endpoint: RoutedEndpoint, copiedUntil: number | undefined): number {
    const wasRemoved = this.#removedInstances.has(instanceKey(endpoint))
    return wasRemoved && copiedUntil !== undefined ? copiedUntil : Number.NEGATIVE_INFINITY
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

/** Returns the set from before if it is equal. */
function regionsOf (known: readonly KnownEndpoint[], before: ReadonlySet<string>): ReadonlySet<string> {
  const regions = new Set(known.map(({ endpoint }) => endpoint.place.region))
  const isUnchanged = regions.size === before.size && [...regions].every(region => before.has(region))
  return isUnchanged ? before : regions
}
