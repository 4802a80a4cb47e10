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
  #list: Disturbance[] = []

  add (scope: string, from: number, to: number): void {
    this.#list.push({ scope, from, to })
  }

  /** Whether none of the scopes was disturbed within a time. */
  isCalm (scopes: readonly string[], from: number, to: number): boolean {
    return !this.#list.some(entry => (entry.scope === everywhere || scopes.includes(entry.scope)) && entry.from <= to && entry.to >= from)
  }

  /** Whether one scope itself was disturbed within a time. */
  hasTouched (scope: string, from: number, to: number): boolean {
    return this.#list.some(entry => entry.scope === scope && entry.from <= to && entry.to >= from)
  }

  forgetBefore (moment: number): void {
    this.#list = this.#list.filter(entry => entry.to >= moment)
  }
}
