/**
 * Incremental decoder for server-sent events; bytes may be split within a line or a character. Only
 * `data` lines are decoded. Comment lines are heartbeats, which reset the inactivity timeout on
 * arrival and need no decoding.
 */

/** Engines send no longer lines, so a longer one is a fault. */
const maximumLineCharacters = 1024 * 1024

/** Decodes the event stream of one connection. */
export class EventStreamDecoder {
  readonly #decoder = new TextDecoder('utf-8')
  #partialLine = ''

  /**
   * Decodes bytes and returns the data of the events that they complete.
   *
   * @returns undefined if a line exceeds the limit
   * @example
   * decoder.decode(Buffer.from('data: {"a":1}\n\n')) // ['{"a":1}']
   */
  decode (bytes: Uint8Array): string[] | undefined {
    const lines = (this.#partialLine + this.#decoder.decode(bytes, { stream: true })).split('\n')
    this.#partialLine = lines.pop() ?? ''
    if (this.#partialLine.length > maximumLineCharacters) return undefined
    return lines.flatMap(dataOf)
  }
}

function dataOf (line: string): string[] {
  if (!line.startsWith('data:')) return []
  return [line.slice('data:'.length).trim()]
}
