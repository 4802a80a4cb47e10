/** Reports the requests that have no complete answer when this process closes their connection, rather than their caller. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerConnection, UnfinishedRequests } from './callerConnection.ts'
import { CloseCause, closeCauseOf } from './closeCause.ts'

/** The connections that are watched. */
export interface WatchedConnections {
  readonly server: Server
  readonly connections: readonly CallerConnection[]
  connectionOf (socket: Socket): CallerConnection | undefined
}

/** Told of each connection that was closed under unfinished requests. */
export type CutRequestsListener = (cause: CloseCause, requests: UnfinishedRequests) => void

/**
 * Watches the open connections and all further ones.
 *
 * @example
 * watchCutRequests(listener, (cause, { unanswered }) => log.warn('requests_cut', { cause, unanswered }))
 */
export function watchCutRequests (listener: WatchedConnections, onCut: CutRequestsListener): void {
  for (const connection of listener.connections) watch(connection, onCut)
  listener.server.on('connection', socket => {
    const connection = listener.connectionOf(socket)
    if (connection !== undefined) watch(connection, onCut)
  })
}

function watch (connection: CallerConnection, onCut: CutRequestsListener): void {
  const { socket } = connection
  // The HTTP server forgets the responses of a connection when it closes.
  socket.prependOnceListener('close', () => {
    const cause = closeCauseOf(socket)
    if (cause !== CloseCause.CallerLeft && connection.openResponseCount > 0) onCut(cause, connection.unfinishedRequests)
  })
}
