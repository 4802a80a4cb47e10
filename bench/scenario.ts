/** The scenarios of the decision bench and the timing of its runs. */

import type { BadVersion } from './simulatedRatingService.ts'

/** The load of a run and the faults that occur in it. */
export interface Scenario {
  readonly name: string
  /** Arrival rate as a multiple of the rate of 100 % load. */
  readonly load: number
  /** Multiplies the reporting lag of the world; 1 by default. */
  readonly lagFactor?: number
  /** Times at which all engines of the first data centre stop and restart without requests or caches. */
  readonly poolOutage?: { readonly startMilliseconds: number, readonly endMilliseconds: number }
  /** Factor by which the first organisation exceeds its share of requests. */
  readonly floodFactor?: number
  /** A version whose answers become worse during the run. */
  readonly badVersion?: BadVersion
}

/** Start of the measurement window; by then the batches have filled. */
export const measuredFromMilliseconds = 15_000
/** End of the measurement window. */
export const measuredUntilMilliseconds = 28_000
/** Time of the last arrival. */
export const arrivalsEndMilliseconds = 29_000
/** How long before the run's start session turns are drawn to warm the caches. */
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

export type ScenarioName = typeof scenarios[number]['name']
