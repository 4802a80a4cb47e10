/** The refusal that claims give while the store is out. */
import { Refusal, RefusalCode, RunState } from '../contract/index.ts'

/** Seconds after which the store may be back. */
const retryAfterSeconds = 2

/**
 * The store can't be reached.
 *
 * @example
 * return Err(storeUnavailable('the claim could not be written'))
 */
export function storeUnavailable (message: string, run: RunState = RunState.NotRun): Refusal {
  return new Refusal(RefusalCode.StoreUnavailable, run, message, retryAfterSeconds)
}
