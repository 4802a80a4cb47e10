/**
 * Admission per version: each version's engines form a pool that fills up independently, so shares
 * are divided per pool. A pool's policy is created on the version's first request; above the limit
 * the oldest is evicted.
 */
import type { Admission, AdmissionPolicy, AdmissionRequest } from '../choice/index.ts'
import { type Refusal, type Result, type VersionName, dropOldest, getOrCreate } from '../contract/index.ts'

/** Limit on retained pools; the settings hold far fewer versions. */
const maximumPools = 256

/**
 * Admits requests to the pools of their versions.
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
   * Admits a request to a version's pool or refuses it immediately.
   *
   * @param pressure utilisation of the pool: 1 if all slots are taken
   */
  admit (version: VersionName, request: AdmissionRequest, pressure: number, now: number): Result<Admission, Refusal> {
    return this.#pool(version).admit(request, pressure, now)
  }

  #pool (version: VersionName): AdmissionPolicy {
    const pool = getOrCreate(this.#pools, version, () => this.#createPolicy())
    dropOldest(this.#pools, maximumPools)
    return pool
  }
}
