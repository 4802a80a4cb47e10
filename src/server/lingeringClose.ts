/**
 * Closes a connection after an answer that announced its end, or that was broken off. Its caller may still be sending: if the connection
 * were closed under that, the kernel would reset it, and the caller might lose answers that it has not read. The
 * connection is therefore half closed, and what arrives is read and discarded until the caller closes as well.
 */
import type { Socket } from 'node:net'

/** The caller has this time to read its answers and to close its side. */
const maximumMilliseconds = 1_000
/** What is left of an answer that was broken off has this time to be sent. */
const maximumUnsentMilliseconds = 3_000
/** More bytes than this are not read. */
const maximumDiscardedBytes = 1024 * 1024
const checkIntervalMilliseconds = 50

/**
 * @example
 * const close = new LingeringClose(socket)
 * close.begin()
 */
export class LingeringClose {
  readonly #socket: Socket
  #hasBegun = false

  constructor (socket: Socket) {
    this.#socket = socket
  }

  /** Whether the caller is still given time. */
  get isPending (): boolean {
    return this.#hasBegun && !this.#socket.destroyed
  }

  /** Ends this side once all bytes are sent; later calls have no effect. */
  begin (): void {
    if (this.isPending || this.#socket.destroyed) return
    this.#hasBegun = true
    this.#socket.end(() => this.#awaitCaller())
    this.#socket.resume()
  }

  /** The same, but a caller that takes nothing of an answer that was broken off is waited for no longer than for its close. */
  beginBrokenOff (): void {
    const destroy = setTimeout(() => this.#socket.destroy(), maximumUnsentMilliseconds)
    this.#socket.once('close', () => clearTimeout(destroy))
    this.begin()
  }

  #awaitCaller (): void {
    const socket = this.#socket
    const [endsAt, bytesBefore] = [performance.now() + maximumMilliseconds, socket.bytesRead]
    const check = setInterval(() => {
      if (performance.now() >= endsAt || socket.bytesRead - bytesBefore > maximumDiscardedBytes) socket.destroy()
    }, checkIntervalMilliseconds)
    socket.once('close', () => clearInterval(check))
  }
}
