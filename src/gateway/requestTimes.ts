/**
 * When a forwarded request was read and sent. Around a planned stop its log line tells so, since a request that
 * the stop cut may have come late, may have been sent late, or may have run for long.
 */
import type { LogFields } from '../observe/index.ts'

/** Milliseconds of the process's clock. */
export interface RequestTimes {
  readonly bodyReadAt: number
  /** When its first attempt was written to a connection; undefined before. */
  readonly firstSentAt: number | undefined
  /** When its last attempt was written to a connection; undefined before. */
  readonly lastSentAt: number | undefined
}

/** A request that a planned stop cuts. */
export interface CutRequest {
  readonly times: RequestTimes
  /** Whether it may be sent again once it may have run. */
  readonly isRepeatable: boolean
}

/**
 * The times of a request in milliseconds after a planned stop began, negative before.
 *
 * @param begunAt undefined if no stop has begun
 * @example
 * log.info('request_ended', stopTimeFields(times, plannedStop.begunAt))
 */
export function stopTimeFields ({ bodyReadAt, firstSentAt, lastSentAt }: RequestTimes, begunAt: number | undefined): LogFields {
  if (begunAt === undefined) return {}
  const afterStop = (at: number | undefined) => at === undefined ? undefined : Math.round(at - begunAt)
  return { bodyAfterStop: afterStop(bodyReadAt), firstSentAfterStop: afterStop(firstSentAt), lastSentAfterStop: afterStop(lastSentAt) }
}

/**
 * Of the requests that a planned stop cuts: how many had been sent and may not be sent again, how many were sent
 * after it began, and how many milliseconds after that the last one was.
 *
 * @example
 * log.info('drained', { cut: requests.length, ...cutFields(requests, startedAt) })
 */
export function cutFields (requests: readonly CutRequest[], begunAt: number): LogFields {
  const sent = requests.filter(({ times }) => times.lastSentAt !== undefined)
  const sendTimes = sent.map(({ times }) => times.lastSentAt! - begunAt)
  return {
    cutOnceOnly: sent.filter(({ isRepeatable }) => !isRepeatable).length,
    cutSentInStop: sendTimes.filter(milliseconds => milliseconds >= 0).length,
    lastSentAfterStop: sendTimes.length === 0 ? undefined : Math.round(Math.max(...sendTimes))
  }
}
