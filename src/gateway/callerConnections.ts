/**
 * Closes callers' connections in a planned stop. Each one that is cut before the kernel has taken all
 * bytes of its answers is logged, since its caller can't have the complete answer.
 */
import type { Socket } from 'node:net'
import type { Log } from '../observe/index.ts'
import { type CallerListener, CloseCause } from '../server/index.ts'
import { cutConnection } from './responseFraming.ts'

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

  /** Closes connections on which nothing is to be answered or sent, including those on which nothing was ever received. */
  closeIdle (): void {
    for (const connection of this.#listener.connections) {
      if (connection.isIdle) connection.socket.destroy()
    }
  }

  /** Closes the remaining connections. */
  closeAll (): void {
    for (const { socket, unsentBytes } of this.#listener.connections) {
      if (unsentBytes > 0) this.#recordCut(socket, unsentBytes)
      cutConnection(socket, CloseCause.Stop)
    }
    this.#listener.server.close()
  }

  #recordCut ({ remoteAddress, remotePort }: Socket, unsentBytes: number): void {
    this.#unsentCount++
    this.#log.warn('caller_connection_cut', { caller: `${remoteAddress}:${remotePort}`, unsentBytes })
  }
}
