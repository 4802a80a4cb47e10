/** Records when and where faults were active, so that checks with a time limit skip the affected daemons. */

/** The scope of a disturbance that affects all daemons; other scopes are the names of daemons and data centres. */
export const everywhere = 'everywhere'

interface Disturbance {
  readonly scope: string
  readonly from: number
  readonly to: number
}

/** The disturbances of a run. */
export class Disturbances {
  #entries: Disturbance[] = []

  add (scope: string, from: number, to: number): void {
    this.#entries.push({ scope, from, to })
  }

  /** Whether no disturbance affected any of the scopes during an interval. */
  isUndisturbed (scopes: readonly string[], from: number, to: number): boolean {
    return !this.#entries.some(entry => (entry.scope === everywhere || scopes.includes(entry.scope)) && entry.from <= to && entry.to >= from)
  }

  /** Whether a disturbance of exactly this scope overlaps an interval. */
  wasDisturbed (scope: string, from: number, to: number): boolean {
    return this.#entries.some(entry => entry.scope === scope && entry.from <= to && entry.to >= from)
  }

  discardBefore (moment: number): void {
    this.#entries = this.#entries.filter(entry => entry.to >= moment)
  }
}
