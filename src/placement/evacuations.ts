/**
 * The data centres that operators have asked to evacuate. Nothing new is sent to their endpoints until the order
 * is removed; runs that have begun end there.
 */

const none: ReadonlySet<string> = new Set()

/** What a change of the orders began and ended. */
export interface EvacuationChange {
  readonly begun: readonly string[]
  readonly ended: readonly string[]
}

/**
 * @example
 * const { ended } = evacuations.update(new Set(['bw-a']))
 * evacuations.isEvacuated('bw-a') // true
 */
export class Evacuations {
  #dataCentres: ReadonlySet<string> = none

  /** Replaces all orders by those in force. */
  update (dataCentres: ReadonlySet<string>): EvacuationChange {
    const before = this.#dataCentres
    this.#dataCentres = dataCentres
    return {
      begun: [...dataCentres].filter(dataCentre => !before.has(dataCentre)),
      ended: [...before].filter(dataCentre => !dataCentres.has(dataCentre))
    }
  }

  isEvacuated (dataCentre: string): boolean {
    return this.#dataCentres.has(dataCentre)
  }
}
