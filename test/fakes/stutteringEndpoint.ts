/**
 * Endpoints that stutter: the answer to a request stops after any number of bytes, and a whole answer to the same
 * request follows on the same connection. A request's path names the framing, the cut and the pause; the second
 * time that a request comes it is answered as it should be.
 */
import type { Socket } from 'node:net'
import { formatEvent } from './forwarderWorld.ts'
import { type ScriptedServer, httpChunk, startScriptedServer } from './scriptedServer.ts'

/** How the body of an answer is delimited. */
export const Framing = {
  Chunks: 'chunks',
  Length: 'length',
  /** By the end of the connection. */
  None: 'none'
} as const
export type Framing = typeof Framing[keyof typeof Framing]

export interface Stutter {
  readonly framing: Framing
  /** Bytes of the first answer. */
  readonly cut: number
  /** Before the second answer; none means that both are written as one. */
  readonly pauseMilliseconds: number | undefined
}

/** Longer than the head of an answer, so that a whole second head fits in. */
export const plainBody = 'the whole body of an answer '.repeat(9)
export const eventCount = 12
/** Each event is a chunk. */
export const streamParts = Array.from({ length: eventCount }, (_, index) => formatEvent(index + 1))
export const streamBody = streamParts.join('')

const framingFields: Readonly<Record<Framing, (bodyLength: number) => string>> = {
  chunks: () => 'transfer-encoding: chunked',
  length: bodyLength => `content-length: ${bodyLength}`,
  none: () => 'connection: close'
}

/** The bytes of a whole answer, the parts of its body in chunks of their own. */
export function answerText (id: string, framing: Framing, parts: readonly string[]): string {
  const body = parts.join('')
  const framed = framing === Framing.Chunks ? parts.map(httpChunk).join('') + httpChunk('') : body
  return `HTTP/1.1 200 OK\r\nserver-seal: s-${id}\r\nx-note: any text\r\nattempt-id: ${id}\r\nconfidence: 90\r\ncontent-type: text/plain\r\n${framingFields[framing](body.length)}\r\n\r\n${framed}`
}

/** The path of a request whose answer stutters. */
export function stutterPath (prefix: string, { framing, cut, pauseMilliseconds }: Stutter): string {
  return `${prefix}${framing}/${cut}/${pauseMilliseconds ?? 'at-once'}`
}

const headPattern = /^(\S+) (\/\S*?)([^/]+)\/(\d+)\/(\S+) HTTP\/1\.1\r\n([^]*?)\r\n\r\n/

export class StutteringEndpoints {
  /** Attempt ids, each as often as it has come. */
  readonly arrivals: string[] = []
  readonly #servers: ScriptedServer[] = []

  /**
   * Starts one endpoint.
   *
   * @returns its address
   */
  async start (): Promise<string> {
    const readBytes = new Map<number, number>()
    const server = await startScriptedServer((socket, connection, received) => {
      const text = received.slice(readBytes.get(connection) ?? 0)
      const end = text.indexOf('\r\n\r\n')
      if (end < 0) return
      readBytes.set(connection, received.length)
      this.#answer(socket, text)
    })
    this.#servers.push(server)
    return server.address
  }

  async close (): Promise<void> {
    await Promise.all(this.#servers.map(server => server.close()))
  }

  #answer (socket: Socket, text: string): void {
    const [, , prefix, framing, cut, pause, head = ''] = headPattern.exec(text) ?? []
    const id = /^attempt-id: (.*)$/im.exec(head)?.[1] ?? ''
    const isRepeat = this.arrivals.includes(id)
    this.arrivals.push(id)
    const lastEvent = Number(/^last-event-id: (\d+)$/im.exec(head)?.[1] ?? 0)
    const whole = answerText(id, framing as Framing, prefix === '/query/' ? streamParts.slice(lastEvent) : [plainBody])
    const first = isRepeat ? '' : whole.slice(0, Number(cut))
    const end = (bytes: string) => {
      socket.write(bytes)
      if (framing === Framing.None) socket.end()
    }
    if (pause === 'at-once' || isRepeat) return end(first + whole)
    socket.write(first)
    setTimeout(() => { if (!socket.destroyed) end(whole) }, Number(pause))
  }
}
