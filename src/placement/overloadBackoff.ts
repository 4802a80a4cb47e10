/**
 * How long an endpoint is left alone after it refused a request and said for how long it wants none. All
 * daemons that it refused hear of about the same end, so each adds a random part, and the endpoint gets its
 * load back gradually instead of all at once.
 */
import type { Randomness } from '../contract/index.ts'

/** A longer time is taken for a mistake: an endpoint that leaves says so, and a refusal ends with its overload. */
const maximumBackoffMilliseconds = 60_000
/** The random part, as a share of the requested time. */
const spreadShare = 0.25
const maximumSpreadMilliseconds = 2_000

/** A bounded time for which an endpoint gets no requests. */
export interface OverloadBackoff {
  readonly milliseconds: number
  /** Whether the requested time was longer than is accepted. */
  readonly wasBounded: boolean
}

/**
 * Returns the time for which an endpoint gets no requests.
 *
 * @param requestedMilliseconds the time that the endpoint asked for; not negative
 * @example
 * const { milliseconds } = overloadBackoff(1_500, randomness)
 */
export function overloadBackoff (requestedMilliseconds: number, randomness: Randomness): OverloadBackoff {
  const acceptedMilliseconds = Math.min(maximumBackoffMilliseconds, requestedMilliseconds)
  const spreadMilliseconds = Math.min(maximumSpreadMilliseconds, acceptedMilliseconds * spreadShare)
  return {
    milliseconds: acceptedMilliseconds + spreadMilliseconds * randomness.fraction(),
    wasBounded: requestedMilliseconds > maximumBackoffMilliseconds
  }
}
