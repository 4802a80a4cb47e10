/**
 * Time limits of callers' connections between requests: how long a head may take to arrive, and how long
 * a connection may be idle. Node.js measures both, but counts a head's time from the connect until its first
 * byte, applies a new limit to heads that have begun under a longer one, and closes connections before the
 * idle time that their last answer announced.
 */
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerConnection } from './callerConnection.ts'
import { CloseCause, recordCloseCause } from './closeCause.ts'
import { untilInputIsRead } from '../contract/index.ts'

/** A head that is late is noticed this much later at most. */
const noticeMilliseconds = 1_500

/** The connections that the limits apply to. */
export interface LimitedConnections {
  readonly server: Server
  readonly connections: readonly CallerConnection[]
  connectionOf (socket: Socket): CallerConnection | undefined
}

/**
 * @example
 * const limits = new HeadTimeLimits(listener)
 * limits.apply(5_000, 15_000)
 */
export class HeadTimeLimits {
  readonly #listener: LimitedConnections
  /** Until when heads that began under a longer limit may take, in milliseconds of the process. */
  readonly #keptUntil = new WeakMap<Socket, number>()
  /** Connections whose idle time was over while a head was arriving. */
  readonly #extended = new WeakSet<Socket>()

  constructor (listener: LimitedConnections) {
    this.#listener = listener
    const { server } = listener
    server.on('connection', socket => this.#limitUnused(socket))
    server.on('request', ({ socket }, response) => {
      this.#endHead(socket)
      this.#keepAnnouncedIdleTime(socket, response)
    })
    server.on('timeout', socket => {
      untilInputIsRead(performance).then(() => this.#endIdleTime(socket))
    })
    for (const { socket } of listener.connections) this.#limitUnused(socket)
  }

  /** Applies new limits, in milliseconds. A head that is arriving keeps a longer one, and so does a connection that is idle. */
  apply (headMilliseconds: number, idleMilliseconds: number): void {
    const { connections, server } = this.#listener
    const isHeadLimitLowered = headMilliseconds < server.headersTimeout
    const isIdleLimitRaised = idleMilliseconds > server.keepAliveTimeout
    if (isHeadLimitLowered) {
      for (const connection of connections) this.#keepLimit(connection)
    }
    server.headersTimeout = headMilliseconds
    server.keepAliveTimeout = idleMilliseconds
    if (isIdleLimitRaised) {
      for (const { socket } of connections) this.#limitUnused(socket)
    }
  }

  /** Whether a head on a connection began under a longer limit and has not arrived yet. */
  isKept (socket: Socket): boolean {
    return this.#keptUntil.has(socket)
  }

  /** How much longer a head that exceeds the limit may take, in milliseconds; infinite if none has begun. */
  millisecondsLeft (socket: Socket): number {
    if (socket.bytesRead === 0) return Infinity
    return Math.max(0, (this.#keptUntil.get(socket) ?? 0) - performance.now())
  }

  #keepLimit ({ socket, isIdle }: CallerConnection): void {
    const until = performance.now() + this.#listener.server.headersTimeout
    if (!isIdle && !this.#keptUntil.has(socket)) this.#keptUntil.set(socket, until)
  }

  /** Node.js sets the idle time only after a response. */
  #limitUnused (socket: Socket): void {
    if (socket.bytesRead === 0) socket.setTimeout(this.#listener.server.keepAliveTimeout)
  }

  #endHead (socket: Socket): void {
    this.#keptUntil.delete(socket)
    this.#extended.delete(socket)
    socket.setTimeout(0)
  }

  /** The answer announces the idle time that is in force when its request arrives; Node.js applies the one that is in force when it ends. */
  #keepAnnouncedIdleTime (socket: Socket, response: ServerResponse): void {
    const announcedMilliseconds = this.#listener.server.keepAliveTimeout
    response.once('finish', () => {
      const { timeout = 0 } = socket
      if (timeout > 0 && timeout < announcedMilliseconds) socket.setTimeout(announcedMilliseconds)
    })
  }

  /** A request that has arrived ends the idle time, and a head that is arriving has its own limit; the connection ends if none was found after that. */
  #endIdleTime (socket: Socket): void {
    const connection = this.#listener.connectionOf(socket)
    if (connection === undefined || connection.openResponseCount > 0) return
    const isHeadArriving = !connection.isIdle
    if (!isHeadArriving || this.#extended.has(socket)) {
      recordCloseCause(socket, CloseCause.Idle)
      socket.destroy()
      return
    }
    this.#extended.add(socket)
    socket.setTimeout(Math.max(this.#listener.server.headersTimeout, this.millisecondsLeft(socket)) + noticeMilliseconds)
  }
}
