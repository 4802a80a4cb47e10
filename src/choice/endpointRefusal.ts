/**
 * Refusals of the endpoint policy. They are immediate and final: a request that can't be answered by
 * its deadline is not queued, and the caller is told when a retry can help.
 */
import { Err, Refusal, RefusalCode, RunState, type Result } from '../contract/index.ts'

const noEndpointRetrySeconds = 2
const linkBudgetRetrySeconds = 1
const maximumRetrySeconds = 60

function notRunRefusal (code: RefusalCode, message: string, retryAfterSeconds: number): Result<never, Refusal> {
  return Err(new Refusal(code, RunState.NotRun, message, retryAfterSeconds))
}

/** Converts a delay into whole seconds for a retry, at least one. */
export function retryAfterSeconds (milliseconds: number): number {
  return Math.min(maximumRetrySeconds, Math.max(1, Math.ceil(milliseconds / 1_000)))
}

/** No reachable endpoint has the version. */
export function noEndpoint (version: string): Result<never, Refusal> {
  return notRunRefusal(RefusalCode.NoEndpoint, `no reachable endpoint has ${version}`, noEndpointRetrySeconds)
}

/** Only the other region has the version, and the bandwidth budget of the link is exhausted. */
export function linkBudgetExhausted (version: string): Result<never, Refusal> {
  return notRunRefusal(RefusalCode.Overloaded, `${version} is only available in the other region, and the bandwidth budget of the link to it is exhausted`, linkBudgetRetrySeconds)
}

/** The wait for a slot is too long for the deadline. */
export function overloaded (waitMilliseconds: number, overrunMilliseconds: number): Result<never, Refusal> {
  const message = `the wait for an endpoint is expected to be ${Math.round(waitMilliseconds)} ms, too long for the deadline`
  return notRunRefusal(RefusalCode.Overloaded, message, retryAfterSeconds(overrunMilliseconds))
}

/** Even without a wait the answer would be late. */
export function deadlineTooNear (neededMilliseconds: number): Result<never, Refusal> {
  const message = `an answer is expected to take ${Math.round(neededMilliseconds)} ms, longer than the deadline leaves`
  return notRunRefusal(RefusalCode.DeadlineTooNear, message, 1)
}
