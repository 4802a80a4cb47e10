/**
 * Decides when evidence against a new version is conclusive. In a large fleet most gateways see only a
 * few responses each and none of them bad, so published evidence comes mostly from the gateways that
 * saw bad responses and is biased. Evidence therefore first raises a suspicion, under which all
 * gateways publish their counts; the suspicion is confirmed only if it persists after that. A mere doubt
 * is no reason to act, but one to publish, and not to complete the roll-out. Times are without those in which this
 * gateway's event loop was held up, so that it could neither publish nor read.
 */
import { KindVerdict } from './kindFailures.ts'

/** Time for all gateways to publish and read the counts: two of their rounds plus the propagation in between. */
const confirmationDelayMilliseconds = 1_300
/** Under a suspicion, counts are published again once they have grown by this factor. */
const republishGrowthFactor = 1.3

/**
 * One gateway's suspicion against one version.
 *
 * @example
 * suspicion.update(judgeKinds(counts, collector.oldVersionKinds), now)
 * if (suspicion.isConfirmed(now)) revert()
 */
export class VersionSuspicion {
  #suspectedSince: number | undefined
  #isDoubted = false

  /** Whether the version may be bad. */
  get isDoubted (): boolean {
    return this.#isDoubted
  }

  /** Whether a suspicion is active, so that all gateways should publish their counts. */
  get isActive (): boolean {
    return this.#isDoubted
  }

  /** Updates the suspicion with the current assessment of the version. */
  update (verdict: KindVerdict, now: number): void {
    this.#isDoubted = verdict !== KindVerdict.Unsuspicious
    this.#suspectedSince = verdict === KindVerdict.Bad ? this.#suspectedSince ?? now : undefined
  }

  /** Whether the suspicion persisted for the time in which all gateways could publish their counts. */
  isConfirmed (now: number): boolean {
    return this.#suspectedSince !== undefined && now - this.#suspectedSince >= confirmationDelayMilliseconds
  }
}

/** Whether the number of responses has grown enough to be published again. */
export function shouldRepublish (answers: number, publishedAnswers: number): boolean {
  return answers > publishedAnswers * republishGrowthFactor
}
