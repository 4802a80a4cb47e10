/** Tells a crashed endpoint from one that closed a connection: nothing listens at its address any more. */
import { connect } from 'node:net'

const connectionRefused = 'ECONNREFUSED'

/**
 * Returns a check that opens a connection and closes it at once.
 *
 * @param timeoutMilliseconds after which an endpoint that neither accepts nor refuses counts as not crashed
 * @returns a check that resolves to true only if the connection is refused; it never rejects
 * @example
 * const hasCrashed = connectionCheck(450)
 * if (await hasCrashed('10.0.0.7:8024')) report()
 */
export function connectionCheck (timeoutMilliseconds: number): (address: string) => Promise<boolean> {
  return address => new Promise(resolve => {
    const separator = address.lastIndexOf(':')
    const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)), timeout: timeoutMilliseconds })
    const finish = (hasCrashed: boolean) => {
      socket.destroy()
      resolve(hasCrashed)
    }
    socket.once('connect', () => finish(false))
    socket.once('timeout', () => finish(false))
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === connectionRefused))
  })
}
