/**
 * When evidence against a new version becomes a verdict. In a large fleet most gateways see a few
 * answers each and have nothing bad to tell; what is told is then mostly from those who saw the bad
 * ones. So a suspicion comes first: under it all gateways tell what they saw, and it becomes a
 * verdict only if it outlives that.
 */

/** Until all gateways have told and read what was seen: two of their rounds and the news between. */
const confirmationDelayMilliseconds = 1_300
/** Under a suspicion, answers are told again once they have grown by this factor. */
const republishGrowthFactor = 1.3

/**
 * One gateway's suspicion of one version.
 *
 * @example
 * suspicion.review(isBad(evidence, keeper.ofOld), now)
 * if (suspicion.isConfirmed(now)) revert()
 */
export class VersionSuspicion {
  #suspectedSince: number | undefined

  /** Whether all gateways should tell what they saw. */
  get isActive (): boolean {
    return this.#suspectedSince !== undefined
  }

  /** Takes in whether the evidence speaks against the version now. */
  update (isVersionBad: boolean, now: number): void {
    this.#suspectedSince = isVersionBad ? this.#suspectedSince ?? now : undefined
  }

  /** Whether it stands although all could tell what they saw. */
  isConfirmed (now: number): boolean {
    return this.#suspectedSince !== undefined && now - this.#suspectedSince >= confirmationDelayMilliseconds
  }
}

/** Whether answers seen are worth telling again under a suspicion. */
export function shouldRepublish (answers: number, publishedAnswers: number): boolean {
  return answers > publishedAnswers * republishGrowthFactor
}
