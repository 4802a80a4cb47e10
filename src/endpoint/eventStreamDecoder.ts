/**
 * Server-sent events, decoded as bytes arrive: a character or a line may be split anywhere. Only
 * `data` lines matter here; comments (the heartbeats) have done their work by arriving.
 */

/** Characters of one line; a longer one is no answer of an engine. */
const maximumLineCharacters = 1024 * 1024

/** A decoder for one connection's event stream. */
export class EventStreamDecoder {
  readonly #decoder = new TextDecoder('utf-8')
  #partialLine = ''

  /**
   * Takes bytes and returns the data of the events that they complete.
   *
   * @returns undefined where a line is longer than any engine's
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
