/** Opens the TCP connections of HTTP clients. A connection that was accepted counts, however late this process sees it. */
import { connect } from 'node:net'
import { type buildConnector, errors } from 'undici'
import { type Clock, scheduleReplyTimeout } from '../contract/index.ts'

const defaultPort = 80
const keepAliveDelayMilliseconds = 60_000
const highWaterMarkBytes = 64 * 1024

/**
 * Creates a connector.
 *
 * @param timeoutMilliseconds after which a peer that has not accepted is given up
 * @example
 * const client = new ProgressClient(origin, { connect: createConnector(clock, 1_000) })
 */
export function createConnector (clock: Clock, timeoutMilliseconds: number): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const target = { host: hostname, port: Number(port || defaultPort), highWaterMark: highWaterMarkBytes }
    const socket = connect(target).setKeepAlive(true, keepAliveDelayMilliseconds).setNoDelay(true)
    const cancel = scheduleReplyTimeout(clock, timeoutMilliseconds, () => {
      socket.destroy(new errors.ConnectTimeoutError(`${hostname}:${port} did not accept within ${timeoutMilliseconds} ms`))
    })
    let isSettled = false
    const settle = (tell: () => void) => {
      if (isSettled) return
      isSettled = true
      cancel()
      tell()
    }
    socket.once('connect', () => settle(() => callback(null, socket)))
    socket.on('error', error => settle(() => callback(error, null)))
  }
}
