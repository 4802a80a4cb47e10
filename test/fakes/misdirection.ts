/** The memory of misdirected endpoints, with the store followed all the time. */
import { SeededRandomness } from '../../src/contract/index.ts'
import { MisdirectedEndpoints, type MisdirectedEndpointsOptions } from '../../src/misdirection/index.ts'

/** Longest time for which the registration of an ended endpoint stays. */
export const registrationMilliseconds = 5_000
/** Time for which an ended endpoint's address is not used again. */
export const addressReuseMilliseconds = 2_000

/** Nothing is known yet. */
export function noMisdirected (options: Partial<MisdirectedEndpointsOptions> = {}): MisdirectedEndpoints {
  return new MisdirectedEndpoints({ registrationMilliseconds: () => registrationMilliseconds, followedSince: () => Number.NEGATIVE_INFINITY, addressReuseMilliseconds: () => addressReuseMilliseconds, randomness: new SeededRandomness(1), ...options })
}
