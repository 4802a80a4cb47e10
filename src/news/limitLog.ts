/** Logs changes of the limits that endpoints announce. */
import type { Log } from '../observe/index.ts'
import type { LimitChange } from '../rateLimit/index.ts'

/**
 * Logs a change as `endpoint_limited` or `endpoint_limit_ended`.
 *
 * @param sent requests that this gateway sent under the limit before
 * @example
 * new AnnouncedLimits(change => logLimitChange(log, change, limits.sentTo(change.fact.instance)))
 */
export function logLimitChange (log: Log, { fact, before }: LimitChange, sent: number): void {
  const { instance, requestsPerSecond, revision } = fact
  log.info(requestsPerSecond === undefined ? 'endpoint_limit_ended' : 'endpoint_limited', { endpoint: instance, requestsPerSecond, before, revision, sent })
}
