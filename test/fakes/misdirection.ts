/** The memory of misdirected endpoints, with the store followed all the time. */
import { SeededRandomness } from '../../src/contract/index.ts'
import { MisdirectedEndpoints, type MisdirectedEndpointsOptions } from '../../src/misdirection/index.ts'

/** Longest time for which the registration of an ended endpoint stays. */
export const registrationMilliseconds = 5_000

/** Nothing is known yet. */
export function noMisdirected (options: Partial<MisdirectedEndpointsOptions> = {}): MisdirectedEndpoints {
  return new MisdirectedEndpoints({ registrationMilliseconds: () => registrationMilliseconds, followedSince: () => Number.NEGATIVE_INFINITY, randomness: new SeededRandomness(1), ...options })
}
