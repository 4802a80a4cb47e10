/** Tells a crashed endpoint from one that closed a connection: nothing listens at its address any more. */
import type { Clock } from '../contract/index.ts'
import { ConnectionOutcome, connectionProbe } from '../httpClient/index.ts'

/**
 * Returns a check that opens a connection and closes it at once.
 *
 * @param timeoutMilliseconds after which an endpoint that neither accepts nor refuses counts as not crashed
 * @returns a check that resolves to true only if the connection is refused; it never rejects
 * @example
 * const hasCrashed = connectionCheck(450, clock)
 * if (await hasCrashed('10.0.0.7:8024')) report()
 */
export function connectionCheck (timeoutMilliseconds: number, clock: Clock): (address: string) => Promise<boolean> {
  const probe = connectionProbe(timeoutMilliseconds, clock)
  return async address => await probe(address) === ConnectionOutcome.Refused
}
