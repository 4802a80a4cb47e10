/**
 * When evidence against a new version becomes a verdict. In a large fleet most gateways see a few
 * answers each and have nothing bad to tell; what is told is then mostly from those who saw the bad
 * ones. So a suspicion comes first: under it all gateways tell what they saw, and it becomes a
 * verdict only if it outlives that.
 */

/** Until all gateways have told and read what was seen: two of their rounds and the news between. */
const confirmMilliseconds = 1_300
/** Under a suspicion, answers are told again once they have grown by this factor. */
const toldGrowth = 1.3

/**
 * One gateway's suspicion of one version.
 *
 * @example
 * suspicion.review(isBad(evidence, keeper.ofOld), now)
 * if (suspicion.isConfirmed(now)) revert()
 */
export class VersionSuspicion {
  #since: number | undefined

  /** Whether all gateways should tell what they saw. */
  get isHeld (): boolean {
    return this.#since !== undefined
  }

  /** Takes in whether the evidence speaks against the version now. */
  review (isBad: boolean, now: number): void {
    this.#since = isBad ? this.#since ?? now : undefined
  }

  /** Whether it stands although all could tell what they saw. */
  isConfirmed (now: number): boolean {
    return this.#since !== undefined && now - this.#since >= confirmMilliseconds
  }
}

/** Whether answers seen are worth telling again under a suspicion. */
export function isWorthTelling (answers: number, told: number): boolean {
  return answers > told * toldGrowth
}
