/** What a run is put through. */

/** One scenario. */
export interface Scenario {
  readonly name: string
  /** Arrivals over those of 100 % load. */
  readonly load: number
  /** How much later than the world says reports arrive. */
  readonly lagFactor?: number
  /** The first data centre's engines die and come back empty. */
  readonly poolLost?: { readonly atMilliseconds: number, readonly backAtMilliseconds: number }
  /** The first organisation sends more, by this factor. */
  readonly flood?: number
}

/** Requests are measured from here, when the batches have filled. */
export const measuredFromMilliseconds = 20_000
/** Requests are measured until here. */
export const measuredUntilMilliseconds = 50_000
/** The last request comes here. */
export const arrivalsEndMilliseconds = 55_000
/** Session turns before the start that warm the caches. */
export const warmingMilliseconds = 60_000

/** The scenarios in which endpoint policies are compared. */
export const endpointScenarios: readonly Scenario[] = [
  { name: 'calm', load: 0.5 },
  { name: 'load-90', load: 0.9 },
  { name: 'load-100', load: 1 },
  { name: 'load-130', load: 1.3 },
  { name: 'pool-lost', load: 0.6, poolLost: { atMilliseconds: 25_000, backAtMilliseconds: 40_000 } },
  { name: 'stale-reports', load: 0.9, lagFactor: 5 },
  { name: 'flood-before', load: 0.7 },
  { name: 'flood', load: 0.7, flood: 10 }
]
