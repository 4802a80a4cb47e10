/**
 * Admission by pool: each version's engines fill up on their own, so each has its own division of
 * shares. A pool's policy is made when the version is first used and dropped with the version.
 */
import type { Admission, AdmissionPolicy, AdmissionRequest } from '../choice/index.ts'
import type { Refusal, Result, VersionName } from '../contract/index.ts'

/** Versions that are kept; the settings hold far fewer. */
const maximumPools = 256

/**
 * Lets requests into versions' pools.
 *
 * @example
 * const pools = new PoolAdmission(() => new ShareAdmissionPolicy())
 */
export class PoolAdmission {
  readonly #createPolicy: () => AdmissionPolicy
  readonly #pools = new Map<VersionName, AdmissionPolicy>()

  constructor (createPolicy: () => AdmissionPolicy) {
    this.#createPolicy = createPolicy
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
    const existing = this.#pools.get(version)
    if (existing !== undefined) return existing
    const [oldest] = this.#pools.keys()
    if (this.#pools.size >= maximumPools && oldest !== undefined) this.#pools.delete(oldest)
    const created = this.#createPolicy()
    this.#pools.set(version, created)
    return created
  }
}
