/**
 * What must always hold is asserted inside the program. A broken invariant is the only thing that
 * stops a process: it is thrown with its evidence and left uncaught. Each check is counted, so that
 * a run can say how often it looked.
 */

/** An invariant that does not hold, with the evidence. */
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
 * @param evidence called only when the invariant is broken
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
