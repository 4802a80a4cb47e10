/** The refusal of what is not HTTP, on a connection of a caller. */
import type { Socket } from 'node:net'
import { Refusal, RefusalCode, RunState } from '../contract/index.ts'
import type { CallerConnection } from '../server/index.ts'
import { errorBody } from './openAiFormat.ts'

/**
 * Refuses a malformed request once the requests before it are answered, and ends the connection.
 *
 * @example
 * server.on('clientError', (_error, socket) => refuseMalformed(socket, connections.of(socket)))
 */
export function refuseMalformed (socket: Socket, connection: CallerConnection | undefined): void {
  const refuse = () => {
    if (!socket.writable) return
    const body = JSON.stringify(errorBody(new Refusal(RefusalCode.InvalidRequest, RunState.NotRun, 'the request is not well-formed HTTP')))
    socket.end(`HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
  }
  if (connection?.isAnswering === true) connection.untilAnswered().then(refuse)
  else refuse()
}
