/** The refusal returned while the claim store is unavailable. */
import { Refusal, RefusalCode, RunState } from '../contract/index.ts'

/** Suggested retry delay, after which the store may be available again. */
const retryAfterSeconds = 2

/**
 * Creates a refusal for an unreachable store.
 *
 * @example
 * return Err(storeUnavailable('the claim could not be written'))
 */
export function storeUnavailable (message: string, run: RunState = RunState.NotRun): Refusal {
  return new Refusal(RefusalCode.StoreUnavailable, run, message, retryAfterSeconds)
}
