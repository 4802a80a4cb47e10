/**
 * Joins the endpoints from the settings with their health and load from membership. It keeps no state
 * of its own, so it is always consistent with both.
 */
import { EndpointKind, getOrCreate, type EndpointDescription, type VersionName } from '../contract/index.ts'
import type { EndpointView } from '../choice/index.ts'
import type { SettingsSource } from '../distribution/index.ts'
import type { Membership } from '../membership/index.ts'

/**
 * Looks up endpoints with their health and load.
 *
 * @example
 * const views = directory.engines('small@3')
 */
export class EndpointDirectory {
  readonly #settings: SettingsSource
  readonly #membership: Membership
  readonly #regions = new Map<string, ReadonlySet<string>>()
  #regionsView: SettingsSource['view'] | undefined

  constructor (settings: SettingsSource, membership: Membership) {
    this.#settings = settings
    this.#membership = membership
  }

  /** Engines that are known to have a version loaded. */
  engines (version: VersionName): EndpointView[] {
    return this.#views(EndpointKind.Engine).filter(view => hasLoaded(view, version))
  }

  /** Endpoints of a plain service. */
  services (service: string): EndpointView[] {
    return this.#views(EndpointKind.Service).filter(view => view.endpoint.service === service)
  }

  /** The regions in which a version or a plain service has endpoints, by the settings; the same set while these are unchanged. */
  regionsServing (name: string): ReadonlySet<string> {
    const { view } = this.#settings
    if (view !== this.#regionsView) this.#regions.clear()
    this.#regionsView = view
    return getOrCreate(this.#regions, name, () => {
      const serving = [...view.endpoints.values()].filter(({ service, versions }) => service === name || versions.some(version => version === name))
      return new Set(serving.map(({ place }) => place.region))
    })
  }

  /** Whether any engine that accepts requests has a version loaded. */
  isVersionAvailable (version: VersionName): boolean {
    return this.engines(version).some(acceptsRequests)
  }

  #views (kind: EndpointKind): EndpointView[] {
    const views: EndpointView[] = []
    for (const endpoint of this.#settings.view.endpoints.values()) {
      if (endpoint.kind === kind) views.push(this.#viewOf(endpoint))
    }
    return views
  }

  #viewOf (endpoint: EndpointDescription): EndpointView {
    const membershipView = this.#membership.endpointStatus(endpoint.name)
    return {
      endpoint,
      healthy: membershipView?.healthy ?? true,
      leaving: membershipView?.leaving ?? false,
      report: membershipView?.report,
      reportedAt: membershipView?.reportedAt ?? 0
    }
  }
}

function hasLoaded (view: EndpointView, version: VersionName): boolean {
  const versions = view.report?.versions ?? view.endpoint.versions
  return versions.includes(version)
}

/** Whether an endpoint may receive new requests. */
export function acceptsRequests (view: EndpointView): boolean {
  return view.healthy && !view.leaving
}
