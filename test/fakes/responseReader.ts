/** Reads the responses of one connection, whole and begun, from bytes as they arrive. */

/** A response as it was received. */
export interface RawResponse {
  readonly status: number
  readonly head: string
  /** Bytes of the body with its framing. */
  readonly bodyLength: number
  /** The body with its framing. */
  readonly body: string
  /** When its last byte so far was read, in milliseconds since the Unix epoch. */
  readonly readAt: number
}

const headEnd = '\r\n\r\n'

/**
 * @example
 * const reader = new ResponseReader()
 * socket.on('data', bytes => reader.append(bytes))
 */
export class ResponseReader {
  readonly #responses: RawResponse[] = []
  #rest: Buffer = Buffer.alloc(0)

  /** All complete responses so far. */
  get responses (): readonly RawResponse[] {
    return this.#responses
  }

  /** The response that has begun and isn't complete; undefined while its head isn't. */
  get begun (): RawResponse | undefined {
    const length = this.#rest.indexOf(headEnd)
    return length < 0 ? undefined : readResponse(this.#rest, length, this.#rest.length)
  }

  append (bytes: Buffer): void {
    this.#rest = this.#rest.length === 0 ? bytes : Buffer.concat([this.#rest, bytes])
    for (let end = firstResponseEnd(this.#rest); end !== undefined; end = firstResponseEnd(this.#rest)) {
      this.#responses.push(readResponse(this.#rest, this.#rest.indexOf(headEnd), end))
      this.#rest = this.#rest.subarray(end)
    }
  }
}

/** The value of a header; undefined if the response has none of that name. */
export function headerOf ({ head }: RawResponse, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*?) *$`, 'im').exec(head)?.[1]
}

/** The body without its framing, as far as it has arrived. */
export function contentOf ({ head, body }: RawResponse): string {
  if (!isChunked(head)) return body
  let content = ''
  for (let rest = body; rest.length > 0;) {
    const lineEnd = rest.indexOf('\r\n')
    const chunkLength = lineEnd < 0 ? 0 : parseInt(rest.slice(0, lineEnd), 16)
    if (!(chunkLength > 0)) return content
    content += rest.slice(lineEnd + 2, lineEnd + 2 + chunkLength)
    rest = rest.slice(lineEnd + chunkLength + 4)
  }
  return content
}

function isChunked (head: string): boolean {
  return /^transfer-encoding: chunked/im.test(head)
}

function readResponse (bytes: Buffer, headLength: number, end: number): RawResponse {
  const head = bytes.toString('latin1', 0, headLength)
  const body = bytes.toString('latin1', headLength + headEnd.length, end)
  return { status: Number(head.slice(9, 12)), head, bodyLength: body.length, body, readAt: Date.now() }
}

/** Where the first response ends; undefined while it isn't complete. */
function firstResponseEnd (bytes: Buffer): number | undefined {
  const headLength = bytes.indexOf(headEnd)
  if (headLength < 0) return undefined
  const head = bytes.toString('latin1', 0, headLength)
  const body = bytes.subarray(headLength + headEnd.length)
  const bodyLength = bodyLengthOf(head, body)
  return body.length >= bodyLength ? headLength + headEnd.length + bodyLength : undefined
}

/** The length of a whole body with its framing; NaN while it can't be told. */
function bodyLengthOf (head: string, body: Buffer): number {
  if (!isChunked(head)) return Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? NaN)
  for (let position = 0; ;) {
    const lineEnd = body.indexOf('\r\n', position)
    if (lineEnd < 0) return NaN
    const chunkLength = parseInt(body.subarray(position, lineEnd).toString('latin1'), 16)
    position = lineEnd + chunkLength + 4
    if (chunkLength === 0) return position
  }
}
