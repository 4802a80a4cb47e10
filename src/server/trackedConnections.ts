/** The open connections of an HTTP server, each with what was read of it and what is still to be answered on it. */
import type { IncomingMessage, Server as HttpServer, ServerResponse } from 'node:http'
import type { Server as HttpsServer } from 'node:https'
import { Server as NetServer, type Socket } from 'node:net'
import { CallerConnection } from './callerConnection.ts'

/**
 * @example
 * const connections = new TrackedConnections(server)
 * const canAnswer = connections.add(request, response)
 */
export class TrackedConnections {
  readonly #server: HttpServer | HttpsServer
  readonly #connections = new Map<Socket, CallerConnection>()

  /** @param isSecure whether the server speaks TLS */
  constructor (server: HttpServer | HttpsServer, isSecure = false) {
    this.#server = server
    server.on(isSecure ? 'secureConnection' : 'connection', (socket: Socket) => {
      this.#connections.set(socket, new CallerConnection(socket))
      socket.once('close', () => this.#connections.delete(socket))
    })
  }

  get all (): readonly CallerConnection[] {
    return [...this.#connections.values()]
  }

  /** The open connection of a socket. */
  of (socket: Socket): CallerConnection | undefined {
    return this.#connections.get(socket)
  }

  /** Adds a request that has arrived; returns false if it can't be answered. */
  add (request: IncomingMessage, response: ServerResponse): boolean {
    return this.of(request.socket)?.add(request, response) !== false
  }

  /** Accepts no further connections. The HTTP server's own method would also close connections with unread or unsent bytes. */
  stopListening (): void {
    NetServer.prototype.close.call(this.#server)
  }
}
