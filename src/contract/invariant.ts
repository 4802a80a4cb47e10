/**
 * Runtime assertions. A violated invariant is the only error that ends the process: it is thrown with
 * its evidence and not caught. Checks are counted, so that a run can report how often each was made.
 */

/** Thrown when an invariant does not hold. */
export class InvariantViolation extends Error {
  readonly invariantName: string
  readonly evidence: unknown

  constructor (name: string, evidence: unknown) {
    super(`invariant broken: ${name}: ${JSON.stringify(evidence)}`)
    this.invariantName = name
    this.evidence = evidence
  }
}

const checkCounts = new Map<string, number>()

/**
 * Asserts an invariant.
 *
 * @param name a stable name, counted in `invariantCounts`
 * @param evidence builds the details of the error; called only if the invariant is violated
 * @example
 * invariant(next > last, 'settings revision grows', () => ({ last, next }))
 */
export function invariant (holds: boolean, name: string, evidence: () => unknown): asserts holds {
  checkCounts.set(name, (checkCounts.get(name) ?? 0) + 1)
  if (!holds) throw new InvariantViolation(name, evidence())
}

/** How often each invariant was checked in this process. */
export function invariantCounts (): ReadonlyMap<string, number> {
  return checkCounts
}
