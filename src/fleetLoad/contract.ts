/** The work of a fleet at its endpoints, as gateways tell each other of it. */
import { hashFraction } from '../contract/index.ts'

/** What is in progress at one endpoint. */
export interface EndpointWork {
  /** Attempts in flight, queued ones included. */
  readonly runs: number
  /** Estimated work left, in milliseconds of an otherwise idle endpoint. */
  readonly workMilliseconds: number
}

/** Work in progress, by the `loadKey` of the endpoint; idle endpoints may be absent. */
export type WorkByEndpoint = ReadonlyMap<number, EndpointWork>

export const noWork: EndpointWork = { runs: 0, workMilliseconds: 0 }

/** What a gateway knows of the work of the others. */
export interface OthersWork {
  /**
   * The work of all other gateways at an endpoint, about a second ago.
   *
   * @param instance the endpoint's `instanceKey`
   * @returns undefined without fresh news
   */
  workAt (instance: string, now: number): EndpointWork | undefined
  /** Whether the news is fresh enough to decide by. */
  isFresh (now: number): boolean
}

const keyBound = 2 ** 32
const maximumCachedKeys = 4_096
const cachedKeys = new Map<string, number>()

/**
 * A short key for an incarnation of an endpoint. Two that share a key are each taken to have the work of both.
 *
 * @example
 * const work = workByEndpoint.get(loadKey(instanceKey(endpoint)))
 */
export function loadKey (instance: string): number {
  const cached = cachedKeys.get(instance)
  if (cached !== undefined) return cached
  if (cachedKeys.size >= maximumCachedKeys) cachedKeys.clear()
  const key = Math.floor(hashFraction(instance) * keyBound)
  cachedKeys.set(instance, key)
  return key
}
