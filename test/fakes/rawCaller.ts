/** A caller on a plain TCP connection, which can read late, send in parts and pipeline. */
import { connect, type Socket } from 'node:net'
import { type RawResponse, ResponseReader } from './responseReader.ts'

const callerPort = 8227

/** How a connection stands. */
export const ConnectionState = {
  Open: 'open',
  /** Closed in order. */
  Ended: 'ended',
  /** Reset or otherwise broken. */
  Broken: 'broken'
} as const
export type ConnectionState = typeof ConnectionState[keyof typeof ConnectionState]

export interface RequestTextOptions {
  readonly id: string
  readonly method?: string
  readonly key?: string
  readonly bodyLength?: number
  readonly timeoutMilliseconds?: number
  readonly headers?: string
}

/** The head of a request; its body is to follow. */
export function requestHead (path: string, { id, method = 'POST', key = 'good-key', bodyLength = 0, timeoutMilliseconds = 20_000, headers = '' }: RequestTextOptions): string {
  return `${method} ${path} HTTP/1.1\r\nhost: desk.example\r\nattempt-id: ${id}\r\nauthorization: Bearer ${key}\r\ndeadline-ms: ${timeoutMilliseconds}\r\ncontent-length: ${bodyLength}\r\n${headers}\r\n`
}

export class RawCaller {
  readonly #socket: Socket
  readonly #chunks: Buffer[] = []
  readonly #reader = new ResponseReader()
  #state: ConnectionState = ConnectionState.Open

  private constructor (socket: Socket) {
    this.#socket = socket
    socket.setNoDelay(true)
    socket.on('data', bytes => {
      this.#chunks.push(bytes)
      this.#reader.append(bytes)
    })
    const end = () => { if (this.#state === ConnectionState.Open) this.#state = ConnectionState.Ended }
    socket.on('end', end)
    socket.on('close', end)
    socket.on('error', () => { this.#state = ConnectionState.Broken })
  }

  static connect (host: string, port = callerPort): Promise<RawCaller> {
    return new Promise((resolve, reject) => {
      const socket = connect({ port, host, allowHalfOpen: true }, () => resolve(new RawCaller(socket)))
      socket.once('error', reject)
    })
  }

  get state (): ConnectionState {
    return this.#state
  }

  /** All that was received. */
  get text (): string {
    return Buffer.concat(this.#chunks).toString('latin1')
  }

  /** All complete responses so far. */
  get responses (): readonly RawResponse[] {
    return this.#reader.responses
  }

  /** The response that has begun and isn't complete. */
  get begunResponse (): RawResponse | undefined {
    return this.#reader.begun
  }

  /** Their statuses. */
  get statuses (): readonly number[] {
    return this.responses.map(({ status }) => status)
  }

  write (text: string): void {
    this.#socket.write(text)
  }

  /** Reads nothing until `resume`. */
  pause (): void {
    this.#socket.pause()
  }

  resume (): void {
    this.#socket.resume()
  }

  /** Waits until the connection is closed, or as many complete responses have arrived. */
  async until (responseCount: number): Promise<void> {
    while (this.#state === ConnectionState.Open && this.responses.length < responseCount) await pause(10)
  }

  /** Sends nothing more, and goes on reading. */
  endSending (): void {
    this.#socket.end()
  }

  /** Closes the connection in a way that its other side is told of at once. */
  reset (): void {
    this.#socket.resetAndDestroy()
  }

  close (): void {
    this.#socket.destroy()
  }
}

/** Waits for a duration in milliseconds. */
export function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Keeps the event loop busy, as a starved processor does. */
export function block (milliseconds: number): void {
  const until = performance.now() + milliseconds
  while (performance.now() < until);
}

/** Holds the event loop up where timers come due before input is read. What then follows stands for what the kernel has received. */
export async function stallOneTurn (milliseconds: number): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
  block(milliseconds)
  await new Promise(resolve => setImmediate(resolve))
}
