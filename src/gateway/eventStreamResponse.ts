/**
 * Writes events to a caller. Each one leaves in a single write to the connection: Node.js would hand it
 * over in four parts, which costs more than all else that is done for an event. The first one takes the
 * head with it. For a caller that can read no chunks all events are held until the end.
 */
import type { ServerResponse } from 'node:http'
import { takesChunks } from './responseFraming.ts'

/** A response whose caller gets it at its end. */
interface HeldEvents {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[]>>
  text: string
}

/**
 * @example
 * const events = new EventStreamResponse(response)
 * events.begin(200, headers)
 * events.write('id: 1\ndata: a\n\n')
 * events.end()
 */
export class EventStreamResponse {
  readonly #response: ServerResponse
  #isChunked = false
  #held: HeldEvents | undefined

  constructor (response: ServerResponse) {
    this.#response = response
  }

  /** Bytes that are held until the response ends. */
  get heldBytes (): number {
    return this.#held?.text.length ?? 0
  }

  /** Prepares the head, which leaves with the first event. */
  begin (status: number, headers: Readonly<Record<string, string | string[]>>): void {
    if (!takesChunks(this.#response)) {
      this.#held = { status, headers, text: '' }
      return
    }
    this.#response.writeHead(status, headers)
    this.#isChunked = this.#response.chunkedEncoding
  }

  /**
   * Writes complete events.
   *
   * @param text their bytes as latin1 text
   * @returns false if the caller takes them slower than they come
   */
  write (text: string): boolean {
    if (this.#held !== undefined) {
      this.#held.text += text
      return true
    }
    if (!this.#isChunked) return this.#response.write(text, 'latin1')
    // The chunk is framed here, so Node.js must not do it again.
    this.#response.chunkedEncoding = false
    const isTaken = this.#response.write(`${text.length.toString(16)}\r\n${text}\r\n`, 'latin1')
    this.#response.chunkedEncoding = true
    return isTaken
  }

  /** Ends the response; Node.js writes the last chunk. */
  end (): void {
    if (this.#held === undefined) this.#response.end()
    else this.#sendHeld(this.#held)
  }

  #sendHeld ({ status, headers, text }: HeldEvents): void {
    this.#response.writeHead(status, { ...headers, 'content-length': text.length })
    this.#response.end(text, 'latin1')
  }
}
