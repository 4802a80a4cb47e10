/** What a caller's leaving means for its request: see `server/callerLeaving`. Calls that run once go on all the same. */
import type Koa from 'koa'
import { Refusal, RefusalCode, RunState } from '../contract/index.ts'
import { CallerLeaving } from '../server/index.ts'

/**
 * A signal that is aborted when the caller ends its sending or its connection before its response is complete.
 *
 * @example
 * const signal = abortWhenCallerLeaves(context)
 */
export function abortWhenCallerLeaves ({ req, res }: Koa.Context): AbortSignal {
  const controller = new AbortController()
  const leaving = CallerLeaving.of(req.socket)
  const abort = () => controller.abort()
  const unfollow = leaving.follow({ onEnd: abort, onClose: abort })
  res.once('close', () => {
    unfollow()
    if (!res.writableFinished) abort()
  })
  if (leaving.hasEnded) abort()
  return controller.signal
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
