/** Why a run has failed, as its request's log line tells it. */
import { type ExchangeEvent, isOverdue } from '../endpoint/index.ts'

/** Nothing more came in time. */
export const silentReason = 'silent'

/**
 * The reason for which an event ends a run that can't go on with it.
 *
 * @example
 * if (event.type !== 'data') fail(failureReasonOf(event))
 */
export function failureReasonOf (event: ExchangeEvent): string {
  if (isOverdue(event)) return silentReason
  if (event.type === 'failure') return event.reason
  return event.type === 'end' ? 'stream ended in the middle of an event' : `unexpected ${event.type}`
}
