/** A client on a TCP connection of its own, which sees how an answer ends. */
import { connect } from 'node:net'

const callerPort = 8227

/** How a connection ended. */
export const ConnectionEnd = {
  /** The answer's last chunk arrived; only if the client looks for it. */
  Framed: 'framed',
  /** The other side closed it in order. */
  Orderly: 'orderly',
  Reset: 'reset',
  /** It was still open when the client stopped waiting. */
  Open: 'open'
} as const
export type ConnectionEnd = typeof ConnectionEnd[keyof typeof ConnectionEnd]

export interface Answer {
  readonly head: string
  readonly body: string
  readonly end: ConnectionEnd
}

export interface CallOptions {
  readonly host: string
  readonly method: string
  readonly path: string
  readonly id: string
  readonly body?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly timeoutMilliseconds: number
  /** Whether to stop reading at the last chunk of an answer; until the connection ends by default. */
  readonly untilFramed?: boolean
}

const lastChunk = '\r\n0\r\n\r\n'

/** Sends one request on a new connection and reads until that ends. */
export function call ({ host, method, path, id, body = '', headers = {}, timeoutMilliseconds, untilFramed = false }: CallOptions): Promise<Answer> {
  const lines = Object.entries({
    host: 'desk.example',
    'attempt-id': id,
    authorization: 'Bearer good-key',
    'deadline-ms': String(timeoutMilliseconds),
    'content-length': String(Buffer.byteLength(body)),
    ...headers
  }).map(([name, value]) => `${name}: ${value}\r\n`)
  return new Promise(resolve => {
    const socket = connect({ host, port: callerPort })
    let received = ''
    const finish = (end: ConnectionEnd) => {
      clearTimeout(timer)
      socket.destroy()
      const headEnd = received.indexOf('\r\n\r\n')
      resolve({ head: headEnd < 0 ? '' : received.slice(0, headEnd), body: headEnd < 0 ? '' : received.slice(headEnd + 4), end })
    }
    const timer = setTimeout(() => finish(ConnectionEnd.Open), timeoutMilliseconds)
    socket.on('data', bytes => {
      received += bytes.toString('latin1')
      if (untilFramed && received.endsWith(lastChunk)) finish(ConnectionEnd.Framed)
    })
    socket.once('end', () => finish(ConnectionEnd.Orderly))
    socket.once('error', () => finish(ConnectionEnd.Reset))
    socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`)
  })
}
