/**
 * Splits a stream of server-sent events at event boundaries. Only complete events are emitted: an
 * endpoint may stop in the middle of an event, and another run's data must not be appended to it.
 */

const lineFeed = 0x0a
const carriageReturn = 0x0d
const idField = 'id:'

/** One or more complete events. */
export interface CompleteEvents {
  readonly bytes: Buffer
  readonly count: number
  /** The ID of the last event that has one. */
  readonly lastEventId: string | undefined
}

/**
 * Buffers bytes and returns complete events.
 *
 * @example
 * const events = splitter.push(bytes)
 * if (events !== undefined) response.write(events.bytes)
 */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0)

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes (): number {
    return this.#pending.length
  }

  /** Adds bytes; returns undefined while no event is complete. */
  push (bytes: Buffer): CompleteEvents | undefined {
    const received = this.#pending.length === 0 ? bytes : Buffer.concat([this.#pending, bytes])
    const end = endOfLastCompleteEvent(received)
    this.#pending = received.subarray(end)
    if (end === 0) return undefined
    const complete = received.subarray(0, end)
    return { bytes: complete, count: countEvents(complete), lastEventId: lastEventIdIn(complete) }
  }
}

/** Returns the offset after the last blank line; 0 if there is none. */
function endOfLastCompleteEvent (bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== lineFeed) continue
    const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1
    if (before >= 0 && bytes[before] === lineFeed) return index + 1
  }
  return 0
}

/** Counts the blank lines that end events. */
function countEvents (bytes: Buffer): number {
  return bytes.toString('latin1').match(/\n\r?\n/g)?.length ?? 0
}

function lastEventIdIn (bytes: Buffer): string | undefined {
  const lines = bytes.toString('latin1').split(/\r?\n/)
  return lines.findLast(line => line.startsWith(idField))?.slice(idField.length).trim()
}
