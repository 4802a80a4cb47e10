/**
 * Refuses CONNECT, which asks for a tunnel. Node.js hands the whole connection over with it, and would close it without
 * an answer if nobody took it.
 */
import type { Server as HttpServer } from 'node:http'
import type { Server as HttpsServer } from 'node:https'
import type { Socket } from 'node:net'
import type { CallerConnection } from './callerConnection.ts'

const refusal = 'HTTP/1.1 501 Not Implemented\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'

/** Finds the open connection of a socket. */
export type ConnectionFinder = (socket: Socket) => CallerConnection | undefined

/**
 * From now on, CONNECT is refused after the answers to the requests before it, and the connection ends.
 *
 * @example
 * refuseConnect(server, socket => connections.of(socket))
 */
export function refuseConnect (server: HttpServer | HttpsServer, connectionOf: ConnectionFinder): void {
  server.on('connect', (_request, socket) => {
    const connection = connectionOf(socket as Socket)
    if (connection === undefined) socket.destroy()
    else refuse(connection)
  })
}

/** The HTTP server does nothing more for the connection, so that an answer that is leaving has to be told here when to go on. */
function refuse (connection: CallerConnection): void {
  const { socket } = connection
  connection.stopRequests()
  const drain = () => connection.leavingResponse?.emit('drain')
  socket.on('drain', drain)
  socket.on('error', () => undefined)
  socket.resume()
  connection.untilAnswered().then(() => {
    socket.off('drain', drain)
    if (!socket.writable) return
    socket.write(refusal)
    socket.destroySoon()
  })
}
