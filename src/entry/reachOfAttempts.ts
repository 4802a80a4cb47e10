/** How far the attempts of one request can have come together, and what may still be said of `not_run`. */
import { Refusal, RunState } from '../contract/index.ts'
import { Reach } from '../endpoint/index.ts'

const reachOrder = [Reach.Never, Reach.Refused, Reach.Maybe] as const

/**
 * The further of two reaches.
 *
 * @example
 * reach = furtherReach(reach, failure.reach)
 */
export function furtherReach (left: Reach, right: Reach): Reach {
  return reachOrder.indexOf(left) > reachOrder.indexOf(right) ? left : right
}

/** Whether a request whose attempts came so far was run. */
export function runStateAfter (reach: Reach): RunState {
  return reach === Reach.Maybe ? RunState.Unknown : RunState.NotRun
}

/** A later refusal can't say `not_run` when an earlier attempt may have run. */
export function refusalAfter (reach: Reach, refusal: Refusal): Refusal {
  if (reach !== Reach.Maybe || refusal.run !== RunState.NotRun) return refusal
  return new Refusal(refusal.code, RunState.Unknown, refusal.message, refusal.retryAfterSeconds)
}
