/** Collects what is known of the silence of a streamed request's run, for the decision whether to give it up. */
import type { Wait } from '../contract/index.ts'
import type { RunSilence } from '../placement/index.ts'
import type { Route } from '../routing/index.ts'
import type { OpenAttempt } from './openAttempt.ts'
import type { PlannedStop } from './plannedStop.ts'

/** The request whose run is silent. */
export interface SilentRequest {
  readonly route: Pick<Route, 'latencyTargetMilliseconds' | 'maximumEventGapMilliseconds'>
  readonly dependencies: { readonly plannedStop: Pick<PlannedStop, 'hasBegun'> }
}

export interface StreamWait {
  /** Whether its first complete event, or the head of an error response, was received. */
  readonly hasStarted: boolean
  /** Since the last part of its response was received. */
  readonly wait: Wait
  /** Milliseconds of the process's clock. */
  readonly now: number
}

/**
 * The silence of a run.
 *
 * @example
 * const milliseconds = millisecondsToAbandonment(silenceOf(request, attempt, { hasStarted: true, wait, now }))
 */
export function silenceOf ({ route, dependencies }: SilentRequest, { promptMilliseconds, tracker }: OpenAttempt, { hasStarted, wait, now }: StreamWait): RunSilence {
  const { latencyTargetMilliseconds, maximumEventGapMilliseconds } = route
  const unacceptedMilliseconds = hasStarted ? tracker.unacceptedMilliseconds(now) : Number.POSITIVE_INFINITY
  return {
    waitedMilliseconds: wait.heardMilliseconds,
    endpointSilentMilliseconds: Math.min(tracker.silentMilliseconds(now), unacceptedMilliseconds),
    endpointWaitMilliseconds: tracker.waitMilliseconds(now),
    promptMilliseconds,
    isStopping: dependencies.plannedStop.hasBegun,
    hasStarted,
    latencyTargetMilliseconds,
    maximumEventGapMilliseconds
  }
}
