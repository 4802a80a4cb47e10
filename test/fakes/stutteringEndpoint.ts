/**
 * Endpoints that stutter: the answer to a request stops after any number of bytes, and a whole answer to the same
 * request follows on the same connection, or the connection ends. A request's path names the framing, the cut and the
 * fault; the second time that a request comes it is answered as it should be.
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

/** What comes with an answer, or in place of its rest. */
export const Fault = {
  /** A whole answer to the same request, at once. */
  SecondAnswer: 'second_answer',
  /** The same, 3 ms later. */
  LateSecondAnswer: 'late_second_answer',
  /** An orderly end. */
  End: 'end',
  Reset: 'reset',
  LateReset: 'late_reset',
  /** On a kept connection, the start of the answer to the request before comes once more, ahead of the whole answer. */
  OldStart: 'old_start',
  /** The same with the end of that answer. */
  OldEnd: 'old_end'
} as const
export type Fault = typeof Fault[keyof typeof Fault]

export interface Stutter {
  readonly framing: Framing
  /** Bytes of the first answer; of an old one, bytes up to where it is cut. */
  readonly cut: number
  readonly fault: Fault
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
export function stutterPath (prefix: string, { framing, cut, fault }: Stutter): string {
  return `${prefix}${framing}/${cut}/${fault}`
}

const secondAnswerMilliseconds = 3
const resetMilliseconds = 30
const headPattern = /^(\S+) (\/\S*?)([^/]+)\/(\d+)\/(\S+) HTTP\/1\.1\r\n([^]*?)\r\n\r\n/

export class StutteringEndpoints {
  /** Attempt ids, each as often as it has come. */
  readonly arrivals: string[] = []
  /** Requests ahead of whose answer came a part of the one before. */
  readonly idsBehindOldParts: string[] = []
  readonly #lastAnswers = new WeakMap<Socket, string>()
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
    const [, , prefix, framing, cut, fault, head = ''] = headPattern.exec(text) ?? []
    const id = /^attempt-id: (.*)$/im.exec(head)?.[1] ?? ''
    const isRepeat = this.arrivals.includes(id)
    this.arrivals.push(id)
    const lastEvent = Number(/^last-event-id: (\d+)$/im.exec(head)?.[1] ?? 0)
    const whole = answerText(id, framing as Framing, prefix === '/query/' ? streamParts.slice(lastEvent) : [plainBody])
    const old = this.#lastAnswers.get(socket)
    if (old !== undefined) this.idsBehindOldParts.push(id)
    this.#lastAnswers.set(socket, whole)
    if (isRepeat) return finish(socket, framing, whole)
    const first = whole.slice(0, Number(cut))
    if (fault === Fault.SecondAnswer) return finish(socket, framing, first + whole)
    if (fault === Fault.OldStart) return finish(socket, framing, (old?.slice(0, Number(cut)) ?? '') + whole)
    if (fault === Fault.OldEnd) return finish(socket, framing, (old?.slice(Number(cut)) ?? '') + whole)
    socket.write(first)
    if (fault === Fault.LateSecondAnswer) setTimeout(() => { if (!socket.destroyed) finish(socket, framing, whole) }, secondAnswerMilliseconds)
    if (fault === Fault.End) socket.end()
    if (fault === Fault.Reset) socket.resetAndDestroy()
    if (fault === Fault.LateReset) setTimeout(() => socket.resetAndDestroy(), resetMilliseconds)
  }
}

function finish (socket: Socket, framing: string | undefined, bytes: string): void {
  socket.write(bytes)
  if (framing === Framing.None) socket.end()
}
