/** What a caller's leaving means for its request: see `server/callerDeparture`. Calls that run once go on all the same. */
import type Koa from 'koa'
import { Refusal, RefusalCode, RunState } from '../contract/index.ts'
import { CallerDeparture } from '../server/index.ts'

/**
 * A signal that is aborted when the caller ends its sending or its connection before its response is complete.
 *
 * @example
 * const signal = abortWhenCallerLeaves(context)
 */
export function abortWhenCallerLeaves ({ res }: Koa.Context): AbortSignal {
  return new CallerDeparture(res, () => false).abort.signal
}

/**
 * The refusal of a request whose caller left before it was passed on.
 *
 * @example
 * if (signal.aborted) return refuse(context, callerLeft())
 */
export function callerLeft (): Refusal {
  return new Refusal(RefusalCode.CallerLeft, RunState.NotRun, 'the caller ended its side of the connection before the request was passed on')
}
