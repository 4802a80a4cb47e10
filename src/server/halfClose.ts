/**
 * Lets answers reach callers that end their own side of the connection first. Left to itself, Node.js ends the other
 * side at once, with all requests unanswered. Such a caller may have closed the whole connection or be gone, so the
 * connection ends when it takes nothing of its answers for a while.
 */
import type { Server as HttpServer } from 'node:http'
import type { Server as HttpsServer } from 'node:https'
import type { Socket } from 'node:net'

const maximumUnreadMilliseconds = 10_000

/**
 * Keeps connections open until the answers to their whole requests have left.
 *
 * @param unreadMilliseconds for which a caller may take nothing of an answer after it has ended its own side
 * @example
 * allowHalfOpen(server)
 */
export function allowHalfOpen (server: HttpServer | HttpsServer, unreadMilliseconds = maximumUnreadMilliseconds): void {
  const options = server as { httpAllowHalfOpen?: boolean }
  options.httpAllowHalfOpen = true
  const isSecure = 'setSecureContext' in server
  server.on(isSecure ? 'secureConnection' : 'connection', (socket: Socket) => {
    socket.once('end', () => endWhenUnread(socket, unreadMilliseconds))
  })
}

function endWhenUnread (socket: Socket, unreadMilliseconds: number): void {
  // The idle time, of Node.js and of HeadTimeLimits, would close the connection also while a request runs.
  socket.removeAllListeners('timeout')
  socket.setTimeout(unreadMilliseconds)
  socket.on('timeout', () => {
    const isWriting = socket.writableLength > 0
    if (isWriting) socket.destroy()
  })
}
