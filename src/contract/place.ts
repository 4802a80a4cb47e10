/** Locations of VMs and endpoints. Data centres of one region are close; the link between regions is narrow and paid for. */

/** A data centre and the region it belongs to. */
export interface Place {
  readonly region: string
  readonly dataCentre: string
}

/** Network distance between two places; lower is closer. */
export const Proximity = {
  SameDataCentre: 0,
  SameRegion: 1,
  OtherRegion: 2
} as const
export type Proximity = typeof Proximity[keyof typeof Proximity]

/**
 * The proximity of `there` as seen from `here`.
 *
 * @example
 * if (proximityOf(here, endpoint.place) === Nearness.OtherRegion) spendLinkBudget()
 */
export function proximityOf (here: Place, there: Place): Proximity {
  if (here.dataCentre === there.dataCentre) return Proximity.SameDataCentre
  if (here.region === there.region) return Proximity.SameRegion
  return Proximity.OtherRegion
}
