/** Computes a steward's orders to the engines of its data centre: the difference between the versions in the settings and the versions that the engines report. */
import { EndpointKind, type EndpointDescription, VersionState } from '../contract/index.ts'
import type { EngineOrder } from '../endpoint/index.ts'
import type { Membership } from '../membership/index.ts'
import type { SettingsView } from '../settings/index.ts'

/** An order and the engine that receives it. */
export interface AddressedEngineOrder {
  readonly endpoint: EndpointDescription
  readonly order: EngineOrder
}

/**
 * Returns the orders that bring a data centre's engines in line with the settings. An engine that has not
 * reported yet gets no orders: its state must be known before it is changed.
 *
 * @param fencing fencing number of the steward's lease
 * @example
 * for (const { endpoint, order } of missingEngineOrders(view, membership, 'lower-mainland-a', lease.fencing)) …
 */
export function missingEngineOrders (view: SettingsView, membership: Membership, dataCentre: string, fencing: number): AddressedEngineOrder[] {
  const orders: AddressedEngineOrder[] = []
  for (const endpoint of view.endpoints.values()) {
    if (endpoint.kind !== EndpointKind.Engine || endpoint.place.dataCentre !== dataCentre) continue
    const status = membership.endpointStatus(endpoint.name)
    if (status?.report === undefined || !status.healthy || status.leaving) continue
    const loaded = status.report.versions
    const wanted = endpoint.versions.filter(version => view.versions.get(version)?.state !== VersionState.Withdrawn)
    for (const version of wanted) {
      if (!loaded.includes(version)) orders.push({ endpoint, order: { fencing, action: 'load', version } })
    }
    for (const version of loaded) {
      if (!wanted.includes(version)) orders.push({ endpoint, order: { fencing, action: 'unload', version } })
    }
  }
  return orders
}
