/**
 * Admission by pool: each version's engines fill up on their own, so each has its own division of
 * shares. A pool's policy is made when the version is first used and dropped with the version.
 */
import type { Admission, AdmissionPolicy, AdmissionRequest } from '../choice/index.ts'
import type { Refusal, Result, VersionName } from '../contract/index.ts'

/** Versions that are kept; the settings hold far fewer. */
const mostPools = 256

/**
 * Lets requests into versions' pools.
 *
 * @example
 * const pools = new PoolAdmission(() => new ShareAdmissionPolicy())
 */
export class PoolAdmission {
  readonly #make: () => AdmissionPolicy
  readonly #pools = new Map<VersionName, AdmissionPolicy>()

  constructor (make: () => AdmissionPolicy) {
    this.#make = make
  }

  /**
   * Lets a request into the pool of a version or refuses it at once.
   *
   * @param pressure how full the pool is: 1 where all places are taken
   */
  admit (version: VersionName, request: AdmissionRequest, pressure: number, now: number): Result<Admission, Refusal> {
    return this.#pool(version).admit(request, pressure, now)
  }

  #pool (version: VersionName): AdmissionPolicy {
    const known = this.#pools.get(version)
    if (known !== undefined) return known
    const [oldest] = this.#pools.keys()
    if (this.#pools.size >= mostPools && oldest !== undefined) this.#pools.delete(oldest)
    const made = this.#make()
    this.#pools.set(version, made)
    return made
  }
}
