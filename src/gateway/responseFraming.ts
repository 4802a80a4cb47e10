/**
 * HTTP response framing. A response with neither a content length nor chunked encoding is delimited by
 * the close of its connection, and an orderly close does not prove that it is complete. It is relayed
 * the same way, since adding a length would claim a completeness that is not known. If it is cut, its
 * connection is reset, so that the part that was sent does not look complete.
 */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Connections whose orderly close would end a response that is not complete. */
const delimitingConnections = new WeakSet<Socket>()

/**
 * Whether a response's headers delimit its body.
 *
 * @example
 * if (!isSelfDelimited(head.headers)) delimitByConnectionClose(response)
 */
export function isSelfDelimited (headers: IncomingHttpHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** Delimits a response by the close of its connection, without a content length or chunked encoding. */
export function delimitByConnectionClose (response: ServerResponse): void {
  const { socket } = response.req
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
  delimitingConnections.add(socket)
  response.once('finish', () => delimitingConnections.delete(socket))
}

/**
 * Closes a connection at once; an unfinished response on it does not look complete.
 *
 * @example
 * for (const socket of listener.sockets) cutConnection(socket)
 */
export function cutConnection (socket: Socket): void {
  // A connection whose end was sent already can't be reset.
  if (delimitingConnections.has(socket) && !socket.destroyed && !socket.writableEnded) socket.resetAndDestroy()
  else socket.destroy()
}

/**
 * Ends a response that will not be completed by closing its connection, once it is its turn on it.
 *
 * @example
 * cutResponse(response)
 */
export function cutResponse (response: ServerResponse): void {
  if (response.socket !== null) cutConnection(response.socket)
  response.destroy()
}
