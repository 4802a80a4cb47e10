/** A TCP server whose replies a test writes as raw bytes, for data that no HTTP library would send. */
import { type AddressInfo, createServer, type Socket } from 'node:net'

export interface ScriptedServer {
  readonly address: string
  /** All that each connection has received so far, in order of connection. */
  readonly received: readonly string[]
  close (): Promise<void>
}

/**
 * Starts a server on the loopback interface.
 *
 * @param onData called whenever data arrives, with the connection's index from 0 and all that it has received
 */
export async function startScriptedServer (onData: (socket: Socket, connection: number, received: string) => void): Promise<ScriptedServer> {
  const received: string[] = []
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    const connectionIndex = received.push('') - 1
    sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', bytes => {
      received[connectionIndex] += bytes.toString('utf8')
      onData(socket, connectionIndex, received[connectionIndex] ?? '')
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  return {
    address: `127.0.0.1:${port}`,
    received,
    close: async () => {
      const closed = new Promise<void>(resolve => server.close(() => resolve()))
      for (const socket of sockets) socket.destroy()
      await closed
    }
  }
}

/** A complete HTTP/1.1 reply with a JSON body. */
export function httpReply (body: string, status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

/** One chunk of a body in chunked transfer encoding. */
export function httpChunk (text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}
