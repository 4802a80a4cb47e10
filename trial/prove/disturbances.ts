/** When and where something was wrong, so that a check with a time bound asks only undisturbed daemons. */

/** What a disturbance touches: a daemon, a data centre, or all. */
export const everywhere = 'everywhere'

interface Disturbance {
  readonly scope: string
  readonly from: number
  readonly to: number
}

/** All disturbances of a run. */
export class Disturbances {
  #entries: Disturbance[] = []

  add (scope: string, from: number, to: number): void {
    this.#entries.push({ scope, from, to })
  }

  /** Whether none of the scopes was disturbed within a time. */
  isUndisturbed (scopes: readonly string[], from: number, to: number): boolean {
    return !this.#entries.some(entry => (entry.scope === everywhere || scopes.includes(entry.scope)) && entry.from <= to && entry.to >= from)
  }

  /** Whether one scope itself was disturbed within a time. */
  wasDisturbed (scope: string, from: number, to: number): boolean {
    return this.#entries.some(entry => entry.scope === scope && entry.from <= to && entry.to >= from)
  }

  discardBefore (moment: number): void {
    this.#entries = this.#entries.filter(entry => entry.to >= moment)
  }
}
