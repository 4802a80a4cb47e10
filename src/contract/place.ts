/** Where a VM or an endpoint stands. Data centres of one region are near; regions share a narrow, paid link. */

/** A data centre and the region it belongs to. */
export interface Place {
  readonly region: string
  readonly dataCentre: string
}

/** How far apart two places are, nearest first. */
export const Nearness = {
  SameDataCentre: 0,
  SameRegion: 1,
  OtherRegion: 2
} as const
export type Nearness = typeof Nearness[keyof typeof Nearness]

/**
 * How far `there` is from `here`.
 *
 * @example
 * if (nearnessOf(here, endpoint.place) === Nearness.OtherRegion) spendLinkBudget()
 */
export function nearnessOf (here: Place, there: Place): Nearness {
  if (here.dataCentre === there.dataCentre) return Nearness.SameDataCentre
  if (here.region === there.region) return Nearness.SameRegion
  return Nearness.OtherRegion
}
