/** Refuses what is no well-formed request. The requests before it on its connection are answered first. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { Refusal, RefusalCode, RunState } from '../contract/index.ts'
import type { CallerConnection, TrackedConnections } from '../server/index.ts'
import { errorBody } from './openAiFormat.ts'

/**
 * From now on, malformed requests are refused.
 *
 * @example
 * refuseMalformed(server, connections)
 */
export function refuseMalformed (server: Server, connections: TrackedConnections): void {
  server.on('clientError', (_error, socket) => refuse(socket as Socket, connections.of(socket as Socket)))
}

function refuse (socket: Socket, connection: CallerConnection | undefined): void {
  const end = () => {
    if (!socket.writable) return
    const body = JSON.stringify(errorBody(new Refusal(RefusalCode.InvalidRequest, RunState.NotRun, 'the request is not well-formed HTTP')))
    socket.end(`HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
  }
  if (connection?.isAnswering === true) connection.untilAnswered().then(end)
  else end()
}
