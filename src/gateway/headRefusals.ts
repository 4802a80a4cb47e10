/**
 * Refuses heads of requests that are malformed, too large or late. Requests before them on the same
 * connection are answered first; then comes the refusal, and then the end of the connection. What follows
 * on it is not served.
 */
import type { Socket } from 'node:net'
import { untilInputIsRead } from '../contract/index.ts'
import type { Log } from '../observe/index.ts'
import { type CallerConnection, type CallerListener, CloseCause, type HeadTimeLimits, recordCloseCause } from '../server/index.ts'

/** After the refusal the caller has this time to read it and to close its side. */
const maximumCloseMilliseconds = 3_000
/** More bytes than this after the refused head are not read. */
const maximumDiscardedBytes = 4 * 1024 * 1024

const lateCode = 'ERR_HTTP_REQUEST_TIMEOUT'
/** The caller ended its side in the middle of a request. */
const endedCode = 'HPE_INVALID_EOF_STATE'

const statusLines: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  [lateCode]: '408 Request Timeout'
}
const malformedStatusLine = '400 Bad Request'

interface ParserError extends Error {
  readonly code?: string
}

/**
 * @example
 * new HeadRefusals(listener, limits, log).begin()
 */
export class HeadRefusals {
  readonly #listener: CallerListener
  readonly #limits: HeadTimeLimits
  readonly #log: Log
  /** Bytes that had been received when a head was refused. */
  readonly #refusedAt = new WeakMap<Socket, number>()

  constructor (listener: CallerListener, limits: HeadTimeLimits, log: Log) {
    this.#listener = listener
    this.#limits = limits
    this.#log = log
  }

  /** From now on, heads are refused. */
  begin (): void {
    this.#listener.server.on('clientError', (error: ParserError, socket) => this.#receive(error, socket as Socket))
  }

  #isRefused (socket: Socket): boolean {
    return this.#refusedAt.has(socket)
  }

  /** Node.js reports each further read of a connection with a malformed head again, and also connections that have broken. */
  #receive (error: ParserError, socket: Socket): void {
    if (socket.destroyed) return
    if (this.#isRefused(socket)) return this.#boundDiscardedBytes(socket)
    if (error.code === lateCode) return this.#receiveLate(error, socket)
    this.#refuse(error, socket)
  }

  /** The time for a body is bounded where it is read. */
  #receiveLate (error: ParserError, socket: Socket): void {
    if (this.#listener.connectionOf(socket)?.isReadingBody === true) return
    const millisecondsLeft = this.#limits.millisecondsLeft(socket)
    if (millisecondsLeft === Infinity) return
    if (millisecondsLeft === 0) return this.#refuseUnlessArrived(error, socket)
    const recheck = setTimeout(() => {
      if (this.#limits.isKept(socket) && !this.#isRefused(socket)) this.#refuse(error, socket)
    }, millisecondsLeft)
    socket.once('close', () => clearTimeout(recheck))
  }

  /** After a stall of the event loop a head looks late that has arrived in time and was not read yet. */
  #refuseUnlessArrived (error: ParserError, socket: Socket): void {
    const headCount = this.#listener.connectionOf(socket)?.headCount
    untilInputIsRead(performance).then(() => {
      const hasArrived = this.#listener.connectionOf(socket)?.headCount !== headCount
      if (!hasArrived && !this.#isRefused(socket)) this.#refuse(error, socket)
    })
  }

  #refuse (error: ParserError, socket: Socket): void {
    this.#refusedAt.set(socket, socket.bytesRead)
    recordCloseCause(socket, CloseCause.HeadRefused)
    this.#log.info('request_malformed', { reason: error.code ?? error.message, caller: `${socket.remoteAddress}:${socket.remotePort}`, sentBytes: socket.bytesWritten })
    const connection = this.#listener.connectionOf(socket)
    if (connection === undefined) return
    connection.stopRequests()
    connection.untilAnswered().then(() => this.#end(connection, error))
  }

  #end ({ socket, hasBegunResponse }: CallerConnection, { code = '' }: ParserError): void {
    // The last answer has ended the connection already, which closes when all is sent.
    if (socket.destroyed || socket.writableEnded) return
    // The refused request itself has its answer, which ends the connection once the rest has arrived.
    if (hasBegunResponse && code === endedCode) socket.end()
    if (hasBegunResponse) return
    socket.end(`HTTP/1.1 ${statusLines[code] ?? malformedStatusLine}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`)
    const close = setTimeout(() => socket.destroy(), maximumCloseMilliseconds)
    socket.once('close', () => clearTimeout(close))
  }

  #boundDiscardedBytes (socket: Socket): void {
    const discardedBytes = socket.bytesRead - (this.#refusedAt.get(socket) ?? 0)
    if (discardedBytes > maximumDiscardedBytes) socket.pause()
  }
}
