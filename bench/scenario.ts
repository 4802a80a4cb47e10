/** What a run is put through. */

import type { BadVersion } from './simulatedRatingService.ts'

/** One scenario. */
export interface Scenario {
  readonly name: string
  /** Arrivals over those of 100 % load. */
  readonly load: number
  /** How much later than the world says reports arrive. */
  readonly lagFactor?: number
  /** The first data centre's engines die and come back empty. */
  readonly poolOutage?: { readonly startMilliseconds: number, readonly endMilliseconds: number }
  /** The first organisation sends more, by this factor. */
  readonly floodFactor?: number
  /** A version whose answers turn bad. */
  readonly badVersion?: BadVersion
}

/** Requests are measured from here, when the batches have filled. */
export const measuredFromMilliseconds = 15_000
/** Requests are measured until here. */
export const measuredUntilMilliseconds = 28_000
/** The last request comes here. */
export const arrivalsEndMilliseconds = 29_000
/** Session turns before the start that warm the caches. */
export const warmUpMilliseconds = 60_000

/** The scenarios of a default run. */
export const scenarios = [
  { name: 'calm', load: 0.5 },
  { name: 'load-90', load: 0.9 },
  { name: 'load-100', load: 1 },
  { name: 'load-130', load: 1.3 },
  { name: 'pool-lost', load: 0.6, poolOutage: { startMilliseconds: 17_000, endMilliseconds: 27_000 } },
  { name: 'stale-reports', load: 0.9, lagFactor: 5 },
  { name: 'turns-bad', load: 0.5, badVersion: { version: 'small@1', scoreDropPoints: 20, fromMilliseconds: 15_000 } },
  { name: 'flood-before', load: 0.7 },
  { name: 'flood', load: 0.7, floodFactor: 10 }
] as const satisfies readonly Scenario[]

/** The name of a scenario. */
export type ScenarioName = typeof scenarios[number]['name']
