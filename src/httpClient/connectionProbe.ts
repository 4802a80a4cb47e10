/** Tells whether something listens at an address, without sending anything. */
import { connect } from 'node:net'
import { type Clock, scheduleReplyTimeout } from '../contract/index.ts'

/** What became of a connection that was tried. */
export const ConnectionOutcome = {
  Accepted: 'accepted',
  /** Nothing listens at the address. */
  Refused: 'refused',
  /** Neither accepted nor refused in time, or failed in another way. */
  Unanswered: 'unanswered'
} as const
export type ConnectionOutcome = typeof ConnectionOutcome[keyof typeof ConnectionOutcome]

/** Opens a connection to `IP:port` and closes it at once; never rejects. */
export type ConnectionProbe = (address: string) => Promise<ConnectionOutcome>

const connectionRefused = 'ECONNREFUSED'

/**
 * Returns a probe of connections.
 *
 * @param timeoutMilliseconds after which a connection counts as unanswered
 * @example
 * const probe = connectionProbe(450, clock)
 * if (await probe('10.0.0.7:8024') === ConnectionOutcome.Accepted) wait()
 */
export function connectionProbe (timeoutMilliseconds: number, clock: Clock): ConnectionProbe {
  return address => new Promise<ConnectionOutcome>(resolve => {
    const separator = address.lastIndexOf(':')
    const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) })
    const finish = (outcome: ConnectionOutcome) => {
      cancelTimeout()
      socket.destroy()
      resolve(outcome)
    }
    const cancelTimeout = scheduleReplyTimeout(clock, timeoutMilliseconds, () => finish(ConnectionOutcome.Unanswered))
    socket.once('connect', () => finish(ConnectionOutcome.Accepted))
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === connectionRefused ? ConnectionOutcome.Refused : ConnectionOutcome.Unanswered))
  }).catch(() => ConnectionOutcome.Unanswered)
}
