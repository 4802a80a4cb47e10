/**
 * Splits a stream of server-sent events at event boundaries. Only complete events are emitted: an
 * endpoint may stop in the middle of an event, and another run's data must not be appended to it.
 *
 * Bytes are held as latin1 text, one character each, because strings are searched and written much
 * faster than buffers by code that has not run often yet.
 */

const blankLinePattern = /\n\r?\n/g
const idPattern = /(?<![^\n])id:([^\n]*)/g
/** One less than the longest blank line with the line break before it. */
const maximumTailLength = 2

/** One or more complete events. */
export interface CompleteEvents {
  /** Their bytes as latin1 text. */
  readonly text: string
  readonly count: number
  /** The IDs of the events that have one. */
  readonly ids: readonly string[]
}

/**
 * Buffers bytes and returns complete events. Only what has just arrived is searched: a long event in small pieces would
 * otherwise be copied and searched once for each of them.
 *
 * @example
 * const events = splitter.push(bytes)
 * if (events !== undefined) response.write(events.text, 'latin1')
 */
export class EventSplitter {
  /** What has arrived of an incomplete event. */
  #pieces: string[] = []
  #pendingBytes = 0
  /** Its end, in which a blank line may have begun. */
  #tail = ''

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes (): number {
    return this.#pendingBytes
  }

  /** Adds bytes; returns undefined while no event is complete. */
  push (bytes: Buffer): CompleteEvents | undefined {
    const received = bytes.toString('latin1')
    const end = endOfLastCompleteEvent(this.#tail + received) - this.#tail.length
    if (end <= 0) {
      this.#keep(received)
      return undefined
    }
    const text = this.#pieces.join('') + received.slice(0, end)
    this.#pieces = []
    this.#pendingBytes = 0
    this.#tail = ''
    this.#keep(received.slice(end))
    return { text, count: countEvents(text), ids: idsIn(text) }
  }

  #keep (piece: string): void {
    if (piece === '') return
    this.#pieces.push(piece)
    this.#pendingBytes += piece.length
    this.#tail = (this.#tail + piece).slice(-maximumTailLength)
  }
}

/** Returns the offset after the last blank line; 0 if there is none. */
function endOfLastCompleteEvent (text: string): number {
  return Math.max(endOfLast('\n\n', text), endOfLast('\n\r\n', text))
}

function endOfLast (blankLine: string, text: string): number {
  const start = text.lastIndexOf(blankLine)
  return start < 0 ? 0 : start + blankLine.length
}

/** Counts the blank lines that end events. */
function countEvents (text: string): number {
  return text.match(blankLinePattern)?.length ?? 0
}

/** An empty ID is none. */
function idsIn (text: string): readonly string[] {
  return Array.from(text.matchAll(idPattern), ([, id = '']) => id.trim()).filter(id => id !== '')
}
