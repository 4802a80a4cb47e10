/** Where a VM or an endpoint stands. Data centres of one region are near; regions share a narrow, paid link. */

/** A data centre and the region it belongs to. */
export interface Place {
  readonly region: string
  readonly dataCentre: string
}

/** How far apart two places are, nearest first. */
export const Proximity = {
  SameDataCentre: 0,
  SameRegion: 1,
  OtherRegion: 2
} as const
export type Proximity = typeof Proximity[keyof typeof Proximity]

/**
 * How far `there` is from `here`.
 *
 * @example
 * if (proximityOf(here, endpoint.place) === Nearness.OtherRegion) spendLinkBudget()
 */
export function proximityOf (here: Place, there: Place): Proximity {
  if (here.dataCentre === there.dataCentre) return Proximity.SameDataCentre
  if (here.region === there.region) return Proximity.SameRegion
  return Proximity.OtherRegion
}
