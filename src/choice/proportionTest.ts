/**
 * Sequential test of whether something happens more often with a new version than with the old one. The
 * evidence is the mean, over several increases of the rate, of the likelihood ratio between "more often
 * by that much" and "as often", an e-process that may be looked at after every observation.
 */
import { logMeanExp } from './logMeanExp.ts'

/** Increases of the rate that are tested, as shares of the cases in which it does not happen with the old version. */
const rateIncreases = [0.05, 0.2, 0.5] as const

/** Compares two rates. */
export class ProportionTest {
  readonly #threshold: number
  readonly #minimumOldObservations: number
  readonly #logRatios = new Float64Array(rateIncreases.length)
  #oldObservations = 0
  #oldHits = 0

  /**
   * @param falseAlarmRate probability of an alarm if the new rate is not higher
   * @param minimumOldObservations observations of the old version that are needed first
   */
  constructor (falseAlarmRate: number, minimumOldObservations: number) {
    this.#threshold = -Math.log(falseAlarmRate)
    this.#minimumOldObservations = minimumOldObservations
  }

  /** Adds an observation of the old version. */
  observeOld (isHit: boolean): void {
    this.#oldObservations += 1
    this.#oldHits += isHit ? 1 : 0
  }

  /** Adds an observation of the new version; returns whether its rate is shown to be higher. */
  observeNew (isHit: boolean): boolean {
    if (this.#oldObservations < this.#minimumOldObservations) return false
    const oldRate = (this.#oldHits + 1) / (this.#oldObservations + 2)
    for (const [index, increase] of rateIncreases.entries()) {
      const higherRate = oldRate + (1 - oldRate) * increase
      this.#logRatios[index]! += isHit ? Math.log(higherRate / oldRate) : Math.log((1 - higherRate) / (1 - oldRate))
    }
    return logMeanExp(this.#logRatios) >= this.#threshold
  }
}
