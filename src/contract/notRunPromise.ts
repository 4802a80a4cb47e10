/**
 * What a status promises of a request. Callers take 408, 421, 429 and 503 for a promise that their request
 * was not run and never will be, and send it again although it must not run twice. Whatever hands on or
 * makes a final status decides here whether it may be one of these.
 */

const misdirectedStatus = 421
const firstErrorStatus = 400
const promisingStatuses: ReadonlySet<number> = new Set([408, misdirectedStatus, 429, 503])

/** Status of a failed request that may have run; it promises nothing. */
export const unpromisingStatus = 502

/**
 * Whether a status promises a caller that its request was not run and never will be.
 *
 * @example
 * if (mayHaveRun && promisesNotRun(status)) refuse(attemptLost)
 */
export function promisesNotRun (status: number): boolean {
  return promisingStatuses.has(status)
}

/**
 * Whether an endpoint states that it has not run a request. A failure alone doesn't: an endpoint that is full
 * and one that fails while it runs a request answer with the same statuses. A mark on a success is a
 * contradiction, and states nothing.
 *
 * @param isMarked whether the response has the mark of a request that was not run
 * @example
 * if (statesNotRun(head.status, head.wasNotExecuted)) tryElsewhere()
 */
export function statesNotRun (status: number, isMarked: boolean): boolean {
  return status === misdirectedStatus || (isMarked && status >= firstErrorStatus)
}
