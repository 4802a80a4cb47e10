/**
 * HTTP response framing. A process that is killed can't reset its connections: the kernel closes them in
 * order. What leaves this process bit by bit is therefore never delimited by the close of its connection:
 * it has a length or is chunked, or is held for an HTTP/1.0 caller, which can read no chunks. A short response
 * that its endpoint delimited by the close leaves in one write, which no kill can cut, and is delimited the
 * same way, since a frame would claim a completeness that is not known. It has a length all the same where
 * further requests of its connection were read, which the close would cut.
 */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { type CloseCause, recordCloseCause } from '../server/index.ts'

/** Connections whose orderly close would end a response that is not complete. */
const delimitingConnections = new WeakSet<Socket>()

/** Largest response that the kernel is sure to take in one write. */
export const maximumSingleWriteBytes = 16 * 1024
/** Largest response that is held for a caller that can read no chunks. */
export const maximumHeldBytes = 4 * 1024 * 1024

/** How a response is delimited. */
export const ResponseFrame = {
  Length: 'length',
  Chunks: 'chunks',
  /** By the close of its connection. */
  Close: 'close'
} as const
export type ResponseFrame = typeof ResponseFrame[keyof typeof ResponseFrame]

/**
 * How a response's headers delimit its body.
 *
 * @example
 * const frame = frameOf(head.headers)
 */
export function frameOf (headers: IncomingHttpHeaders): ResponseFrame {
  if (headers['transfer-encoding'] !== undefined) return ResponseFrame.Chunks
  return headers['content-length'] === undefined ? ResponseFrame.Close : ResponseFrame.Length
}

/**
 * Whether a response's headers delimit its body.
 *
 * @example
 * if (isSelfDelimited(head.headers)) run.recordAnswer(now)
 */
export function isSelfDelimited (headers: IncomingHttpHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/**
 * Whether the caller of a response can read chunks.
 *
 * @example
 * if (!takesChunks(response)) hold(events)
 */
export function takesChunks (response: ServerResponse): boolean {
  return response.useChunkedEncodingByDefault
}

/**
 * Sends a complete response in one write, delimited by the close of its connection.
 *
 * @example
 * endWithoutFrame(response, 200, headers, body)
 */
export function endWithoutFrame (response: ServerResponse, status: number, headers: Readonly<Record<string, string | string[]>>, body: Buffer): void {
  const { socket } = response.req
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
  delimitingConnections.add(socket)
  response.once('finish', () => delimitingConnections.delete(socket))
  response.writeHead(status, headers)
  response.end(body)
}

/**
 * Closes a connection at once; an unfinished response on it does not look complete.
 *
 * @example
 * for (const socket of listener.sockets) cutConnection(socket, CloseCause.Stop)
 */
export function cutConnection (socket: Socket, cause: CloseCause): void {
  recordCloseCause(socket, cause)
  // A connection whose end was sent already can't be reset.
  if (delimitingConnections.has(socket) && !socket.destroyed && !socket.writableEnded) socket.resetAndDestroy()
  else socket.destroy()
}

/**
 * Ends a response that can't be completed by the orderly end of its connection, so that the answers before it reach a caller
 * that reads late and goes on sending. A length or chunks show that the response is not complete.
 *
 * @example
 * breakOffResponse(response, CloseCause.AnswerBroken)
 */
export function breakOffResponse (response: ServerResponse, cause: CloseCause): void {
  const { socket } = response
  if (socket === null || delimitingConnections.has(socket)) return cutResponse(response, cause)
  recordCloseCause(socket, cause)
  socket.destroySoon()
}

/**
 * Ends a response at once by closing its connection, once it is its turn on it. What it holds is given back.
 *
 * @example
 * cutResponse(response, CloseCause.Evicted)
 */
export function cutResponse (response: ServerResponse, cause: CloseCause): void {
  if (response.socket === null) recordCloseCause(response.req.socket, cause)
  else cutConnection(response.socket, cause)
  response.destroy()
}
