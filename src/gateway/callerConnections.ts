/**
 * Closes callers' connections in a planned stop. Each one that is cut before the kernel has taken all
 * bytes of its answers is logged, since its caller can't have the complete answer.
 */
import type { Socket } from 'node:net'
import type { Log } from '../observe/index.ts'
import type { CallerListener } from '../server/index.ts'

/** What closed a connection. */
const CloseReason = {
  /** No request was waiting on it. */
  Idle: 'idle',
  /** The stop ended. */
  StopEnded: 'stop_ended'
} as const
type CloseReason = typeof CloseReason[keyof typeof CloseReason]

interface UnsentConnection {
  readonly socket: Socket
  readonly caller: string
  readonly unsentBytes: number
}

/**
 * @example
 * const connections = new CallerConnections(listener, log)
 * connections.closeIdle()
 */
export class CallerConnections {
  readonly #listener: CallerListener
  readonly #log: Log
  #unsentCount = 0

  constructor (listener: CallerListener, log: Log) {
    this.#listener = listener
    this.#log = log
  }

  /** Connections that were closed before all bytes of their answers were sent. */
  get unsentCount (): number {
    return this.#unsentCount
  }

  /** Accepts no further connections, and closes idle ones. */
  stopListening (): void {
    this.#close(CloseReason.Idle, () => this.#listener.server.close())
  }

  /** Closes idle connections, including those on which nothing was ever sent; Node.js does not count these as idle. */
  closeIdle (): void {
    const { server, sockets } = this.#listener
    this.#close(CloseReason.Idle, () => server.closeIdleConnections())
    for (const socket of sockets) {
      if (socket.bytesRead === 0) socket.destroy()
    }
  }

  /** Closes the remaining connections. */
  closeAll (): void {
    this.#close(CloseReason.StopEnded, () => this.#listener.server.closeAllConnections())
  }

  #close (reason: CloseReason, close: () => void): void {
    const unsent = [...this.#listener.sockets].filter(hasUnsentBytes).map(describe)
    close()
    for (const cut of unsent) {
      if (cut.socket.destroyed) this.#recordCut(cut, reason)
    }
  }

  #recordCut ({ caller, unsentBytes }: UnsentConnection, reason: CloseReason): void {
    this.#unsentCount++
    this.#log.warn('caller_connection_cut', { caller, unsentBytes, reason })
  }
}

function hasUnsentBytes (socket: Socket): boolean {
  return !socket.destroyed && socket.writableLength > 0
}

/** A socket forgets its address when it is closed. */
function describe (socket: Socket): UnsentConnection {
  return { socket, caller: `${socket.remoteAddress}:${socket.remotePort}`, unsentBytes: socket.writableLength }
}
