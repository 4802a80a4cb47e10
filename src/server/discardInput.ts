/**
 * Takes a connection from the HTTP parser and discards what arrives on it. What it has read so far is answered. The
 * connection goes on to be read, so that it shows when its caller leaves; a paused one would not.
 */
import type { Socket } from 'node:net'
import type { ParsedSocket } from './parsedSocket.ts'

/** More bytes than this are left to the kernel. */
const maximumDiscardedBytes = 4 * 1024 * 1024

/** Kept at the socket itself: the launcher and the program that it loads each have a copy of this module. */
const discardsKey = Symbol.for('lavenderdoor.discardsInput')
type DiscardingSocket = Socket & { [discardsKey]?: true }

/**
 * Discards all further input of a connection; later calls have no effect.
 *
 * @example
 * discardInput(request.socket)
 */
export function discardInput (socket: DiscardingSocket): void {
  if (socket[discardsKey] === true) return
  socket[discardsKey] = true
  // The parser is in the middle of a read when it tells of a request.
  setImmediate(() => { if (!socket.destroyed) detachParser(socket) })
}

/**
 * Whether the input of a connection is discarded.
 *
 * @example
 * if (!discardsInput(socket)) awaitBody(request)
 */
export function discardsInput (socket: DiscardingSocket): boolean {
  return socket[discardsKey] === true
}

/** A listener for data makes Node.js hand the bytes to the socket in place of its parser. */
function detachParser (socket: ParsedSocket): void {
  socket.parser?._headers?.splice(0)
  let discardedBytes = 0
  socket.removeAllListeners('data')
  socket.on('data', bytes => {
    discardedBytes += bytes.length
    if (discardedBytes > maximumDiscardedBytes) socket.pause()
  })
  socket.resume()
}
